package policy

import (
	"math"
	"math/rand/v2"
)

const (
	subsetSize       = 16   // endpoints among which a gateway chooses: it meets each of them often
	errorPenalty     = 8.0  // an error costs more than a wait: it may be final
	panicThreshold   = 0.5  // with a smaller share of healthy endpoints than this, ejections do not count
	latencyJitter    = 0.15 // random spread of the expected latencies, against herding
	maxWarmUpShare   = 0.6  // part of OverloadMultiple that an endpoint warming up may have of the mean load
	crossZonePenalty = 2.0  // a rank grows by this times the cost of leaving the zone
)

// balancer picks the endpoint for each attempt.
type balancer struct {
	settings  *Settings
	rng       *rand.Rand
	endpoints *endpointSet
	latencies *latencyEstimator
	outliers  *outlierDetector
	throttle  *throttle
}

// newBalancer returns the balancer of a gateway whose other parts are set up.
func newBalancer(g *Gateway) balancer {
	return balancer{
		settings:  &g.settings,
		rng:       g.rng,
		endpoints: &g.endpoints,
		latencies: &g.latencies,
		outliers:  &g.outliers,
		throttle:  &g.throttle,
	}
}

// candidateSelection accumulates what one pass over the candidates finds. It lives on the stack of pick.
type candidateSelection struct {
	now            Time
	honorEjections bool

	best               *endpoint // of the candidates that need no slow start
	bestLatency        float64   // its expected latency, seconds
	bestScore          float64   // lower is better; 0 for a recovery trial
	warmingUp          *endpoint // drawn among those that are warming up
	warmingUpFactorSum float64   // slow-start factors of those
	slowStartFactorSum float64   // slow-start factors of all candidates in reach
	candidates         float64   // candidates in reach
}

// pick returns the endpoint at which an attempt of r should end first, and its expected
// latency in seconds; nil if there is none.
func (b *balancer) pick(now Time, r *request) (*endpoint, float64) {
	listed, healthy := b.ejectOutliers(now)
	s := candidateSelection{
		now: now,
		// When most look like outliers, the cause is not with them: go by the expected
		// latencies alone.
		honorEjections: float64(healthy) >= panicThreshold*float64(listed),
		bestScore:      math.Inf(1),
	}
	b.scanCandidates(&s, r)
	if b.preferWarmingUp(&s, listed) {
		s.best = s.warmingUp
		s.bestLatency = b.latencies.expected(now, s.warmingUp, r.classIndex)
	}
	if s.best != nil && s.best.ejected && s.honorEjections {
		s.best.startTrial()
		s.bestLatency = 0
	}
	return s.best, s.bestLatency
}

// ejectOutliers counts the endpoints that are listed, and those among them that are not ejected.
func (b *balancer) ejectOutliers(now Time) (listed, healthy int) {
	meanLatency := b.latencies.meanLatency
	for _, ep := range b.endpoints.list {
		if !ep.listed {
			continue
		}
		listed++
		b.outliers.detect(now, ep, meanLatency)
		if !ep.ejected {
			healthy++
		}
	}
	return listed, healthy
}

// scanCandidates examines the first endpoints that may take an attempt of r, and more of
// them only until one is found that can.
func (b *balancer) scanCandidates(s *candidateSelection, r *request) {
	remaining := subsetSize
	for _, ep := range b.endpoints.list {
		if !ep.listed || !r.allowsAttemptAt(ep, s.now) {
			continue
		}
		remaining--
		if remaining < 0 && s.best != nil {
			return
		}
		b.examine(s, r, ep)
	}
}

// examine takes one candidate into account.
func (b *balancer) examine(s *candidateSelection, r *request, ep *endpoint) {
	latency := b.latencies.expected(s.now, ep, r.classIndex)
	score := b.score(ep, latency)
	factor := b.settings.slowStartFactor(s.now, ep)
	s.slowStartFactorSum += factor
	s.candidates++
	switch {
	case ep.ejected && s.honorEjections:
		if !b.outliers.requestTrial(s.now, ep, r) {
			return
		}
		score = 0
	case factor < 1:
		s.warmingUpFactorSum += factor
		if b.rng.Float64()*s.warmingUpFactorSum < factor {
			s.warmingUp = ep
		}
		return
	}
	if score < s.bestScore {
		s.best = ep
		s.bestLatency = latency
		s.bestScore = score
	}
}

// score orders candidates by their expected latency, with some jitter, their errors and
// the cost of leaving the zone.
func (b *balancer) score(ep *endpoint, latency float64) float64 {
	score := latency / math.Sqrt(ep.slowness.ratio) * (1 + latencyJitter*b.rng.Float64())
	score *= 1 + errorPenalty*max(ep.errorRate-b.outliers.overallErrorRate, 0)
	if ep.Zone != b.settings.Zone {
		score *= 1 + crossZonePenalty*b.settings.CrossZoneCost
	}
	return score
}

// preferWarmingUp decides whether the attempt goes to the endpoint drawn among those that
// are warming up. A recovery trial goes before.
//
// Such an endpoint is drawn for its part of the load, whatever its latencies tell: for
// what it surely can do of what all in reach can, so that neither warm endpoints nor
// those warming up have more than their share. But of the mean load it gets no more than
// maxWarmUpShare, also where too few endpoints are left for that load, and of load that
// nobody answers next to nothing: all gateways together stay well below what makes it
// fall over.
func (b *balancer) preferWarmingUp(s *candidateSelection, listed int) bool {
	if s.warmingUp == nil || s.bestScore <= 0 {
		return false
	}
	share := min(1/s.slowStartFactorSum, max(maxWarmUpShare*b.settings.OverloadMultiple, 1)/s.candidates)
	return b.rng.Float64() < s.warmingUpFactorSum*share*b.throttle.successRatio(s.now, listed)
}
