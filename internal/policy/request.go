package policy

import "time"

const (
	attemptTimeoutShare = 0.97 // part of the latency objective after which an attempt is given up
	minLateWeight       = 0.3  // late weight from which an attempt is left to run past the objective
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint       *endpoint
	startedAt      Time
	inFlight       bool // no outcome yet
	neverRan       bool // its outcome tells that no endpoint ran it
	inFlightBefore int  // attempts of ours at the endpoint when it started
	recoveryTrial  bool // the endpoint was ejected when it started
}

// request is a client's request until it has its answer and no attempt is in flight.
type request struct {
	id                    string
	classIndex            int
	class                 *Class
	tenant                *tenantState
	units                 float64
	chargedToSharedBucket bool // its units were taken from the tenant's shared bucket
	objectiveAt           Time // an answer later than this earns little
	deadline              Time // the client gives up
	attempts              []attempt
	done                  bool // it has its final answer
	responseStarted       bool // its answer has begun to flow to the client
	isRetry               bool // marked by the client as a retry
}

// allowsAttemptAt reports whether an attempt at ep does no harm beside the earlier ones:
// what may have run is repeated only where its class allows it.
func (r *request) allowsAttemptAt(ep *endpoint, now Time) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.endpoint == ep {
			return false // another attempt belongs elsewhere
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

// covers reports whether b drops what a has run already.
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

// attemptTimeout is how long an attempt that starts now may take, 0 for until the client
// gives up: past the latency objective only what still earns something then goes on.
func (r *request) attemptTimeout(now Time) time.Duration {
	if r.class.LateWeight >= minLateWeight || r.class.Streaming || r.objectiveAt <= now {
		return 0
	}
	return r.objectiveAt - now
}

// clientMayRetry reports whether a retry by the client, which may reach any endpoint, does
// no harm beside the attempts so far.
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
