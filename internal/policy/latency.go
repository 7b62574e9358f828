package policy

import (
	"math"
	"time"
)

const (
	minServiceTimeGain    = 0.02             // smallest weight of one answer in a class's mean service time and in the mean latency
	serviceTimeMemory     = 2 * time.Second  // an answer this long after the last one of its class has half of the weight in the mean service time
	baseServiceTimeMemory = 30 * time.Second // time constant with which the service time without a queue follows a mean that stays higher
	slownessGain          = 0.05             // weight of one answer in an endpoint's slowness; low because requests differ widely
	maxSlownessSample     = 4.0              // upper limit of one sample of slowness, against the effect of one long request
	slownessDecayTime     = 10 * time.Second // time constant with which slowness decays to 1 without answers
	assumedOtherAttempts  = 1.0              // attempts of other gateways assumed at every endpoint
	smallFleetSize        = 3                // up to this many gateways, the attempts of this gateway at an endpoint show whether it has a queue
	initialServiceTime    = 0.1              // seconds; first guess of a class's service time, with the weight of one answer

	latencyPercentile   = 0.95 // share of the answers that come within the likely latency
	initialLatencyRatio = 3.0  // first guess of the likely latency relative to the expected one: that of exponentially distributed latencies
	latencyRatioGain    = 0.05 // relative change of that ratio by one answer that takes longer than the likely latency
)

// latencyEstimator predicts the latency of attempts. It estimates the mean service time of
// each class, which is the latency per position in an endpoint's queue, and the slowness of
// each endpoint relative to that. From how far its predictions were off it estimates the latency
// that most answers do not exceed.
type latencyEstimator struct {
	classes                 []classLatency
	answers                 float64 // number of answers in meanLatency
	meanLatency             float64 // of the answers of all classes, seconds
	likelyRatio             float64 // percentile latencyPercentile of the latencies of answers relative to the expected ones
	attemptsPerLocalAttempt float64 // attempts of the fleet at an endpoint for each one of this gateway
}

// classLatency is what the answers to requests of one class tell about their latency.
type classLatency struct {
	serviceTime     float64 // mean, seconds
	baseServiceTime float64 // least recent mean, seconds: the service time while endpoints have no queue
	answers         float64 // number of answers in serviceTime
	updatedAt       Time    // time of the last of them
	inFlight        int     // attempts of this gateway in flight
}

func newLatencyEstimator(settings *Settings) latencyEstimator {
	e := latencyEstimator{
		classes:                 make([]classLatency, len(settings.Classes)),
		likelyRatio:             initialLatencyRatio,
		attemptsPerLocalAttempt: max(1, float64(settings.Gateways)/smallFleetSize),
	}
	for i := range e.classes {
		e.classes[i].serviceTime = initialServiceTime
		e.classes[i].baseServiceTime = initialServiceTime
	}
	e.meanLatency = e.idleLatency(0)
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
	latency := e.classes[class].serviceTime * ep.slowness.at(now) * e.queuePosition(ep.inFlight)
	if ep.unanswered > 0 && ep.inFlight > 0 {
		latency = max(latency, (now - ep.unansweredSince).Seconds())
	}
	return latency
}

// idleLatency returns the expected latency in seconds of an attempt of a class at an endpoint
// without attempts of this gateway.
func (e *latencyEstimator) idleLatency(class int) float64 {
	return e.classes[class].serviceTime * e.queuePosition(0)
}

// likely returns the latency that an answer with an expected latency probably does not exceed.
// Both are in seconds.
func (e *latencyEstimator) likely(expected float64) float64 { return expected * e.likelyRatio }

// baseLatency returns the expected latency in seconds of an attempt of a class while endpoints
// have no queue.
func (e *latencyEstimator) baseLatency(class int) float64 {
	return e.classes[class].baseServiceTime * e.queuePosition(0)
}

// likelyWait returns the wait for the work ahead that an attempt with an expected latency probably
// does not exceed. Both are in seconds.
func (e *latencyEstimator) likelyWait(class int, expected float64) float64 {
	return e.likely(max(expected-e.baseLatency(class), 0))
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
		ep.slowness.update(now, serviceTime/e.classes[class].serviceTime)
		e.classes[class].update(now, serviceTime)
		e.updateMeanLatency(latency)
		e.updateLikelyRatio(latency, a.expectedLatency)
	case Overloaded: // the endpoint has more work than it can handle
		ep.slowness.update(now, 2*ep.slowness.ratio)
	}
}

// updateMeanLatency adds one answer to the mean latency.
func (e *latencyEstimator) updateMeanLatency(latency float64) {
	e.answers++
	e.meanLatency += max(minServiceTimeGain, 1/(e.answers+1)) * (latency - e.meanLatency)
}

// updateLikelyRatio moves the ratio up after an answer that took longer than the likely latency, and
// down after another one, by steps that cancel out if the share latencyPercentile takes no longer.
func (e *latencyEstimator) updateLikelyRatio(latency, expected float64) {
	switch {
	case expected <= 0: // not predicted
	case latency > e.likely(expected):
		e.likelyRatio *= 1 + latencyRatioGain
	default:
		e.likelyRatio = max(1, e.likelyRatio*(1-latencyRatioGain*(1-latencyPercentile)/latencyPercentile))
	}
}

// update adds one answer to the mean service time. The more time has passed since the last answer,
// the less the mean tells about the endpoints' queues now, and the greater is the answer's weight.
func (c *classLatency) update(now Time, serviceTime float64) {
	age := 0.0
	if c.answers > 0 {
		age = (now - c.updatedAt).Seconds()
	}
	c.answers++
	c.updatedAt = now
	gain := max(minServiceTimeGain, 1/(c.answers+1), age/(age+serviceTimeMemory.Seconds()))
	c.serviceTime += gain * (serviceTime - c.serviceTime)
	c.baseServiceTime += age / (age + baseServiceTimeMemory.Seconds()) * (c.serviceTime - c.baseServiceTime)
	c.baseServiceTime = min(c.baseServiceTime, c.serviceTime)
}
