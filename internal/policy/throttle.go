package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	maxStartedPerSuccess = 1.3             // requests are shed while there are more attempts than this for each answer in time
	throttleWindow       = 3 * time.Second // time constant with which the counts decay
	ignoredFailures      = 1.5             // this many attempts without an answer in time cause no shedding

	// Attempts that all gateways together start at each endpoint before any answer is known.
	// With maxWarmUpShare, this makes about two at an endpoint that is warming up.
	initialAttemptsPerEndpoint = 5.0
)

// throttle sheds requests so that the number of attempts stays close to the number that is
// answered in time. It protects endpoints that are all overloaded, where a gateway with few
// attempts would see no queue. A loss of a quarter of the answers does not trigger it. Its
// counts decay with the time constant throttleWindow.
type throttle struct {
	settings  *Settings
	rng       *rand.Rand
	expected  float64 // attempts that should have been answered in time
	succeeded float64 // attempts that were answered in time
	started   float64 // attempts started
	updatedAt Time
}

func newThrottle(settings *Settings, rng *rand.Rand) throttle {
	return throttle{settings: settings, rng: rng}
}

// shouldShed reports whether to shed a request: at random while too few attempts are answered in
// time. Shed requests do not count as failures, or refusals would go on long after their cause.
func (t *throttle) shouldShed(now Time) bool {
	t.record(now, 0, 0)
	excess := t.expected - maxStartedPerSuccess*t.succeeded - ignoredFailures
	return t.rng.Float64()*t.expected < excess
}

// attemptStarted counts a started attempt.
func (t *throttle) attemptStarted(now Time) {
	t.record(now, 0, 0)
	t.started++
}

// attemptEnded updates the counts with an attempt's outcome, as far as that tells about the
// endpoints' capacity. A failed connection counts as an attempt that was not answered in
// time, but not as a started one.
func (t *throttle) attemptEnded(now Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		t.record(now, 1, 1)
	case TimedOut, ConnectFailed:
		t.record(now, 1, 0)
	}
	switch outcome {
	case Succeeded, TimedOut, Overloaded:
	default: // the other outcomes tell nothing about the endpoints' capacity
		t.attemptUncounted()
	}
}

// attemptUncounted takes back that an attempt was started, as its end tells nothing about the
// endpoints' capacity.
func (t *throttle) attemptUncounted() { t.started = max(t.started-1, 0) }

// record decays the counts to now and then adds to them: expected is the number of attempts
// that should have been answered in time, succeeded the number of those that were.
func (t *throttle) record(now Time, expected, succeeded float64) {
	decay := math.Exp(-(now - t.updatedAt).Seconds() / throttleWindow.Seconds())
	t.expected = t.expected*decay + expected
	t.succeeded = t.succeeded*decay + succeeded
	t.started *= decay
	t.updatedAt = now
}

// successRatio returns the share of the recently started attempts that is justified by the
// answers in time, an estimate of the load that the endpoints can serve. A fleet that has no
// answers yet, or whose clients all retry, starts far more attempts than that.
func (t *throttle) successRatio(now Time, endpoints int) float64 {
	t.record(now, 0, 0)
	initialAttempts := initialAttemptsPerEndpoint * float64(endpoints) / float64(t.settings.Gateways)
	return min(1, (maxStartedPerSuccess*t.succeeded+initialAttempts)/max(t.started, 1))
}
