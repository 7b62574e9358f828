// Package backoff spaces out the retries of a failed call by exponential backoff with full
// jitter, so that many callers that failed together do not come back together.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff yields the delays before successive retries. The upper bound of a delay starts at
// Min and doubles with each call of [Backoff.Next] up to Max; the delay is drawn uniformly
// between zero and that bound. The fields must be set before the first call. A Backoff is
// not safe for concurrent use.
type Backoff struct {
	Min  time.Duration // bound of the first delay
	Max  time.Duration // bound that no delay exceeds
	Rand *rand.Rand    // source of the jitter

	bound time.Duration // of the next delay; 0: Min
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	bound := min(max(b.bound, b.Min), b.Max)
	b.bound = 2 * bound
	return time.Duration(b.Rand.Float64() * float64(bound))
}

// Reset records a success: the delay after the next failure is bounded by Min again.
func (b *Backoff) Reset() { b.bound = 0 }
