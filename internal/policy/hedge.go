package policy

import "time"

const (
	maxHedgeUtilization = 0.5  // at this mean utilization and above, hedged attempts would only lengthen queues
	utilizationGain     = 0.05 // weight of one load report in the moving average of utilization
)

// hedgeLimiter prevents hedged attempts while endpoints report high utilization.
type hedgeLimiter struct {
	meanUtilization float64 // moving average over the reports of all endpoints, 0 to 1
}

// observe updates the mean utilization with one load report.
func (h *hedgeLimiter) observe(utilization float64) {
	h.meanUtilization += utilizationGain * (min(max(utilization, 0), 1) - h.meanUtilization)
}

// allows reports whether the endpoints have capacity for hedged attempts.
func (h *hedgeLimiter) allows() bool { return h.meanUtilization < maxHedgeUtilization }

// scheduleHedge starts the timer for a hedged attempt, if the class and the settings allow
// one, when the first attempt of r has started; expectedLatency is the expected latency of
// that attempt in seconds, 0 if it was not predicted. The attempt is hedged once it takes longer
// than most do, if the client still waits then.
func (g *Gateway) scheduleHedge(r *request, expectedLatency float64) {
	if len(r.attempts) != 1 || r.class.Idempotency == NonIdempotent || !g.settings.AllowHedging {
		return
	}
	g.startHedgeTimer(r, seconds(g.latencies.likely(max(expectedLatency, g.latencies.idleLatency(r.classIndex)))))
}

// startHedgeTimer has a hedged attempt start after a delay, if the client still waits then.
func (g *Gateway) startHedgeTimer(r *request, delay time.Duration) {
	if g.now+delay < r.deadline {
		g.startTimer(delay, func() { g.hedge(r, delay) })
	}
}

// hedge starts a hedged attempt if the request has exactly one attempt in flight, the first or
// a retry, and no response has begun to stream to the client. If the endpoints have no capacity for
// it, or no other condition for a further attempt is met, it tries again after twice the delay.
func (g *Gateway) hedge(r *request, delay time.Duration) {
	if r.done || r.responseStarted || r.inFlight() != 1 {
		return
	}
	if !g.allowsHedge(r) || !g.retry(r) {
		g.startHedgeTimer(r, 2*delay)
	}
}

// allowsHedge reports whether the endpoints have capacity for a hedged attempt, or the attempt in
// flight takes none, as its endpoint has been ejected.
func (g *Gateway) allowsHedge(r *request) bool {
	return g.hedgeLimiter.allows() || g.balancer.isOutlier(r.attemptInFlight().endpoint)
}
