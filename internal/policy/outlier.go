package policy

import "time"

const (
	errorRateGain         = 0.15                   // weight of one outcome in an endpoint's error rate
	overallErrorRateGain  = errorRateGain / 10     // weight of one outcome in the error rate of all
	maxErrorRate          = 0.35                   // error rate that ejects an endpoint unless all fail alike
	maxErrorRateRatio     = 2                      // multiple of the error rate of all beyond which one stands out
	unresponsiveThreshold = 12.0                   // usual latencies of silence, times unanswered attempts, that eject
	maxCountedUnanswered  = 3                      // unanswered attempts beyond this prove no more
	minEjectionTime       = 500 * time.Millisecond // first wait before a recovery trial
	maxEjectionTime       = 4 * time.Second        // longest such wait
)

// outlierState is what the outlier detector knows of one endpoint.
type outlierState struct {
	errorRate         float64 // share of recent outcomes that were errors
	unanswered        int     // attempts started since it last answered
	unansweredSince   Time    // when the first of these started
	ejected           bool
	ejectionTime      time.Duration // length of the last ejection
	nextTrialAt       Time          // when a recovery trial is allowed
	trialPending      bool          // a recovery trial or its health check is in flight
	healthCheckPassed bool          // a recovery trial may follow
}

// attemptStarted counts one more attempt that is owed an answer.
func (s *outlierState) attemptStarted(now Time) {
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.unanswered++
}

// answered ends the silence that the attempts started since silentSince make up.
func (s *outlierState) answered() { s.unanswered = 0 }

// eject keeps attempts away for a time that doubles with each failed recovery trial.
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

// readmit ends the ejection: what led to it is void.
func (s *outlierState) readmit() {
	s.ejected = false
	s.ejectionTime = 0
	s.errorRate = 0
	s.unanswered = 0
}

// outlierDetector ejects endpoints that accept requests and do not serve them, whatever
// the cause, and readmits them after a recovery trial.
type outlierDetector struct {
	settings         *Settings
	emit             func(Action) // appends an action to those of the current step
	overallErrorRate float64      // share of recent outcomes that were errors, over all endpoints
	trialIdempotency Idempotency  // the least delicate kind in use; only such requests make trials
}

func newOutlierDetector(settings *Settings, emit func(Action)) outlierDetector {
	d := outlierDetector{settings: settings, emit: emit, trialIdempotency: NonIdempotent}
	for _, class := range settings.Classes {
		d.trialIdempotency = min(d.trialIdempotency, class.Idempotency)
	}
	return d
}

// detect ejects an endpoint that is silent or fails more than the others. It could harm
// where one rare long request is all that an endpoint has, so silence counts by the
// unanswered attempts; usualLatency is in seconds.
func (d *outlierDetector) detect(now Time, ep *endpoint, meanLatency float64) {
	if ep.ejected || ep.unanswered == 0 && ep.errorRate <= maxErrorRate {
		return // the usual case comes first: this runs for every endpoint before each attempt
	}
	waited := (now - ep.unansweredSince).Seconds() * float64(min(ep.unanswered, maxCountedUnanswered))
	unresponsive := waited > unresponsiveThreshold*meanLatency
	failing := ep.errorRate > maxErrorRate && ep.errorRate > maxErrorRateRatio*d.overallErrorRate
	if unresponsive || failing {
		ep.eject(now)
	}
}

// requestTrial reports whether r may be the recovery trial of an ejected endpoint. Where
// health checks are allowed it starts one first, and the trial follows when that passed.
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

// healthCheckEnded allows the recovery trial of an ejected endpoint, or prolongs its ejection.
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

// observe learns from the outcome of an attempt that took latency seconds.
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
	default: // other outcomes tell nothing of errors
	}
	if a.isTrial && ep.ejected {
		d.endTrial(now, ep, outcome, latency > meanLatency)
	}
}

// provesResponsive reports whether an outcome ends an endpoint's silence. A lost connection does
// too: silence is made up of attempts that never end.
func provesResponsive(outcome Outcome) bool {
	switch outcome {
	case Succeeded, ServerError, Overloaded, ConnectionLost:
		return true
	default:
		return false
	}
}

// updateErrorRate takes one outcome into account; failure is 1 for an error, else 0.
func (d *outlierDetector) updateErrorRate(ep *endpoint, failure float64) {
	ep.errorRate += errorRateGain * (failure - ep.errorRate)
	d.overallErrorRate += overallErrorRateGain * (failure - d.overallErrorRate)
}

// endTrial readmits the endpoint after a successful recovery trial and ejects it again
// after a failed one. A trial canceled before it was late tells neither.
func (d *outlierDetector) endTrial(now Time, ep *endpoint, outcome Outcome, late bool) {
	ep.trialPending = false
	switch {
	case outcome == Succeeded:
		ep.readmit()
	case outcome != Canceled || late:
		ep.eject(now)
	}
}

// healthChecked handles the end of a health check.
func (g *Gateway) healthChecked(ev HealthCheckDone) {
	if ep := g.endpoints.byID[ev.Endpoint]; ep != nil {
		g.outliers.healthCheckEnded(g.now, ep, ev.Outcome)
	}
}
