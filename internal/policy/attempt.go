package policy

// startAttempt starts an attempt of r; expectedLatency is in seconds.
func (g *Gateway) startAttempt(r *request, ep *endpoint, expectedLatency float64) {
	r.attempts = append(r.attempts, attempt{
		endpoint:        ep,
		startedAt:       g.now,
		inFlight:        true,
		inFlightBefore:  ep.inFlight,
		expectedLatency: expectedLatency,
		isTrial:         ep.ejected,
	})
	g.latencies.classes[r.classIndex].inFlight++
	if g.balancer.isOutlier(ep) {
		ep.startTrial()
	}
	g.throttle.attemptStarted(g.now)
	ep.attemptStarted(g.now)
	ep.inFlight++
	r.tenant.inFlight++
	g.emit(StartAttempt{RequestID: r.id, Endpoint: ep.ID, Timeout: r.attemptTimeout(g.now)})
	g.scheduleHedge(r, expectedLatency)
}

// findAttempt returns an attempt and its request, or nil if the attempt is unknown or its
// request was removed. The pointer to the attempt is valid until the request's next attempt
// starts.
func (g *Gateway) findAttempt(requestID string, number int) (*request, *attempt) {
	r := g.requests[requestID]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// responseStarted handles a response that has begun to stream to the client: the other
// attempts of the request are canceled.
func (g *Gateway) responseStarted(ev ResponseStarted) {
	r, a := g.findAttempt(ev.RequestID, ev.Attempt)
	if a == nil {
		return
	}
	r.responseStarted = true
	a.endpoint.answered()
	g.cancelAttemptsExcept(r, ev.Attempt)
}

// attemptEnded handles an attempt's outcome: it updates the statistics, corrects the units
// charged, and then finishes the request or retries it.
func (g *Gateway) attemptEnded(ev AttemptEnded) {
	r, a := g.findAttempt(ev.RequestID, ev.Attempt)
	if a == nil || !a.inFlight {
		return
	}
	a.inFlight = false
	a.neverRan = ev.Outcome.NeverRan()
	a.endpoint.inFlight--
	r.tenant.inFlight--
	g.latencies.classes[r.classIndex].inFlight--
	g.recordOutcome(r, a, &ev)
	if ev.Outcome == Succeeded && !r.done && g.settings.ActualUnitsReported && ev.ActualUnits > 0 {
		r.tenant.tokens -= ev.ActualUnits - r.units
		g.settleBucketCharge(r, ev.ActualUnits)
	}
	g.finishOrRetry(r, &ev)
}

// recordOutcome updates the throttle, the latency estimates, the outlier detector and the
// hedge limiter with an attempt's outcome.
func (g *Gateway) recordOutcome(r *request, a *attempt, ev *AttemptEnded) {
	latency := ev.Latency.Seconds()
	if ev.Outcome == TimedOut && g.balancer.isOutlier(a.endpoint) {
		g.throttle.attemptUncounted() // the endpoint is at fault, not a lack of capacity
	} else {
		g.throttle.attemptEnded(g.now, ev.Outcome)
	}
	g.latencies.observe(g.now, r.classIndex, a, ev.Outcome, latency)
	g.outliers.observe(g.now, a, ev.Outcome, latency, g.latencies.meanLatency)
	if utilization := ev.Report.Utilization; utilization != nil {
		g.hedgeLimiter.observe(*utilization)
	}
}

// finishOrRetry finishes a request after an attempt's outcome, waits for an attempt that is
// still in flight, or retries. If no retry may start, it gives the client a final answer.
func (g *Gateway) finishOrRetry(r *request, ev *AttemptEnded) {
	switch {
	case ev.RequestDone || ev.Outcome == Succeeded:
		g.finish(r)
	case r.done || r.inFlight() > 0:
		g.removeIfDone(r)
	case ev.Outcome == NotSent || !g.retry(r):
		g.rejectOrFail(r, g.queueDelay(0))
	}
}
