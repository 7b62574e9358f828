package policy

const (
	hedgeLatencyMultiple = 3.0  // multiples of the expected latency after which a hedged attempt starts
	minHedgeDelayShare   = 0.15 // part of the latency objective before which none starts
	maxHedgeDelayShare   = 0.5  // part of the latency objective after which none starts
	maxHedgeUtilization  = 0.5  // mean utilization from which hedged attempts only lengthen queues
	utilizationGain      = 0.05 // weight of one load report in the mean utilization
)

// hedgeLimiter holds back hedged attempts while endpoints report that they are busy.
type hedgeLimiter struct {
	meanUtilization float64 // of all endpoints that report it, 0 to 1
}

// observe takes the utilization of one load report into account.
func (h *hedgeLimiter) observe(utilization float64) {
	h.meanUtilization += utilizationGain * (min(max(utilization, 0), 1) - h.meanUtilization)
}

// allows reports whether endpoints have the capacity for hedged attempts.
func (h *hedgeLimiter) allows() bool { return h.meanUtilization < maxHedgeUtilization }

// scheduleHedge sets the timer for a hedged attempt, where one is allowed, after the first
// attempt of r has started; expectedLatency is that attempt's, in seconds.
func (g *Gateway) scheduleHedge(r *request, expectedLatency float64) {
	if len(r.attempts) != 1 || r.class.Idempotency == NonIdempotent || !g.settings.AllowHedging {
		return
	}
	objective := r.class.LatencyObjective.Seconds()
	after := min(max(hedgeLatencyMultiple*expectedLatency, minHedgeDelayShare*objective), maxHedgeDelayShare*objective)
	g.startTimer(seconds(after), func() { g.hedge(r) })
}

// hedge starts a second attempt if the first one has neither ended nor begun to answer.
func (g *Gateway) hedge(r *request) {
	if !r.done && !r.responseStarted && r.inFlight() == 1 && g.hedgeLimiter.allows() {
		g.retry(r)
	}
}
