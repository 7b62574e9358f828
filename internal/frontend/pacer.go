package frontend

import (
	"sync"
	"time"
)

const (
	// freeRequestRate and freeRequestBurst are the requests per second, and at once, that a
	// connection may send without using the shared rate, one at a time.
	freeRequestRate  = 10.0
	freeRequestBurst = 10.0
	// sharedRequestRate is the rate, per second and processor core of the process, of the requests
	// beyond that on all connections together.
	sharedRequestRate = 4000.0
	// minPause is the shortest pause. Shorter ones add up to one, as a timer takes about as long.
	minPause = 2 * time.Millisecond
)

// requestPacer limits how fast the node reads requests on connections that send very many, so
// that a few clients can't take all processor time. It delays the reading of the next request,
// never an answer. Connections that send few requests are not limited. Its methods may be called
// from any goroutine.
type requestPacer struct {
	interval time.Duration // between two requests of the shared rate

	mu       sync.Mutex
	nextSlot time.Time // when the next request beyond the free ones may be read
}

// newRequestPacer returns a pacer for a process that may use a number of processor cores.
func newRequestPacer(cores float64) *requestPacer {
	return &requestPacer{interval: time.Duration(float64(time.Second) / (sharedRequestRate * cores))}
}

// requestAllowance holds the requests that one connection may send without using the shared
// rate. Its owner guards it.
type requestAllowance struct {
	used      float64 // of the burst
	updatedAt time.Time
}

// withdraw takes one request from the allowance and reports whether there was one.
func (a *requestAllowance) withdraw(now time.Time) bool {
	a.used = max(a.used-freeRequestRate*now.Sub(a.updatedAt).Seconds(), 0)
	a.updatedAt = now
	if a.used+1 > freeRequestBurst {
		return false
	}
	a.used++
	return true
}

// delay takes a slot of the shared rate and returns how long to pause before it: 0 or at least
// minPause.
func (p *requestPacer) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextSlot.Before(now) {
		p.nextSlot = now
	}
	wait := p.nextSlot.Sub(now)
	p.nextSlot = p.nextSlot.Add(p.interval)
	if wait < minPause {
		return 0
	}
	return wait
}
