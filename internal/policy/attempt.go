package policy

import "time"

const (
	aimCut        = 0.97 // part of the latency objective after which an attempt is given up
	minLateWeight = 0.3  // late weight from which an attempt is left to run past the objective
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
	id              string
	class           int
	kind            *Class
	tenant          *tenantState
	units           float64
	chargedToBucket bool // its units were taken from the tenant's shared bucket
	aim             Time // an answer later than this is worth little
	deadline        Time // the client gives up
	attempts        []attempt
	over            bool // it has its final answer
	streamed        bool // its answer has begun to flow to the client
	repeat          bool // marked by the client as a retry
}

// allowsAttemptAt reports whether an attempt at ep does no harm beside the earlier ones:
// what may have run is repeated only where its class allows it.
func (r *request) allowsAttemptAt(ep *endpoint, now Time) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.endpoint == ep {
			return false // another attempt belongs elsewhere
		}
		if a.neverRan || r.kind.Idempotency == Idempotent {
			continue
		}
		if r.kind.Idempotency == NonIdempotent || now >= a.startedAt+r.kind.DedupWindow {
			return false
		}
		if !r.kind.DedupScope.covers(a.endpoint, ep) {
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
	if r.kind.LateWeight >= minLateWeight || r.kind.Streaming || r.aim <= now {
		return 0
	}
	return r.aim - now
}

// startAttempt starts an attempt of r; expected is its expected latency in seconds.
func (g *Gateway) startAttempt(r *request, ep *endpoint, expected float64) {
	r.attempts = append(r.attempts, attempt{
		endpoint:       ep,
		startedAt:      g.now,
		inFlight:       true,
		inFlightBefore: ep.inFlight,
		recoveryTrial:  ep.ejected,
	})
	g.throttle.attemptStarted(g.now)
	ep.attemptStarted(g.now)
	ep.inFlight++
	r.tenant.inFlight++
	g.emit(StartAttempt{RequestID: r.id, Endpoint: ep.ID, Timeout: r.attemptTimeout(g.now)})
	g.scheduleHedge(r, expected)
}

// responseStarted handles an answer that has begun to flow to the client: it alone goes on.
func (g *Gateway) responseStarted(ev ResponseStarted) {
	r := g.requests[ev.RequestID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return
	}
	r.streamed = true
	r.attempts[ev.Attempt].endpoint.answered()
	g.cancelAttemptsExcept(r, ev.Attempt)
}

// attemptEnded handles an attempt's outcome: it learns from it, and the request has its
// answer or goes on elsewhere.
func (g *Gateway) attemptEnded(ev AttemptEnded) {
	r := g.requests[ev.RequestID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight = false
	a.neverRan = ev.Outcome == Overloaded || ev.Outcome == ConnectFailed || ev.Outcome == NotSent
	a.endpoint.inFlight--
	r.tenant.inFlight--
	g.learn(r, a, &ev)
	if ev.Outcome == Succeeded && !r.over && g.set.ActualUnitsReported && ev.ActualUnits > 0 {
		r.tenant.tokens -= ev.ActualUnits - r.units
		g.settle(r, ev.ActualUnits)
	}
	g.proceed(r, &ev)
}

// learn takes an attempt's outcome into account wherever endpoints are judged by it.
func (g *Gateway) learn(r *request, a *attempt, ev *AttemptEnded) {
	latency := ev.Latency.Seconds()
	g.throttle.attemptEnded(g.now, ev.Outcome)
	g.latencies.observe(g.now, r.class, a, ev.Outcome, latency)
	g.outliers.observe(g.now, a, ev.Outcome, latency, g.latencies.usual)
	if utilization := ev.Report.Utilization; utilization != nil {
		g.hedgeGuard.observe(*utilization)
	}
}

// proceed ends a request after an attempt's outcome, waits for another attempt, or retries.
func (g *Gateway) proceed(r *request, ev *AttemptEnded) {
	switch {
	case ev.RequestDone || ev.Outcome == Succeeded:
		g.finish(r)
	case r.over || r.inFlight() > 0:
		g.forgetIfDone(r)
	case ev.Outcome == NotSent || !g.retry(r):
		g.rejectOrFail(r, g.set.MaxRetryAfter)
	}
}
