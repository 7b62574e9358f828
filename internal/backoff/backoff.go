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
	Min  time.Duration // upper bound of the first delay
	Max  time.Duration // upper bound of every delay
	Rand *rand.Rand    // source of the jitter

	bound time.Duration // upper bound of the next delay; 0 stands for Min
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	bound := min(max(b.bound, b.Min), b.Max)
	b.bound = 2 * bound
	return time.Duration(b.Rand.Float64() * float64(bound))
}

// Reset records a success: the bound of the next delay is Min again.
func (b *Backoff) Reset() { b.bound = 0 }
