package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

func of(seed uint64, least, most time.Duration) *Backoff {
	return &Backoff{Least: least, Most: most, Rand: rand.New(rand.NewPCG(seed, 0))}
}

func TestStepsDoubleUpToTheMostAndStartAnewAfterASuccess(t *testing.T) {
	b := of(1, 100, 500)
	for _, step := range []time.Duration{100, 200, 400, 500, 500} {
		longest := time.Duration(0)
		for range 1000 {
			again := *b
			longest = max(longest, again.Next())
		}
		if b.Next(); longest > step || longest < step*9/10 {
			t.Errorf("the longest of many waits is %d, want about %d", longest, step)
		}
	}
	b.Reset()
	if d := b.Next(); d > 100 {
		t.Errorf("after a success %d, want 100 at most", d)
	}
}

func TestCallersThatStartTogetherAreAllServed(t *testing.T) {
	// A service takes 15 calls a second in turn, also those given up after 2 s. All callers start in step.
	const (
		callers  = 80
		each     = time.Second / 15
		patience = 2 * time.Second
	)
	for _, fixed := range []bool{true, false} {
		due, waits := make([]time.Duration, callers), make([]*Backoff, callers)
		for i := range waits {
			waits[i] = of(uint64(i+1), callers*80*time.Millisecond, 8*callers*80*time.Millisecond)
			if !fixed {
				due[i] = waits[i].Next()
				waits[i].Reset()
			}
		}
		served, idleAt := 0, time.Duration(0)
		for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
			for i := range due {
				if due[i].Truncate(time.Millisecond) != now {
					continue
				}
				idleAt = max(idleAt, now) + each
				switch {
				case idleAt-now <= patience:
					served++
				case fixed:
					due[i] = now + patience + 100*time.Millisecond
				default:
					due[i] = now + patience + waits[i].Next()
				}
			}
		}
		if fixed && served > callers/2 {
			t.Errorf("with fixed waits %d of %d were served: the model proves nothing", served, callers)
		}
		if !fixed && served < callers {
			t.Errorf("%d of %d were served within 30 s", served, callers)
		}
	}
}
