package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
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
	disconnected chan struct{}
	readAhead    atomic.Pointer[readAhead] // nil until the client sends more while a request is in flight
	headTooLarge atomic.Bool               // the request that is being received has too many header fields

	// The tracker's lock guards the fields below.

	idleSince      time.Time // when the connection was accepted or its last request was answered
	idle           bool      // the last request is answered, and no byte of the next one was read
	requestStarted bool      // part of a request was read that is not accepted yet
	scanner        requestScanner
	answered       int       // requests whose responses were written
	arrivedAt      time.Time // arrival of the last data passed to net/http, or a time before it
	allowance      requestAllowance
	pipelining     bool          // part of the next request was read before the last answer was written
	pausedAt       time.Time     // when reading paused last, if data has waited in the kernel since; else zero
	hasSentRequest bool          // the client has sent at least one complete request
	busy           bool          // a complete request is in flight
	closedLocally  bool          // the node closed the connection between requests
	evicting       bool          // reading was stopped to evict the connection, unless its request turns out to be complete
	serverDeadline time.Time     // read deadline set by net/http; zero: none
	stopReadingAt  time.Time     // read deadline set by the tracker; zero: none
	evictionEnded  chan struct{} // closed when the eviction ends: the connection has ended or is kept; nil: never evicted
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

// Read implements [net.Conn]; net/http calls it. Once the node has closed the connection,
// Read returns [io.EOF] even if data has arrived in the meantime.
func (c *Conn) Read(b []byte) (int, error) {
	// While a request is in flight, net/http reads one byte to detect that the client
	// disconnects. Once it has got a byte it stops, and the read-ahead takes over.
	isDisconnectCheck := len(b) == 1
	if !isDisconnectCheck && c.headTooLarge.Load() {
		return 0, c.skipHead(b)
	}
	count, arrivedAt, err := c.read(b)
	for isDisconnectCheck && errors.Is(err, os.ErrDeadlineExceeded) && c.resumeReading() {
		count, arrivedAt, err = c.read(b)
	}
	if count == 0 {
		return 0, err
	}
	if isDisconnectCheck {
		return c.recordNextRequest(b[:count], err)
	}
	accepted, err := c.recordRead(b[:count], arrivedAt, err)
	if accepted == 0 && err == nil {
		return 0, c.skipHead(b)
	}
	return accepted, err
}

// recordRead records data that was read for net/http and returns how many bytes may be passed
// on to it. arrivedAt is zero if the data was not read ahead; err is the error of the read.
func (c *Conn) recordRead(data []byte, arrivedAt time.Time, err error) (int, error) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closedLocally {
		return 0, io.EOF
	}
	wasIdle := c.idle
	c.idle = false
	c.requestStarted = true
	if wasIdle {
		c.serverDeadline = c.limitReadDeadline(c.serverDeadline)
		c.applyReadDeadline() // an error means that the connection is closed
	}
	c.recordArrival(arrivedAt)
	accepted := c.scanner.scan(data)
	c.headTooLarge.Store(c.scanner.tooLarge)
	return accepted, err
}

// recordArrival records when data arrived. If it was not read ahead, that is now, or the start of
// the pause in which it may have waited in the kernel. The tracker's lock is held.
func (c *Conn) recordArrival(readAheadAt time.Time) {
	switch {
	case !readAheadAt.IsZero():
		c.arrivedAt = readAheadAt
	case !c.pausedAt.IsZero():
		c.arrivedAt = c.pausedAt
	default:
		c.arrivedAt = time.Now()
	}
	c.pausedAt = time.Time{}
}

// recordNextRequest records the byte that net/http has got in its check for a disconnect, and
// starts the read-ahead. err is the error of the read.
func (c *Conn) recordNextRequest(data []byte, err error) (int, error) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closedLocally {
		return 0, io.EOF
	}
	c.idle = false
	c.requestStarted = true
	c.scanner.scan(data)
	c.headTooLarge.Store(c.scanner.tooLarge)
	if c.readAhead.Load() == nil {
		c.readAhead.Store(newReadAhead(c.Conn, c.tracker.memory, c.disconnected))
	}
	return len(data), err
}

