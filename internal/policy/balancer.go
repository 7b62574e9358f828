package policy

import (
	"math"
	"math/rand/v2"
)

const (
	subsetSize     = 16   // endpoints that a gateway chooses from; few, so that it uses each of them often
	errorPenalty   = 8.0  // weight of an excess error rate in the score; an error is worse for a client than a wait, as it may be final
	panicThreshold = 0.5  // below this share of healthy endpoints, ejections are ignored
	latencyJitter  = 0.15 // largest random relative increase of an expected latency, so that gateways do not all choose the same endpoint
	maxWarmUpShare = 0.6  // an endpoint that is warming up gets at most this share of OverloadMultiple times the mean load
)

// balancer picks the endpoint for each attempt.
type balancer struct {
	settings  *Settings
	rng       *rand.Rand
	endpoints *endpointSet
	latencies *latencyEstimator
	outliers  *outlierDetector
	throttle  *throttle

	honorsEjections bool // at the last choice, most endpoints were healthy
}

// newBalancer returns the balancer of a gateway. The gateway's other parts must be set.
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

// candidateSelection accumulates the result of one pass over the candidates. It is a local
// variable of pick, so that an attempt allocates nothing for it.
type candidateSelection struct {
	now            Time
	honorEjections bool

	best               *endpoint // best candidate that is not warming up, or a recovery trial
	bestLatency        float64   // expected latency of best, seconds
	bestScore          float64   // score of best, lower is better; 0 for a recovery trial
	warmingUp          *endpoint // random choice among the candidates that are warming up
	warmingUpFactorSum float64   // sum of the slow-start factors of the candidates that are warming up
	slowStartFactorSum float64   // sum of the slow-start factors of all candidates
	candidates         float64   // number of candidates
}

// pick returns the endpoint for the next attempt of r and its expected latency in seconds. It
// is the candidate with the best score, or one that is warming up or due for a recovery trial;
// the expected latency of a recovery trial is given as 0. It returns nil if no endpoint can
// take the attempt. The trial begins when the attempt starts.
func (b *balancer) pick(now Time, r *request) (*endpoint, float64) {
	listed, healthy := b.ejectOutliers(now)
	s := candidateSelection{
		now: now,
		// If most endpoints look like outliers, the endpoints are probably not the cause:
		// ignore ejections and use only the scores.
		honorEjections: float64(healthy) >= panicThreshold*float64(listed),
		bestScore:      math.Inf(1),
	}
	b.honorsEjections = s.honorEjections
	b.scanCandidates(&s, r)
	if b.preferWarmingUp(&s, listed) {
		s.best = s.warmingUp
		s.bestLatency = b.latencies.expected(now, s.warmingUp, r.classIndex)
	}
	if s.best != nil && b.isOutlier(s.best) {
		s.bestLatency = 0
	}
	return s.best, s.bestLatency
}

// isOutlier reports whether an endpoint is ejected while most are healthy.
func (b *balancer) isOutlier(ep *endpoint) bool { return ep.ejected && b.honorsEjections }

// ejectOutliers ejects outliers, and returns the number of listed endpoints and the number
// of those that are not ejected.
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

// scanCandidates examines the first subsetSize endpoints that may take an attempt of r, and
// further ones only while s.best is not set.
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

// examine adds one candidate to the selection.
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

// score returns a candidate's score, lower is better: its expected latency with some jitter,
// increased for an error rate above the overall one. The way to another zone is part of the latency.
func (b *balancer) score(ep *endpoint, latency float64) float64 {
	score := latency / math.Sqrt(ep.slowness.ratio) * (1 + latencyJitter*b.rng.Float64())
	return score * (1 + errorPenalty*max(ep.errorRate-b.outliers.overallErrorRate, 0))
}

// preferWarmingUp reports whether the attempt goes to s.warmingUp rather than to s.best. A
// recovery trial takes precedence.
//
// Endpoints that are warming up get load in proportion to their slow-start factors, whatever
// their latencies, so that neither they nor the warm endpoints get more than their share.
// Two limits keep the load from all gateways together well below an overload. An endpoint
// that is warming up gets at most its slow-start factor times the mean load times
// maxWarmUpShare of OverloadMultiple (or times 1 if that is more), even if too few endpoints
// are left for the load. And it gets almost no load while no attempts are answered.
func (b *balancer) preferWarmingUp(s *candidateSelection, listed int) bool {
	if s.warmingUp == nil || s.bestScore <= 0 {
		return false
	}
	share := min(1/s.slowStartFactorSum, max(maxWarmUpShare*b.settings.OverloadMultiple, 1)/s.candidates)
	return b.rng.Float64() < s.warmingUpFactorSum*share*b.throttle.successRatio(s.now, listed)
}
