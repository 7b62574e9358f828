package policy

import "time"

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint        *endpoint
	startedAt       Time
	inFlight        bool    // no outcome yet
	neverRan        bool    // its outcome proves that the endpoint did not run it
	inFlightBefore  int     // this gateway's attempts in flight at the endpoint when it started
	expectedLatency float64 // when it started, seconds; 0: not predicted
	isTrial         bool    // the endpoint was ejected when it started, so its outcome counts as that of a recovery trial
}

// request is the state of a client's request, kept until it is done and has no attempt in
// flight.
type request struct {
	id                    string
	classIndex            int
	class                 *Class
	tenant                *tenantState
	units                 float64
	chargedToSharedBucket bool // its units were taken from the tenant's shared bucket
	deadline              Time // when the client gives up
	attempts              []attempt
	done                  bool // it has its final answer, or its client has disconnected
	responseStarted       bool // a response has begun to stream to the client
}

// allowsAttemptAt reports whether an attempt at ep is safe after the earlier ones: a
// request that may have run is repeated only where its class allows it.
func (r *request) allowsAttemptAt(ep *endpoint, now Time) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.endpoint == ep {
			return false // at most one attempt at each endpoint
		}
		if a.neverRan || r.class.Idempotency == Idempotent {
			continue
		}
		if r.class.Idempotency == NonIdempotent || now >= a.startedAt+r.class.DedupWindow {
			return false
		}
		if !r.class.DedupScope.covers(a.endpoint, ep) {
			return false
		}
	}
	return true
}

// covers reports whether endpoint b drops duplicates of requests that endpoint a has run.
func (s DedupScope) covers(a, b *endpoint) bool {
	switch s {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Zone == b.Zone && a.Cell == b.Cell
	default:
		return true
	}
}

// inFlight counts the attempts without an outcome.
func (r *request) inFlight() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			n++
		}
	}
	return n
}

// attemptInFlight returns the last attempt without an outcome, or nil.
func (r *request) attemptInFlight() *attempt {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].inFlight {
			return &r.attempts[i]
		}
	}
	return nil
}

// attemptTimeout returns the timeout of an attempt that starts now: the time until the client gives
// up. It is 0, for none, if the response is streamed, as the client then waits for its end.
func (r *request) attemptTimeout(now Time) time.Duration {
	if r.class.Streaming {
		return 0
	}
	return max(r.deadline-now, 0)
}

// clientMayRetry reports whether a retry by the client, which may reach any endpoint, is
// safe after the attempts so far. A retry of a request with DedupFleet is assumed to come
// within the class's DedupWindow.
func (r *request) clientMayRetry() bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != NonIdempotent && r.class.DedupScope == DedupFleet {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}
