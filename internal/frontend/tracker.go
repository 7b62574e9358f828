package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftpitch/internal/socket"
)

// noRequestIdleFactor multiplies the idle time of a connection that never sent a complete
// request, so that such connections are evicted first. It is finite, because otherwise
// connections that sent one request and stay open could fill the limit, and new ones would
// evict only each other.
const noRequestIdleFactor = 8

const (
	// maxEvicting limits the connections that are to end but are still open. They come on top
	// of the limit on open connections.
	maxEvicting = 1
	// maxEvictionWait limits how long a new connection waits for the end of the one that it
	// replaces. That takes less, unless the client is sent an error first.
	maxEvictionWait = 20 * time.Millisecond
)

// Tracker records the open connections of clients. It limits their number, and closes the
// idle ones when the node drains. It has its own lock; its methods may be called from any
// goroutine.
type Tracker struct {
	maxConns int
	memory   *MemoryBudget // for the read-ahead buffers
	pacer    *requestPacer // has a lock of its own

	mu        sync.Mutex
	conns     map[net.Conn]*Conn // the open connections
	evicting  int                // those of them that are being evicted
	draining  bool
	allClosed chan struct{} // closed once no connection is open; nil: not requested or already closed
}

// NewTracker returns a tracker that allows maxConns open connections. Data that clients send
// before they have received a response is charged to the memory budget.
func NewTracker(maxConns int, memory *MemoryBudget) *Tracker {
	return &Tracker{maxConns: maxConns, memory: memory, pacer: newRequestPacer(1), conns: map[net.Conn]*Conn{}}
}

// SetCores sets the number of processor cores that the process may use, which is 1 before. It
// must be called before the first connection is accepted.
func (t *Tracker) SetCores(cores float64) { t.pacer = newRequestPacer(cores) }

// Stats is a snapshot of the counts of a tracker's connections.
type Stats struct {
	MaxConns       int // limit on open connections
	Open           int // open connections
	Idle           int // connections whose last request is answered, with no byte of the next one read
	Receiving      int // connections with a request of which part was read and that is not accepted yet
	SentRequest    int // connections that have sent at least one complete request
	ReadAhead      int // connections whose clients sent more data while a request was in flight
	ReadAheadBytes int // bytes of that data that are not yet consumed
}