// read reads from the read-ahead buffer if there is one, else from the connection. arrivedAt is
// when the first byte was read ahead, or a time before it; zero: it was not read ahead.
func (c *Conn) read(b []byte) (count int, arrivedAt time.Time, err error) {
	if ahead := c.readAhead.Load(); ahead != nil {
		return ahead.Read(b)
	}
	count, err = socket.Read(c.Conn, b)
	return count, time.Time{}, err
}

// Write implements [net.Conn]; net/http calls it. A transient error must not cut an answer off.
func (c *Conn) Write(b []byte) (int, error) { return socket.Write(c.Conn, b) }

// pause waits before the connection's next request is read.
func (c *Conn) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	startedAt := time.Now()
	time.Sleep(d)
	if socket.Peek(c.Conn) != socket.Readable {
		return
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.pausedAt = startedAt
}

// skipHead reads the rest of a head with too many fields into buffer, without passing it on. So
// net/http's error response is not lost to the reset that closing a connection over unread data
// causes. It returns errTooManyFields at the end of the head, or the error of a read.
func (c *Conn) skipHead(buffer []byte) error {
	for skipped := 0; skipped < maxHeaderBytes && c.inHead(); {
		count, arrivedAt, err := c.read(buffer)
		if count == 0 {
			return err
		}
		skipped += count
		if _, err := c.recordRead(buffer[:count], arrivedAt, err); err != nil {
			return err
		}
	}
	return errTooManyFields
}

// inHead reports whether the data passed on so far ends within a request's head.
func (c *Conn) inHead() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.scanner.started && !c.scanner.inBody
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

// Disconnected returns a channel that is closed when this package detects that the client
// has disconnected. A request's handler must watch the request's context too, because
// net/http may detect it first.
func (c *Conn) Disconnected() <-chan struct{} { return c.disconnected }

// DetectDisconnect reports whether the client has disconnected. If that is not known yet, it
// asks the kernel, which may hold an end of stream that is not read yet, also behind data.
func (c *Conn) DetectDisconnect() bool {
	select {
	case <-c.disconnected:
		return true
	default:
	}
	switch socket.Peek(c.Conn) {
	case socket.Closed:
		return true
	case socket.Readable:
		return socket.PeerHasClosed(c.Conn)
	default:
		return false
	}
}

// Presence is what is known of a client whose request is in flight.
type Presence int

// The values of [Presence].
const (
	// Connected means that the client has not disconnected, as far as the kernel knows.
	Connected Presence = iota
	// Disconnected means that the client has closed its connection or reset it.
	Disconnected
	// Unverified means that the client has sent more data than is read ahead. It may have
	// disconnected behind data that the kernel holds or has not taken yet.
	Unverified
)

// Presence returns whether the client is still connected.
func (c *Conn) Presence() Presence {
	switch {
	case c.DetectDisconnect():
		return Disconnected
	case c.Unverified():
		return Unverified
	default:
		return Connected
	}
}

// Unverified reports whether the client's presence is [Unverified], unless it has disconnected.
func (c *Conn) Unverified() bool {
	ahead := c.readAhead.Load()
	return ahead != nil && ahead.behind() && socket.Peek(c.Conn) == socket.Readable
}

// RequestArrival returns when the last byte of the request that was just read arrived, or a time
// before it if the client sent it while an earlier request was in flight.
func (c *Conn) RequestArrival() time.Time {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.arrivedAt
}

// BeginAnswer records that the answer to the request in flight is about to be written. It reports
// whether the connection must close after it, because the node drains and no part of a further
// request was read.
func (c *Conn) BeginAnswer() (last bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.pipelining = c.hasFurtherRequest()
	return c.tracker.draining && !c.pipelining
}

// hasFurtherRequest reports whether part of another request was read behind the one in flight.
// The tracker's lock is held.
func (c *Conn) hasFurtherRequest() bool {
	if ahead := c.readAhead.Load(); ahead != nil && ahead.buffered() > 0 {
		return true
	}
	return c.scanner.started || c.scanner.completed > c.answered+1
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
