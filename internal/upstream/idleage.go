package upstream

import (
	"math/bits"
	"time"
)

// The idle age of a connection is how long it was idle before a request. Some endpoints
// drop idle connections long before the announced idle timeout and without closing them;
// a sign of this is a reused connection that breaks right after the request was written.
const (
	// earlyBreakWindow is how long after a request was written a break of its connection
	// is attributed to the connection's idle age.
	earlyBreakWindow = 20 * time.Millisecond
	// maxExcessBreakShare is how far the share of requests whose connection breaks early
	// may exceed twice that share in the first bucket; beyond that an idle age is stale.
	maxExcessBreakShare = 0.2
	// minRequestsPerBucket is the number of requests that a bucket needs before its idle
	// ages may count as stale.
	minRequestsPerBucket = 4
	// decayInterval is the time after which the counts are halved, so that connections of
	// a stale idle age are eventually used again.
	decayInterval = 10 * time.Second
)

const (
	// firstBucketMaxAge is the upper limit of the first bucket of idle ages. The limit
	// doubles with each further bucket: 25 ms, 50 ms, 100 ms and so on.
	firstBucketMaxAge = 25 * time.Millisecond
	// idleAgeBuckets is the number of buckets; the last one has no upper limit.
	idleAgeBuckets = 12
)

// idleAgeStats counts the requests on reused connections, and those of them whose
// connection broke early, by the connection's idle age. It is part of a [Pool] and guarded
// by the same lock.
type idleAgeStats struct {
	requests  [idleAgeBuckets]float64
	broken    [idleAgeBuckets]float64
	decayedAt time.Time
}

// bucketOf returns the index of the bucket that contains an idle age.
func bucketOf(age time.Duration) int {
	return min(bits.Len64(uint64(age/firstBucketMaxAge)), idleAgeBuckets-1)
}

// record counts one request on a connection of an idle age; broken says whether the
// connection broke early.
func (s *idleAgeStats) record(age time.Duration, broken bool) {
	s.decay(time.Now())
	bucket := bucketOf(age)
	s.requests[bucket]++
	if broken {
		s.broken[bucket]++
	}
}

// decay halves the counts if more than decayInterval has passed since the last time.
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

// isStale reports whether connections of an idle age break much more often than those in
// the first bucket.
func (s *idleAgeStats) isStale(age time.Duration) bool {
	bucket := bucketOf(age)
	if bucket == 0 || s.requests[bucket] < minRequestsPerBucket {
		return false
	}
	baselineShare := s.broken[0] / max(s.requests[0], 1)
	return s.broken[bucket] > s.requests[bucket]*(maxExcessBreakShare+2*baselineShare)
}
