package routing

import "slices"

// parkedCalls are the calls of one customer that wait for a token. First
// attempts get one in order of arrival, then the clients' own retries.
type parkedCalls struct{ fresh, retries []*call }

func (p *parkedCalls) len() int { return len(p.fresh) + len(p.retries) }

func (p *parkedCalls) push(r *call) {
	if r.call.ClientRetry {
		p.retries = append(p.retries, r)
		return
	}
	p.fresh = append(p.fresh, r)
}

// first returns the call that gets the next token.
func (p *parkedCalls) first() *call {
	if len(p.fresh) > 0 {
		return p.fresh[0]
	}
	return p.retries[0]
}

func (p *parkedCalls) remove(r *call) {
	p.fresh = without(p.fresh, r)
	p.retries = without(p.retries, r)
}

func without(calls []*call, r *call) []*call {
	if i := slices.Index(calls, r); i >= 0 {
		return slices.Delete(calls, i, i+1)
	}
	return calls
}

// all returns a copy of the calls, so that they may be removed meanwhile.
func (p *parkedCalls) all() []*call { return slices.Concat(p.fresh, p.retries) }
