package policy

import (
	"math"
	"time"
)

const (
	crowdedPeriod = time.Second // for this long all requests are rejected at a wait at which one had to be
	crowdedWait   = 3.0         // least wait for that, in latencies without a queue; shorter ones are usual fluctuations
)

// waitLimit is the longest wait at endpoints for which requests are admitted. Endpoints serve in the
// order of arrival, so requests with much time left would fill the queue until no other request has
// the time to wait for its turn. At the wait at which a request must be rejected, all are rejected.
//
// Only rejections that are due to the queue count: the request has at least half of its class's
// deadline left, and the wait is much longer than the request would take without a queue. One that
// hardly has the time for its own work says nothing about the others.
type waitLimit struct {
	limit float64 // seconds
	until Time    // when the limit ends
}

// at returns the limit at a time in seconds, infinite for none.
func (l *waitLimit) at(now Time) float64 {
	if now >= l.until {
		return math.Inf(1)
	}
	return l.limit
}

// lower limits the wait to that at which a request had to be rejected, in seconds.
func (l *waitLimit) lower(now Time, wait float64) {
	l.limit = min(l.at(now), wait)
	l.until = now + crowdedPeriod
}

// isTooLate reports whether an attempt that starts now would probably be answered after the client
// has given up, as the work ahead of it does not fit into the time left: its work would then be done
// for nobody and delay the others. expectedLatency is its expected latency in seconds, 0 for a recovery
// trial. Without an attempt of the class in flight, the expected latency may be out of date, and no
// answer would correct it, so a first attempt starts then.
func (g *Gateway) isTooLate(r *request, expectedLatency float64) bool {
	if len(r.attempts) == 0 && g.latencies.classes[r.classIndex].inFlight == 0 {
		return false
	}
	timeLeft := r.deadline - g.now
	baseLatency := g.latencies.baseLatency(r.classIndex)
	wait := g.latencies.likelyWait(r.classIndex, expectedLatency)
	if baseLatency+wait <= timeLeft.Seconds() {
		return wait >= g.waitLimit.at(g.now)
	}
	if wait > crowdedWait*baseLatency && 2*timeLeft >= r.class.Deadline {
		g.waitLimit.lower(g.now, wait)
	}
	return true
}

// mayWaitForCounter reports whether r can wait for the reply to a counter call: if none comes, the
// client must still wait long enough for an attempt. After a stall, requests may have waited long
// already.
func (g *Gateway) mayWaitForCounter(r *request) bool {
	timeLeft := (r.deadline - g.now - g.settings.CounterTimeout).Seconds()
	return !g.stalls.recentlyStalled(g.now) && timeLeft > g.latencies.idleLatency(r.classIndex)
}
