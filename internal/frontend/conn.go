package frontend

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"swiftpitch/internal/socket"
)

// Conn is a client's connection, accepted by a [Server] and registered with its [Tracker].
//
// The node closes a connection of its own accord only between requests, while no byte of the
// next one was read, and reads nothing from it afterwards. So a request that the client sends
// just as the connection closes is either served or was never read; in the latter case the
// client sends it again. The exception is a connection whose first request is only partly
// received: at the limit on connections, the node may stop reading it.
type Conn struct {
	net.Conn
	tracker *Tracker
	// disconnected is closed when this package detects that the client has disconnected.
	// net/http may detect it first and then cancels the request's context.
	disconnected  chan struct{}
	readAhead     atomic.Pointer[readAhead] // nil until the client sends more while a request is in flight
	tooManyFields atomic.Bool               // the request that is being received has too many header fields

	// The tracker's lock guards the fields below.

	idleSince        time.Time // when the connection was accepted or its last request was answered
	idle             bool      // the last request is answered, and no byte of the next one was read
	requestStarted   bool      // part of a request was read that is not accepted yet
	scanner          requestScanner
	answeredRequests int       // requests whose responses were written
	arrivedAt        time.Time // arrival of the last data passed to net/http, or a time before it
	allowance        requestAllowance
	pipelining       bool          // part of the next request was read before the last answer was written
	pausedAt         time.Time     // when reading paused last, if data has waited in the kernel since; else zero
	hasSentRequest   bool          // the client has sent at least one complete request
	busy             bool          // a complete request is in flight
	closedLocally    bool          // the node closed the connection between requests
	evicting         bool          // reading was stopped to evict the connection, unless its request turns out to be complete
	serverDeadline   time.Time     // read deadline set by net/http; zero: none
	stopReadingAt    time.Time     // read deadline set by the tracker; zero: none
	evictionEnded    chan struct{} // closed when the eviction ends: the connection has ended or is kept; nil: never evicted
}

func newConn(conn net.Conn, tracker *Tracker) *Conn {
	return &Conn{Conn: conn, tracker: tracker, disconnected: make(chan struct{})}
}

// connKey is the key of a [Conn] in the contexts of its requests.
type connKey struct{}

// ConnFromContext returns the connection on which a request arrived, given the request's
// context. It returns nil if no [Server] accepted that connection.
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// SetReadDeadline implements [net.Conn]; net/http calls it. It replaces a deadline of the
// tracker, except for that of an eviction, which stays in force beside it.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.serverDeadline = c.limitReadDeadline(deadline)
	if !c.evicting {
		c.stopReadingAt = time.Time{}
	}
	return c.applyReadDeadline()
}

// limitReadDeadline returns a read deadline of net/http, or the latest one for a request of which
// part was read, if that is earlier. net/http waits for the first bytes of a further request until
// its idle timeout, even if some of them have come. The tracker's lock is held.
func (c *Conn) limitReadDeadline(deadline time.Time) time.Time {
	latest := time.Now().Add(ReadTimeout)
	if c.requestStarted && !c.busy && deadline.After(latest) {
		return latest
	}
	return deadline
}

// stopReading sets the time at which reading ends, unless a complete request has been read by
// then. The tracker's lock is held.
func (c *Conn) stopReading(at time.Time) {
	c.stopReadingAt = at
	c.applyReadDeadline() // an error means that the connection is closed
}

// resumeReading removes the tracker's deadline, because the request is complete, and cancels
// an eviction. It reports whether there was a deadline.
func (c *Conn) resumeReading() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.stopReadingAt.IsZero() {
		return false
	}
	c.tracker.endEviction(c)
	c.stopReading(time.Time{})
	return true
}

// applyReadDeadline sets the earlier one of the deadlines of net/http and the tracker. The
// tracker's lock is held.
func (c *Conn) applyReadDeadline() error {
	deadline := c.serverDeadline
	if !c.stopReadingAt.IsZero() && (deadline.IsZero() || c.stopReadingAt.Before(deadline)) {
		deadline = c.stopReadingAt
	}
	if ahead := c.readAhead.Load(); ahead != nil {
		return ahead.setReadDeadline(deadline)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if ahead := c.readAhead.Load(); ahead != nil {
		ahead.close()
	}
	return err
}

// closeLocally closes the connection between requests. The tracker's lock is held.
func (c *Conn) closeLocally() {
	c.closedLocally = true
	c.Close() // net/http then calls ConnState with StateClosed
}

// BeginAnswer records that the answer to the request in flight is about to be written. It reports
// whether the connection must close after it, because the node drains and no part of a further
// request has arrived.
func (c *Conn) BeginAnswer() (last bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.pipelining = c.hasFurtherRequest()
	return c.tracker.draining && !c.pipelining && socket.Peek(c.Conn) != socket.Readable
}

// hasFurtherRequest reports whether part of another request was read behind the one in flight.
// The tracker's lock is held.
func (c *Conn) hasFurtherRequest() bool {
	if ahead := c.readAhead.Load(); ahead != nil && ahead.buffered() > 0 {
		return true
	}
	return c.scanner.started || c.scanner.completed > c.answeredRequests+1
}

// AcceptRequest marks the connection as busy with a request that was read completely and
// will be answered. The request's handler calls it. It returns false if the request must be
// dropped, because the client has disconnected or because the node has already closed the
// connection; in the latter case the client sends the request again.
func (c *Conn) AcceptRequest() bool {
	if c.DetectDisconnect() {
		return false
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closedLocally {
		return false
	}
	c.hasSentRequest = true
	c.requestStarted = false
	c.busy = true
	c.tracker.endEviction(c)
	if !c.stopReadingAt.IsZero() || c.readAhead.Load() != nil {
		// The tracker, or net/http while it read the head, has set a read deadline. Once it
		// passes, the read would fail as if the client had disconnected, or the read-ahead
		// would stop.
		c.serverDeadline = time.Time{}
		c.stopReading(time.Time{})
	}
	return true
}
