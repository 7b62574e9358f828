package frontend

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"swiftpitch/internal/socket"
)

// Conn is one connection of a client, accepted by a [Server] and known to its [Tracker].
//
// This side closes it only while no request on it has been read, and then reads nothing
// more from it: a request that crosses the close is either served or was never read, and
// the client sends it again.
type Conn struct {
	net.Conn
	tracker *Tracker
	// disconnected is closed when this package sees that the client has disconnected. The
	// HTTP library may see it first, and then ends the request's context.
	disconnected chan struct{}
	readAhead    atomic.Pointer[readAhead] // nil until the client sends beyond a request

	// The tracker's lock guards what is below.

	idleSince          time.Time // when it was accepted, or its last request was answered
	idle               bool      // its last request is answered, and nothing of the next was read
	nextRequestStarted bool      // something of the next request was read while one was in flight
	hasSentRequest     bool      // it has sent a whole request
	busy               bool      // a whole request of it is in flight
	closedLocally      bool      // closed by this side between requests
}

func newConn(conn net.Conn, tracker *Tracker) *Conn {
	return &Conn{Conn: conn, tracker: tracker, disconnected: make(chan struct{})}
}

// connKey is the key of a [Conn] in the contexts of its requests.
type connKey struct{}

// ConnFromContext returns the connection that a request came on, by the request's context.
// It returns nil if that was not accepted by a [Server].
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read implements [net.Conn] for the HTTP library. Once this side has closed the
// connection there is nothing to read, whatever came meanwhile.
func (c *Conn) Read(b []byte) (int, error) {
	count, err := c.read(b)
	if count == 0 {
		return 0, err
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closedLocally {
		return 0, io.EOF
	}
	c.idle = false
	// The library watches for the client's disconnecting by reading one byte while a
	// request is in flight. If it gets one it watches no more: from then on this side does.
	if len(b) == 1 {
		c.nextRequestStarted = true
		if c.readAhead.Load() == nil {
			c.readAhead.Store(newReadAhead(c.Conn, c.tracker.memory, c.disconnected))
		}
	}
	return count, err
}

// read reads from the read-ahead buffer if there is one, else from the connection.
func (c *Conn) read(b []byte) (int, error) {
	if ahead := c.readAhead.Load(); ahead != nil {
		return ahead.Read(b)
	}
	return c.Conn.Read(b)
}

// SetReadDeadline implements [net.Conn].
func (c *Conn) SetReadDeadline(deadline time.Time) error {
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
	c.Close() // the library reports the state Closed in due course
}

// Disconnected returns a channel that is closed when this package sees that the client has
// disconnected. A request's handler must watch the request's context too: the HTTP library
// may see it first.
func (c *Conn) Disconnected() <-chan struct{} { return c.disconnected }

// DetectDisconnect reports whether the client is known to have disconnected, or is found so
// by a look at what the kernel holds, which this process may not have got round to reading.
func (c *Conn) DetectDisconnect() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return socket.Peek(c.Conn) == socket.Closed
	}
}

// AcceptRequest notes that a whole request has been read from the connection and will be
// answered. It reports false if the request must be dropped: this side has closed the
// connection before, and the client sends the request again, or the client has disconnected.
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
	c.busy = true
	c.nextRequestStarted = false
	if c.tracker.draining || c.readAhead.Load() != nil {
		// StopReading, or the library while it read the head, may have set a read deadline.
		// When it passed, the read would fail as if the client had disconnected, or the
		// read-ahead would stop.
		c.SetReadDeadline(time.Time{})
	}
	return true
}
