package policy

import (
	"math"
	"time"
)

const (
	minServiceTimeGain   = 0.02             // smallest weight of one answer in a class's mean service time, and its weight in the mean latency
	slownessGain         = 0.05             // weight of one answer in an endpoint's slowness; low because requests differ widely
	maxSlownessSample    = 4.0              // upper limit of one sample of slowness, against the effect of one long request
	slownessDecayTime    = 10 * time.Second // time constant with which slowness decays to 1 without answers
	assumedOtherAttempts = 1.0              // attempts of other gateways assumed at every endpoint
	smallFleetSize       = 3                // up to this many gateways, the attempts of this gateway at an endpoint show whether it has a queue

	// The initial service time of a class is its latency objective divided by this.
	initialServiceTimeDivisor = 12
)

// latencyEstimator predicts the latency of attempts. It estimates the mean service time of
// each class, which is the latency per position in an endpoint's queue, and the slowness of
// each endpoint relative to that.
type latencyEstimator struct {
	serviceTime             []float64 // mean by class, seconds
	samples                 []float64 // by class: number of answers in serviceTime
	meanLatency             float64   // of the answers of all classes, seconds
	attemptsPerLocalAttempt float64   // attempts of the fleet at an endpoint for each one of this gateway
}

func newLatencyEstimator(settings *Settings) latencyEstimator {
	e := latencyEstimator{
		serviceTime:             make([]float64, len(settings.Classes)),
		samples:                 make([]float64, len(settings.Classes)),
		attemptsPerLocalAttempt: max(1, float64(settings.Gateways)/smallFleetSize),
	}
	for i, class := range settings.Classes {
		e.serviceTime[i] = class.LatencyObjective.Seconds() / initialServiceTimeDivisor
	}
	e.meanLatency = e.serviceTime[0] * (1 + assumedOtherAttempts)
	return e
}

// slowness is an endpoint's service time relative to the mean of all endpoints.
type slowness struct {
	ratio     float64
	updatedAt Time
}

// update adds one sample to the moving average of the slowness.
func (s *slowness) update(now Time, sample float64) {
	s.ratio += slownessGain * (min(sample, maxSlownessSample) - s.ratio)
	s.updatedAt = now
}

// at returns the slowness at a time. Without new answers it decays to 1.
func (s *slowness) at(now Time) float64 {
	return 1 + (s.ratio-1)*math.Exp(-(now-s.updatedAt).Seconds()/slownessDecayTime.Seconds())
}

// expected returns the expected latency of an attempt of a class, in seconds. It is at least
// the time for which the endpoint has left attempts unanswered.
//
// Errors do not affect it. The balancer avoids endpoints with an error rate above the overall
// one, but requests are not shed for errors: a failing endpoint has no queue that shedding
// would shorten, and without requests it could not show that it has recovered. Nor can
// errors caused by this gateway or the network shut out all endpoints. If an overload shows
// only as errors, the throttle and the retry budget alone limit the load.
func (e *latencyEstimator) expected(now Time, ep *endpoint, class int) float64 {
	latency := e.serviceTime[class] * ep.slowness.at(now) * e.queuePosition(ep.inFlight)
	if ep.unanswered > 0 && ep.inFlight > 0 {
		latency = max(latency, (now - ep.unansweredSince).Seconds())
	}
	return latency
}

// queuePosition estimates the position of a new attempt in an endpoint's queue from the
// attempts that this gateway has in flight there.
func (e *latencyEstimator) queuePosition(inFlight int) float64 {
	return float64(inFlight)*e.attemptsPerLocalAttempt + 1 + assumedOtherAttempts
}

// observe updates the estimates with the outcome of an attempt that took latency seconds.
func (e *latencyEstimator) observe(now Time, class int, a *attempt, outcome Outcome, latency float64) {
	ep := a.endpoint
	switch outcome {
	case Succeeded:
		serviceTime := latency / e.queuePosition(a.inFlightBefore)
		e.updateMeans(class, serviceTime, latency)
		ep.slowness.update(now, serviceTime/e.serviceTime[class])
	case Overloaded: // the endpoint has more work than it can handle
		ep.slowness.update(now, 2*ep.slowness.ratio)
	}
}

// updateMeans adds one answer to the means of the class's service time and of the latency.
func (e *latencyEstimator) updateMeans(class int, serviceTime, latency float64) {
	e.samples[class]++
	gain := max(minServiceTimeGain, 1/(e.samples[class]+4))
	e.serviceTime[class] += gain * (serviceTime - e.serviceTime[class])
	e.meanLatency += minServiceTimeGain * (latency - e.meanLatency)
}
