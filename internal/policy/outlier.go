package policy

import "time"

const (
	errorRateGain        = 0.15               // weight of one outcome in an endpoint's error rate
	overallErrorRateGain = errorRateGain / 10 // weight of one outcome in the overall error rate
	maxErrorRate         = 0.35               // an endpoint with a higher error rate is ejected, unless the others fail too
	maxErrorRateRatio    = 2                  // an endpoint is ejected for errors only above this multiple of the overall error rate

	// An endpoint is ejected as unresponsive if the time since the first of its unanswered attempts,
	// multiplied by their number, exceeds this many mean latencies. One unanswered attempt leads to an
	// ejection after 12 mean latencies, three or more after 4.
	unresponsiveThreshold = 12.0

	// In that product at most this many unanswered attempts count: more of them are no stronger evidence.
	maxCountedUnanswered = 3

	minEjectionTime = 500 * time.Millisecond // wait for a recovery trial after the first ejection
	maxEjectionTime = 4 * time.Second        // longest wait for a recovery trial
)

// outlierState is the outlier detector's state for one endpoint.
type outlierState struct {
	errorRate         float64 // share of recent outcomes that were errors
	unanswered        int     // attempts started since it last responded
	unansweredSince   Time    // when the first of these started
	ejected           bool
	ejectionTime      time.Duration // wait for a recovery trial after the last ejection
	nextTrialAt       Time          // earliest time of a recovery trial
	trialPending      bool          // a recovery trial or its health check is in flight
	healthCheckPassed bool          // the health check before the recovery trial succeeded
}

// attemptStarted counts an attempt that has no answer yet.
func (s *outlierState) attemptStarted(now Time) {
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.unanswered++
}

// answered records that the endpoint has responded: no attempts count as unanswered.
func (s *outlierState) answered() { s.unanswered = 0 }

// eject ejects the endpoint. The wait until a recovery trial is allowed doubles with each
// failed trial or health check, up to maxEjectionTime.
func (s *outlierState) eject(now Time) {
	s.ejectionTime = min(max(2*s.ejectionTime, minEjectionTime), maxEjectionTime)
	s.ejected = true
	s.nextTrialAt = now + s.ejectionTime
	s.trialPending = false
	s.healthCheckPassed = false
}

// startTrial marks the recovery trial as in flight and uses up the health check for it.
func (s *outlierState) startTrial() {
	s.trialPending = true
	s.healthCheckPassed = false
}

// readmit ends the ejection and resets the statistics that caused it.
func (s *outlierState) readmit() {
	s.ejected = false
	s.ejectionTime = 0
	s.errorRate = 0
	s.unanswered = 0
}

// outlierDetector ejects endpoints that accept requests but do not serve them, whatever
// the cause, and readmits them after a successful recovery trial.
type outlierDetector struct {
	settings         *Settings
	emit             func(Action) // appends an action to those of the current step
	overallErrorRate float64      // share of recent outcomes that were errors, over all endpoints
	trialIdempotency Idempotency  // the least restrictive kind of all classes; only requests of this kind are used for trials
}

func newOutlierDetector(settings *Settings, emit func(Action)) outlierDetector {
	d := outlierDetector{settings: settings, emit: emit, trialIdempotency: NonIdempotent}
	for _, class := range settings.Classes {
		d.trialIdempotency = min(d.trialIdempotency, class.Idempotency)
	}
	return d
}

// detect ejects an endpoint that is unresponsive or fails more often than the others. A
// single unanswered attempt may just be a rare long request, so the fewer attempts are
// unanswered, the longer they must wait before the endpoint is ejected. meanLatency is in
// seconds.
func (d *outlierDetector) detect(now Time, ep *endpoint, meanLatency float64) {
	if ep.ejected || ep.unanswered == 0 && ep.errorRate <= maxErrorRate {
		return // fast path: this runs for every endpoint before each attempt
	}
	waited := (now - ep.unansweredSince).Seconds() * float64(min(ep.unanswered, maxCountedUnanswered))
	unresponsive := waited > unresponsiveThreshold*meanLatency
	failing := ep.errorRate > maxErrorRate && ep.errorRate > maxErrorRateRatio*d.overallErrorRate
	if unresponsive || failing {
		ep.eject(now)
	}
}

// requestTrial reports whether r may be the recovery trial of an ejected endpoint. If health
// checks are allowed, it starts one first and allows the trial only after that succeeded.
func (d *outlierDetector) requestTrial(now Time, ep *endpoint, r *request) bool {
	if ep.trialPending || now < ep.nextTrialAt {
		return false
	}
	if r.class.Idempotency != d.trialIdempotency || len(r.attempts) > 0 {
		return false
	}
	if d.settings.AllowHealthChecks && !ep.healthCheckPassed {
		ep.trialPending = true
		d.emit(CheckHealth{Endpoint: ep.ID})
		return false
	}
	return true
}

// healthCheckEnded allows the recovery trial of an ejected endpoint after a successful health
// check, and ejects it again after a failed one.
func (d *outlierDetector) healthCheckEnded(now Time, ep *endpoint, outcome Outcome) {
	if !ep.ejected {
		return
	}
	ep.trialPending = false
	ep.healthCheckPassed = outcome == Succeeded
	if !ep.healthCheckPassed {
		ep.eject(now)
	}
}

// observe updates the statistics with the outcome of an attempt; latency and meanLatency are
// in seconds.
func (d *outlierDetector) observe(now Time, a *attempt, outcome Outcome, latency, meanLatency float64) {
	ep := a.endpoint
	if provesResponsive(outcome) && a.startedAt >= ep.unansweredSince {
		ep.answered()
	}
	switch outcome {
	case Succeeded:
		d.updateErrorRate(ep, 0)
	case ServerError, ConnectionLost, ConnectFailed:
		d.updateErrorRate(ep, 1)
	default: // other outcomes are neither successes nor errors of the endpoint
	}
	if a.isTrial && ep.ejected {
		d.endTrial(now, ep, outcome, latency > meanLatency)
	}
}

// provesResponsive reports whether an outcome shows that the endpoint still responds. A lost
// connection counts as well, because attempts at an unresponsive endpoint end only when this
// gateway times them out or cancels them.
func provesResponsive(outcome Outcome) bool {
	switch outcome {
	case Succeeded, ServerError, Overloaded, ConnectionLost:
		return true
	default:
		return false
	}
}

// updateErrorRate adds one outcome to the error rates; failure is 1 for an error, else 0.
func (d *outlierDetector) updateErrorRate(ep *endpoint, failure float64) {
	ep.errorRate += errorRateGain * (failure - ep.errorRate)
	d.overallErrorRate += overallErrorRateGain * (failure - d.overallErrorRate)
}

// endTrial readmits the endpoint after a successful recovery trial and ejects it again
// after a failed one. A trial that was canceled within the mean latency counts as neither;
// late says that the trial took longer.
func (d *outlierDetector) endTrial(now Time, ep *endpoint, outcome Outcome, late bool) {
	ep.trialPending = false
	switch {
	case outcome == Succeeded:
		ep.readmit()
	case outcome != Canceled || late:
		ep.eject(now)
	}
}

// healthChecked handles the result of a health check.
func (g *Gateway) healthChecked(ev HealthCheckDone) {
	if ep := g.endpoints.byID[ev.Endpoint]; ep != nil {
		g.outliers.healthCheckEnded(g.now, ep, ev.Outcome)
	}
}
