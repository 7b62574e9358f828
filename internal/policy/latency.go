package policy

import (
	"math"
	"time"
)

const (
	minServiceTimeGain   = 0.02             // least weight of one answer in a class's service time
	slownessGain         = 0.05             // weight of one answer in an endpoint's slowness: work varies widely
	maxSlownessSample    = 4.0              // times the usual; beyond, one long request proves no more
	slownessDecayTime    = 10 * time.Second // an unused endpoint's slowness fades to the usual over this
	assumedOtherAttempts = 1.0              // attempts of other gateways taken to be at an endpoint beside ours
	smallFleetSize       = 3                // gateways up to which an endpoint idle for us is taken to be idle

	// Part of the latency objective taken for the service time until answers replace it.
	initialServiceTimeDivisor = 12
)

// latencyEstimator predicts the latency of attempts. It learns each class's usual service
// time, which is the latency for each position in the endpoint's queue, and each
// endpoint's slowness relative to that.
type latencyEstimator struct {
	serviceTime             []float64 // by class, seconds
	samples                 []float64 // by class: answers that serviceTime was learned from
	meanLatency             float64   // usual latency of an answer of any class, seconds
	attemptsPerLocalAttempt float64   // at an endpoint, for each attempt of ours: with many gateways several
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

// slowness is an endpoint's service time relative to the usual one.
type slowness struct {
	ratio     float64
	updatedAt Time
}

// update moves the slowness towards one sample.
func (s *slowness) update(now Time, sample float64) {
	s.ratio += slownessGain * (min(sample, maxSlownessSample) - s.ratio)
	s.updatedAt = now
}

// at is the slowness at a time: it fades to the usual without new answers.
func (s *slowness) at(now Time) float64 {
	return 1 + (s.ratio-1)*math.Exp(-(now-s.updatedAt).Seconds()/slownessDecayTime.Seconds())
}

// expected is the latency to expect of an attempt of a class, in seconds, and at least as
// long as the endpoint has been silent.
//
// Errors are no part of it. They steer the balancer away from an endpoint that has more of
// them than all have, but an endpoint that fails has no queue that shedding would shorten,
// and one that is shed for its errors never gets to disprove them. This also keeps errors
// of our own side, or of the network, from shutting out all endpoints. It could harm where
// overload shows as errors only; there the throttle and the retry budget are what is left.
func (e *latencyEstimator) expected(now Time, ep *endpoint, class int) float64 {
	latency := e.serviceTime[class] * ep.slowness.at(now) * e.queuePosition(ep.inFlight)
	if ep.unanswered > 0 && ep.inFlight > 0 {
		latency = max(latency, (now - ep.unansweredSince).Seconds())
	}
	return latency
}

// queuePosition guesses the attempts at an endpoint, one more included, where this gateway
// has some in flight.
func (e *latencyEstimator) queuePosition(inFlight int) float64 {
	return float64(inFlight)*e.attemptsPerLocalAttempt + 1 + assumedOtherAttempts
}

// observe learns from the outcome of an attempt that took latency seconds.
func (e *latencyEstimator) observe(now Time, class int, a *attempt, outcome Outcome, latency float64) {
	ep := a.endpoint
	switch outcome {
	case Succeeded:
		serviceTime := latency / e.queuePosition(a.inFlightBefore)
		e.updateMeans(class, serviceTime, latency)
		ep.slowness.update(now, serviceTime/e.serviceTime[class])
	case Overloaded: // it has more than it can do
		ep.slowness.update(now, 2*ep.slowness.ratio)
	}
}

// updateMeans moves the class's service time and the usual latency towards one answer's.
func (e *latencyEstimator) updateMeans(class int, serviceTime, latency float64) {
	e.samples[class]++
	gain := max(minServiceTimeGain, 1/(e.samples[class]+4))
	e.serviceTime[class] += gain * (serviceTime - e.serviceTime[class])
	e.meanLatency += minServiceTimeGain * (latency - e.meanLatency)
}
