package upstream

import (
	"math/bits"
	"time"
)

// Some servers drop idle connections long before the announced idle timeout and
// without closing them: a reused connection that breaks right after the request was
// written is the sign of that.
const (
	// earlyBreakWindow is how soon after a request was written its connection has to
	// break for the break to be blamed on the connection's idle age.
	earlyBreakWindow = 20 * time.Millisecond
	// maxExcessBreakShare is the share of requests at an idle age whose connection may
	// break early, beyond twice the share that breaks at the youngest age.
	maxExcessBreakShare = 0.2
	// minRequestsPerBucket is the number of requests below which an idle age is not judged.
	minRequestsPerBucket = 4
	// decayInterval is the time after which the counts are halved, so that an idle age
	// that is avoided is tried again some day.
	decayInterval = 10 * time.Second
)

const (
	// firstBucketMaxAge is the upper end of the youngest bucket; each further bucket
	// reaches to twice the age: 25 ms, 50 ms, 100 ms and so on.
	firstBucketMaxAge = 25 * time.Millisecond
	// idleAgeBuckets is the number of buckets; the last one has no upper end.
	idleAgeBuckets = 12
)

// idleAgeStats counts requests on reused connections, and those whose connection broke
// early, by how long the connection had been idle.
type idleAgeStats struct {
	requests  [idleAgeBuckets]float64
	broken    [idleAgeBuckets]float64
	decayedAt time.Time
}

// bucketOf returns the index of an idle age's bucket.
func bucketOf(age time.Duration) int {
	return min(bits.Len64(uint64(age/firstBucketMaxAge)), idleAgeBuckets-1)
}

// record counts one request on a connection of an idle age.
func (s *idleAgeStats) record(age time.Duration, broken bool) {
	s.decay(time.Now())
	bucket := bucketOf(age)
	s.requests[bucket]++
	if broken {
		s.broken[bucket]++
	}
}

// decay halves the counts once the interval has passed.
func (s *idleAgeStats) decay(now time.Time) {
	if now.Sub(s.decayedAt) <= decayInterval {
		return
	}
	for bucket := range s.requests {
		s.requests[bucket] /= 2
		s.broken[bucket] /= 2
	}
	s.decayedAt = now
}

// isStale reports whether connections of an idle age break much more often than young ones.
func (s *idleAgeStats) isStale(age time.Duration) bool {
	bucket := bucketOf(age)
	if bucket == 0 || s.requests[bucket] < minRequestsPerBucket {
		return false
	}
	baselineShare := s.broken[0] / max(s.requests[0], 1)
	return s.broken[bucket] > s.requests[bucket]*(maxExcessBreakShare+2*baselineShare)
}
