package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newBackoff(seed uint64, minBound, maxBound time.Duration) *Backoff {
	return &Backoff{Min: minBound, Max: maxBound, Rand: rand.New(rand.NewPCG(seed, 0))}
}

func TestBoundDoublesUpToMaxAndResetsAfterSuccess(t *testing.T) {
	b := newBackoff(1, 100, 500)
	for _, bound := range []time.Duration{100, 200, 400, 500, 500} {
		longest := time.Duration(0)
		for range 1000 {
			retry := *b
			longest = max(longest, retry.Next())
		}
		b.Next()
		if longest > bound || longest < bound*9/10 {
			t.Errorf("the longest of many delays is %d, want about %d", longest, bound)
		}
	}
	b.Reset()
	if delay := b.Next(); delay > 100 {
		t.Errorf("after a success %d, want 100 at most", delay)
	}
}

// The model of this test is a service that takes 15 calls a second in turn, also those that
// their callers gave up after 2 s. All callers start in step.
func TestCallersThatStartTogetherAreAllServed(t *testing.T) {
	const callers = 80
	if served := servedCallers(callers, false); served < callers {
		t.Errorf("%d of %d were served within 30 s", served, callers)
	}
	if served := servedCallers(callers, true); served > callers/2 {
		t.Errorf("with fixed delays %d of %d were served: the model proves nothing", served, callers)
	}
}

// servedCallers is how many calls the service answers in time within 30 s, where the callers
// retry after fixed delays or after those of a Backoff.
func servedCallers(callers int, fixed bool) int {
	const (
		serviceTime = time.Second / 15
		timeout     = 2 * time.Second
		fixedDelay  = 100 * time.Millisecond
	)
	window := time.Duration(callers) * 80 * time.Millisecond
	due := make([]time.Duration, callers)
	backoffs := make([]*Backoff, callers)
	for i := range backoffs {
		backoffs[i] = newBackoff(uint64(i+1), window, 8*window)
		if !fixed {
			due[i] = backoffs[i].Next()
			backoffs[i].Reset()
		}
	}
	served := 0
	idleAt := time.Duration(0)
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		for i := range due {
			if due[i].Truncate(time.Millisecond) != now {
				continue
			}
			idleAt = max(idleAt, now) + serviceTime
			switch {
			case idleAt-now <= timeout:
				served++
			case fixed:
				due[i] = now + timeout + fixedDelay
			default:
				due[i] = now + timeout + backoffs[i].Next()
			}
		}
	}
	return served
}
