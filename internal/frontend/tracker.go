package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// noRequestIdleFactor is how much faster a connection ages that never sent a whole request,
// so that those make room first. It is finite: connections that sent one request and stay
// must not be able to fill the limit and leave the new ones to evict only each other.
const noRequestIdleFactor = 8

// Tracker knows the open connections of clients. It holds their number to a limit, and
// closes the idle ones when the node drains. It has a lock of its own; its
// methods may be called from any goroutine.
type Tracker struct {
	maxConns int
	memory   *MemoryBudget // for what is read ahead

	mu        sync.Mutex
	conns     map[net.Conn]*Conn // the open ones
	draining  bool
	allClosed chan struct{} // closed when none is open any more; nil: nobody waits for that
}

// NewTracker returns a tracker that allows maxConns open connections. What their clients
// send ahead of an answer takes part in the memory budget.
func NewTracker(maxConns int, memory *MemoryBudget) *Tracker {
	return &Tracker{maxConns: maxConns, memory: memory, conns: map[net.Conn]*Conn{}}
}

// Stats is a count of a tracker's connections at one moment.
type Stats struct {
	MaxConns       int // how many may be open
	Open           int
	Idle           int // answered, and nothing of the next request was read
	SentRequest    int // that have sent a whole request
	ReadAhead      int // whose clients sent beyond a request in flight
	ReadAheadBytes int // that those sent, and that are not yet consumed
}

// Stats returns a snapshot, for diagnosis and tests.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := Stats{MaxConns: t.maxConns, Open: len(t.conns)}
	for _, c := range t.conns {
		if c.idle {
			stats.Idle++
		}
		if c.hasSentRequest {
			stats.SentRequest++
		}
		if ahead := c.readAhead.Load(); ahead != nil {
			stats.ReadAhead++
			stats.ReadAheadBytes += ahead.buffered()
		}
	}
	return stats
}

// ConnContext registers a new connection, and lets its requests' handler find it by
// [ConnFromContext]. Beyond the limit a connection is evicted for it. It is the hook of that
// name of an [http.Server]; the connection must come from a [Listener].
func (t *Tracker) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c := conn.(*Conn) // made by a Listener
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.maxConns {
		t.evictFor(c)
	}
	c.idleSince = time.Now()
	if !c.closedLocally {
		t.conns[c] = c
	}
	return context.WithValue(ctx, connKey{}, c)
}

// evictFor closes one connection so that a new one fits the limit: the longest idle of
// those without a request in flight, where a moment weighs more on one that never sent a
// whole request. If all are busy the new one itself goes. The lock is held.
func (t *Tracker) evictFor(incoming *Conn) {
	evicted := incoming
	longest := time.Duration(-1)
	now := time.Now()
	for _, c := range t.conns {
		idle := now.Sub(c.idleSince)
		if !c.hasSentRequest {
			idle *= noRequestIdleFactor
		}
		if !c.busy && idle > longest {
			evicted = c
			longest = idle
		}
	}
	evicted.closeLocally()
	delete(t.conns, evicted)
}

// ConnState follows the state of a connection. It is the hook of that name of an
// [http.Server].
func (t *Tracker) ConnState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateIdle:
		if c := t.conns[conn]; c != nil {
			t.requestAnswered(c)
		}
	case http.StateClosed, http.StateHijacked:
		t.remove(conn)
	}
}

// requestAnswered notes that a connection waits for its next request. The lock is held.
func (t *Tracker) requestAnswered(c *Conn) {
	c.idle = !c.nextRequestStarted
	c.busy = false
	c.idleSince = time.Now()
	if t.draining && c.idle {
		c.closeLocally() // its answer went out before it could announce the close
	}
}

// remove drops a closed connection. The lock is held.
func (t *Tracker) remove(conn net.Conn) {
	delete(t.conns, conn)
	if len(t.conns) == 0 && t.allClosed != nil {
		close(t.allClosed)
		t.allClosed = nil
	}
}

// startDraining closes the idle connections, now and as they become idle. New ones on which
// nothing came yet stay open: their clients would not send again what is on its way.
func (t *Tracker) startDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for _, c := range t.conns {
		if c.idle {
			c.closeLocally()
		}
	}
}

// Draining reports whether connections are to be closed after their answer.
func (t *Tracker) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// setFinalReadDeadline gives the requests that are still on their way until a deadline to
// come whole.
func (t *Tracker) setFinalReadDeadline(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if !c.busy {
			c.SetReadDeadline(deadline)
		}
	}
}

// notifyAllClosed returns a channel that is closed once no connection is open. It is called
// once, when no new connection is accepted any more.
func (t *Tracker) notifyAllClosed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	allClosed := make(chan struct{})
	if len(t.conns) == 0 {
		close(allClosed)
	} else {
		t.allClosed = allClosed
	}
	return allClosed
}