// Stats returns the current counts, for diagnosis and tests.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := Stats{MaxConns: t.maxConns, Open: len(t.conns)}
	for _, c := range t.conns {
		if c.idle {
			stats.Idle++
		}
		if c.requestStarted {
			stats.Receiving++
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

// ConnContext records a new connection and adds it to the context of its requests, where
// [ConnFromContext] finds it. At the limit it evicts a connection. It is the ConnContext hook
// of an [http.Server]; the connection must come from a [Listener].
func (t *Tracker) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c := conn.(*Conn) // made by a Listener
	if evictionEnded := t.add(c); evictionEnded != nil {
		select {
		case <-evictionEnded:
		case <-time.After(maxEvictionWait):
		}
	}
	return context.WithValue(ctx, connKey{}, c)
}

// add records a new connection. At the limit it evicts one; if that is still open, it returns
// a channel that is closed when the eviction has ended, else nil.
func (t *Tracker) add(c *Conn) (evictionEnded <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.idleSince = time.Now()
	if t.keptConns() >= t.maxConns {
		evictionEnded = t.evictFor(c)
	}
	if !c.closedLocally {
		t.conns[c] = c
	}
	return evictionEnded
}

// keptConns returns the number of open connections that are not being evicted. The lock is
// held.
func (t *Tracker) keptConns() int { return len(t.conns) - t.evicting }

// evictFor makes one connection end so that an incoming one fits the limit. It closes the
// connection that has been idle longest. If there is none, it stops reading the one that has
// been receiving its first request longest; the connection then ends, unless that request
// turns out to be complete. If there is none of that kind either, it closes the incoming one.
// Requests in flight and further requests that are being received are never cut off. It
// returns a channel that is closed when a connection that is still open has ended or is kept,
// or nil. The lock is held.
func (t *Tracker) evictFor(incoming *Conn) (evictionEnded <-chan struct{}) {
	now := incoming.idleSince
	if idle := t.longestIdle(now); idle != nil {
		idle.closeLocally()
		delete(t.conns, idle)
		return nil
	}
	receiving := t.longestReceivingFirstRequest(now)
	if receiving == nil || t.evicting >= maxEvicting {
		incoming.closeLocally()
		return nil
	}
	receiving.evicting = true
	receiving.evictionEnded = make(chan struct{})
	t.evicting++
	receiving.stopReading(now)
	return receiving.evictionEnded
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle. The
// idle time of those that never sent a complete request is multiplied by
// [noRequestIdleFactor]. A connection is not idle if the kernel holds bytes that the client
// has sent. The lock is held.
func (t *Tracker) longestIdle(now time.Time) (longest *Conn) {
	longestTime := time.Duration(-1)
	for _, c := range t.conns {
		if c.busy || c.requestStarted || c.evicting {
			continue
		}
		idleTime := now.Sub(c.idleSince)
		if !c.hasSentRequest {
			idleTime *= noRequestIdleFactor
		}
		if idleTime > longestTime && socket.Peek(c.Conn) != socket.Readable {
			longest = c
			longestTime = idleTime
		}
	}
	return longest
}

// longestReceivingFirstRequest returns the oldest connection that has not sent a complete
// request yet, as far as known, or nil if there is none. The lock is held.
func (t *Tracker) longestReceivingFirstRequest(now time.Time) (oldest *Conn) {
	oldestAge := time.Duration(-1)
	for _, c := range t.conns {
		age := now.Sub(c.idleSince)
		if !c.busy && !c.hasSentRequest && !c.evicting && age > oldestAge {
			oldest = c
			oldestAge = age
		}
	}
	return oldest
}

// endEviction records that a connection which was to end has ended or is kept. The lock is
// held.
func (t *Tracker) endEviction(c *Conn) {
	if c.evicting {
		c.evicting = false
		close(c.evictionEnded)
		t.evicting--
	}
}

// ConnState updates the record of a connection whose state has changed. It is the ConnState
// hook of an [http.Server].
func (t *Tracker) ConnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		if t.requestAnswered(conn) {
			conn.(*Conn).pause(t.pacer.delay(time.Now()))
		}
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.remove(conn)
	}
}

// requestAnswered records that a connection's request was answered. It reports whether the next
// one needs a slot of the pacer: the client has sent part of it before the answer, or very many
// requests.
func (t *Tracker) requestAnswered(conn net.Conn) (paced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[conn]
	if c == nil {
		return false
	}
	c.answeredRequests++
	c.requestStarted = c.scanner.started || c.scanner.completed > c.answeredRequests
	c.idle = !c.requestStarted
	c.busy = false
	c.idleSince = time.Now()
	switch {
	case !c.idle:
	case t.draining: // the response was written before draining began, without Connection: close
		c.closeLocally()
	case t.keptConns() > t.maxConns: // an eviction was canceled
		c.closeLocally()
		t.remove(c)
	}
	return !c.closedLocally && !t.draining && (c.pipelining || !c.allowance.withdraw(c.idleSince))
}

// remove deletes the record of a closed connection. The lock is held.
func (t *Tracker) remove(conn net.Conn) {
	if c := t.conns[conn]; c != nil {
		t.endEviction(c)
	}
	delete(t.conns, conn)
	if len(t.conns) == 0 && t.allClosed != nil {
		close(t.allClosed)
		t.allClosed = nil
	}
}

// startDraining closes the idle connections, and from now on each connection that becomes
// idle. New connections on which nothing was read yet stay open: a first request may be on
// its way, and its client would not send it again.
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

// Draining reports whether connections are to be closed after their next response.
func (t *Tracker) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// setFinalReadDeadline sets the time by which requests that are still arriving must be
// complete.
func (t *Tracker) setFinalReadDeadline(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if !c.busy {
			c.stopReading(deadline)
		}
	}
}

// notifyAllClosed returns a channel that is closed once no connection is open. It is called
// only once, after the last connection has been accepted.
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
