package routing

import "slices"

// tokenQueue holds the calls of one customer that wait for a token. First
// attempts get tokens before client retries, each in order of arrival.
type tokenQueue struct{ firstAttempts, retries []*callState }

func (q *tokenQueue) len() int { return len(q.firstAttempts) + len(q.retries) }

func (q *tokenQueue) push(r *callState) {
	if r.call.ClientRetry {
		q.retries = append(q.retries, r)
		return
	}
	q.firstAttempts = append(q.firstAttempts, r)
}

// next returns the call that gets the next token. The queue must not be empty.
func (q *tokenQueue) next() *callState {
	if len(q.firstAttempts) > 0 {
		return q.firstAttempts[0]
	}
	return q.retries[0]
}

func (q *tokenQueue) remove(r *callState) {
	q.firstAttempts = without(q.firstAttempts, r)
	q.retries = without(q.retries, r)
}

func without(calls []*callState, r *callState) []*callState {
	if i := slices.Index(calls, r); i >= 0 {
		return slices.Delete(calls, i, i+1)
	}
	return calls
}

// all returns the queued calls in a new slice, so that the caller may remove calls
// while it iterates.
func (q *tokenQueue) all() []*callState { return slices.Concat(q.firstAttempts, q.retries) }
