package routing

import "slices"

// tokenQueue holds the calls of one customer that wait for a token. First
// attempts get tokens in order of arrival, and after them the client retries.
type tokenQueue struct{ firstAttempts, retries []*callState }

func (p *tokenQueue) len() int { return len(p.firstAttempts) + len(p.retries) }

func (p *tokenQueue) push(r *callState) {
	if r.call.ClientRetry {
		p.retries = append(p.retries, r)
		return
	}
	p.firstAttempts = append(p.firstAttempts, r)
}

// next returns the call that gets the next token.
func (p *tokenQueue) next() *callState {
	if len(p.firstAttempts) > 0 {
		return p.firstAttempts[0]
	}
	return p.retries[0]
}

func (p *tokenQueue) remove(r *callState) {
	p.firstAttempts = without(p.firstAttempts, r)
	p.retries = without(p.retries, r)
}

func without(calls []*callState, r *callState) []*callState {
	if i := slices.Index(calls, r); i >= 0 {
		return slices.Delete(calls, i, i+1)
	}
	return calls
}

// all returns a copy, so that calls may be removed while it is iterated.
func (p *tokenQueue) all() []*callState { return slices.Concat(p.firstAttempts, p.retries) }
