package edge

import (
	"strconv"
	"time"
)

const (
	// ranRequestMemory is how long the ID of a request that may have run is remembered.
	ranRequestMemory = time.Minute
	// maxRanRequests limits the remembered IDs.
	maxRanRequests = 1 << 14
)

// ranRequests remembers the IDs of requests that may have run and must not run again, after they
// are closed. Every request has an ID of its own, so one that comes again with such an ID is a
// duplicate. Node.mu guards it.
type ranRequests struct {
	ids    map[uint64]struct{}
	oldest []ranRequest // in the order in which they were added
}

// ranRequest is one entry of [ranRequests].
type ranRequest struct {
	id      uint64
	addedAt time.Time
}

func newRanRequests() ranRequests { return ranRequests{ids: map[uint64]struct{}{}} }

// add remembers an ID, and forgets those that are too old or too many.
func (s *ranRequests) add(id string, now time.Time) {
	key := requestKey(id)
	s.ids[key] = struct{}{}
	s.oldest = append(s.oldest, ranRequest{id: key, addedAt: now})
	for len(s.oldest) > maxRanRequests || now.Sub(s.oldest[0].addedAt) > ranRequestMemory {
		delete(s.ids, s.oldest[0].id)
		s.oldest = s.oldest[1:]
	}
}

// contains reports whether an ID is remembered.
func (s *ranRequests) contains(id string) bool {
	_, found := s.ids[requestKey(id)]
	return found
}

// requestKey returns the number that an ID of 16 hexadecimal digits stands for.
func requestKey(id string) uint64 {
	key, _ := strconv.ParseUint(id, 16, 64) // the parser of requests has checked it
	return key
}

// rememberIfRan remembers the ID of a request that is closed, if it may have run and must not run
// again. The caller holds n.mu.
func (n *Node) rememberIfRan(r *request) {
	if r.idempotent {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			n.ranRequests.add(r.id, time.Now())
			return
		}
	}
}
