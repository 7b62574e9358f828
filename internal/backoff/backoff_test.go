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
			t.Errorf("longest of 1000 delays is %d, want from %d to %d", longest, bound*9/10, bound)
		}
	}
	b.Reset()
	if delay := b.Next(); delay > 100 {
		t.Errorf("delay after a success is %d, want 100 at most", delay)
	}
}

// Guards against callers that fail together and then overload the service by retrying together.
// The test models a service that processes 15 calls a second one at a time, including calls that
// their callers gave up after 2 s. All callers start at the same time.
func TestCallersThatStartTogetherAreAllServed(t *testing.T) {
	const callers = 80
	if served := servedCallers(callers, false); served < callers {
		t.Errorf("with a Backoff %d of %d callers were served within 30 s, want all", served, callers)
	}
	if served := servedCallers(callers, true); served > callers/2 {
		t.Errorf("with fixed delays %d of %d callers were served, want half at most, or the model does not show the overload", served, callers)
	}
}

// servedCallers returns how many callers the service answers within their timeout in 30 s. The
// callers retry after a fixed delay or after the delays of a Backoff.
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
