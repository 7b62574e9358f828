package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	maxStartedPerSuccess = 1.3             // attempts started for each answer in time, at most
	throttleWindow       = 3 * time.Second // time constant over which attempts are counted
	ignoredFailures      = 1.5             // attempts without an answer in time that prove nothing

	// Attempts at each endpoint, by all gateways together, before any answer is known. With
	// maxWarmUpShare that is two for an endpoint that is warming up.
	initialAttemptsPerEndpoint = 5.0

	maxLatencyShare     = 0.4  // part of the latency objective that an attempt may be expected to take
	maxIdleLatencyShare = 0.65 // the same with none of ours in flight there: no queue is the cause
)

// throttle keeps the attempts that start near the attempts that are answered in time. It
// guards endpoints that all fall behind, where the few attempts of one gateway show no
// queue; losses of a quarter of the answers leave it idle.
type throttle struct {
	settings  *Settings
	rng       *rand.Rand
	expected  float64 // attempts of the last throttleWindow that should have been answered in time
	succeeded float64 // the answers in time among them
	started   float64 // attempts started in the last throttleWindow
	updatedAt Time
}

func newThrottle(settings *Settings, rng *rand.Rand) throttle {
	return throttle{settings: settings, rng: rng}
}

// shouldShed reports whether even the best endpoint is so far behind that a queue would
// only exceed the latency objective; expectedLatency is the one there, in seconds. Where
// endpoints are slow without queues, shedding shortens nothing, so a little is admitted.
//
// The expected latency takes every attempt for a whole wait, though endpoints work on
// several at once. The shares of the objective leave room for that; larger ones let queues
// grow where endpoints truly are behind.
func (t *throttle) shouldShed(now Time, r *request, ep *endpoint, expectedLatency float64) bool {
	if t.rng.Float64()*t.expected < t.expected-maxStartedPerSuccess*t.succeeded-ignoredFailures {
		t.record(now, 1, 0)
		return true
	}
	share := maxLatencyShare
	if ep.inFlight == 0 { // with many gateways, none of ours says little
		share += (maxIdleLatencyShare - maxLatencyShare) * min(1, smallFleetSize/float64(t.settings.Gateways))
	}
	return expectedLatency > share*(r.objectiveAt-now).Seconds()
}

// attemptStarted counts a started attempt.
func (t *throttle) attemptStarted(now Time) {
	t.record(now, 0, 0)
	t.started++
}

// attemptEnded counts the outcome of an attempt, as far as it tells what endpoints can do.
func (t *throttle) attemptEnded(now Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		t.record(now, 1, 1)
	case TimedOut, ConnectFailed:
		t.record(now, 1, 0)
	}
	switch outcome {
	case Succeeded, TimedOut, Overloaded:
	default: // what breaks or is canceled tells nothing of what endpoints can do
		t.started = max(t.started-1, 0)
	}
}

// record fades the counts to now and adds attempts that should be answered in time, those
// that were shed for want of answers included, and the answers in time among them.
func (t *throttle) record(now Time, expected, succeeded float64) {
	decay := math.Exp(-(now - t.updatedAt).Seconds() / throttleWindow.Seconds())
	t.expected = t.expected*decay + expected
	t.succeeded = t.succeeded*decay + succeeded
	t.started *= decay
	t.updatedAt = now
}

// successRatio is the part of the recently started attempts that the answers bear out: a
// guide to what endpoints can do. Many gateways that know nothing yet, or whose clients
// all retry, start far more attempts than that.
func (t *throttle) successRatio(now Time, endpoints int) float64 {
	t.record(now, 0, 0)
	initialAttempts := initialAttemptsPerEndpoint * float64(endpoints) / float64(t.settings.Gateways)
	return min(1, (maxStartedPerSuccess*t.succeeded+initialAttempts)/max(t.started, 1))
}
