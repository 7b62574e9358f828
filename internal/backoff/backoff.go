// Package backoff spaces out repeats of a failed call, so that many callers that
// failed together do not come back together.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the waits before the calls: each is drawn evenly from a step
// ("full jitter"), and the steps double from Least to Most. It is not safe for
// concurrent use.
type Backoff struct {
	Least, Most time.Duration
	Rand        *rand.Rand

	step time.Duration // of the next wait; 0: Least
}

// Next returns how long to wait before the next call.
func (b *Backoff) Next() time.Duration {
	d := min(max(b.step, b.Least), b.Most)
	b.step = 2 * d
	return time.Duration(b.Rand.Float64() * float64(d))
}

// Reset notes a success: the next failure starts from Least again.
func (b *Backoff) Reset() { b.step = 0 }
