package counterclient

import (
	"context"
	"io"
	"net"
	"time"

	"swiftpitch/internal/httpresponse"
	"swiftpitch/internal/policy"
)

const (
	// unresponsiveTimeout is how long a response may be outstanding before the connection is
	// considered dead. It also limits a write.
	unresponsiveTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without new calls stays open. It is shorter than the
	// counter service's, so that no call is written to a connection that the service closes.
	idleTimeout = 4 * time.Second
	// drainTimeout is how long a connection to a previous address may deliver responses.
	drainTimeout = 2 * time.Second
	// readBufferSize is the size of the read buffer in bytes. Many pipelined responses fit.
	readBufferSize = 4 << 10
)

// connection is one connection to the counter service. One goroutine dials and writes,
// another reads. The owner's lock guards all fields. conn is set once, before the reading
// goroutine starts, and is nil during the dial.
type connection struct {
	client     *Client
	cancelDial context.CancelFunc
	conn       net.Conn
	inFlight   []*pendingCall // written and not answered, oldest first
	wakeup     chan struct{}  // wakes the writer
	draining   bool           // to a previous address: no new calls are written
	closed     bool
}

// connect starts to dial the client's address. The lock must be held.
func (c *Client) connect() *connection {
	ctx, cancel := context.WithTimeout(c.options.Context, c.options.DialTimeout)
	created := &connection{client: c, cancelDial: cancel, wakeup: make(chan struct{}, 1)}
	address := c.address
	c.options.Go(func() { created.run(ctx, address) })
	return created
}

// wake makes the writer check the queue and the state of the connection.
func (c *connection) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// unresponsive reports whether the oldest call in flight has waited longer than
// unresponsiveTimeout. The lock must be held.
func (c *connection) unresponsive() bool {
	return len(c.inFlight) > 0 && time.Since(c.inFlight[0].startedAt) > unresponsiveTimeout
}

// drain lets the connection deliver its outstanding responses, and closes it if there are
// none. The lock must be held.
func (c *connection) drain() {
	c.draining = true
	if c.conn == nil || len(c.inFlight) == 0 {
		c.close()
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	c.wake()
}

// close closes the connection. Calls in flight may have been added to the counter, so they end
// as timed out. The lock must be held.
func (c *connection) close() {
	c.closed = true
	c.cancelDial()
	if c.conn != nil {
		c.conn.Close()
	}
	for _, call := range c.inFlight {
		c.client.complete(call, policy.TimedOut, 0)
	}
	c.inFlight = nil
}

// drop closes the connection after a failure. The lock must not be held.
func (c *connection) drop() {
	c.client.lock.Lock()
	defer c.client.lock.Unlock()
	c.client.dropConnection(c)
}

// run dials address and writes calls until the connection fails, drains or is idle.
func (c *connection) run(ctx context.Context, address string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.drop()
		return
	}
	if !c.setConn(conn) {
		conn.Close()
		return
	}
	c.client.options.Go(c.readLoop)
	c.writeLoop()
}

// setConn stores the dialed socket, or reports false if the connection was closed meanwhile.
func (c *connection) setConn(conn net.Conn) bool {
	c.client.lock.Lock()
	defer c.client.lock.Unlock()
	if c.closed {
		return false
	}
	c.conn = conn
	return true
}

// writeLoop writes the queued calls whenever it is woken, until the connection fails, drains or
// is idle.
func (c *connection) writeLoop() {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var buffer []byte
	for {
		select {
		case <-c.wakeup:
		case <-idle.C:
			if c.closeIfIdle() {
				return
			}
		case <-c.client.options.Context.Done():
			c.drop()
			return
		}
		var open bool
		buffer, open = c.takeQueue(buffer[:0])
		if !open {
			return
		}
		idle.Reset(idleTimeout)
		if len(buffer) > 0 && !c.write(buffer) {
			return
		}
	}
}

// closeIfIdle closes the connection if no call is queued, and reports whether it is closed.
func (c *connection) closeIfIdle() bool {
	c.client.lock.Lock()
	defer c.client.lock.Unlock()
	if !c.closed && !c.draining && len(c.client.queue) == 0 {
		c.client.failAll()
	}
	return c.closed
}

// takeQueue moves the queued calls to the calls in flight and appends their requests to
// buffer. It reports false if the connection writes no more calls; a draining connection is
// closed by the reader.
func (c *connection) takeQueue(buffer []byte) ([]byte, bool) {
	c.client.lock.Lock()
	defer c.client.lock.Unlock()
	if c.closed || c.draining {
		return buffer, false
	}
	for _, call := range c.client.queue {
		buffer = append(buffer, call.request...)
	}
	c.inFlight = append(c.inFlight, c.client.queue...)
	c.client.queue = nil
	return buffer, true
}

// write writes requests and reports whether it succeeded. On failure it drops the connection.
func (c *connection) write(requests []byte) bool {
	c.conn.SetWriteDeadline(time.Now().Add(unresponsiveTimeout))
	if _, err := c.conn.Write(requests); err != nil {
		c.drop()
		return false
	}
	return true
}

// readLoop reads the responses, which come in the order of their calls, until the connection
// fails or has drained.
func (c *connection) readLoop() {
	defer c.conn.Close()
	defer c.drop()
	limited := &io.LimitedReader{R: c.conn}
	reader := httpresponse.NewReader(limited, readBufferSize)
	for {
		limited.N = maxResponseBytes
		if reader.Wait() != nil {
			return
		}
		if !c.deliver(readResponse(reader)) {
			return
		}
	}
}

// deliver completes the oldest call in flight with a response, and reports whether the reader
// may read another one.
func (c *connection) deliver(received response) bool {
	c.client.lock.Lock()
	defer c.client.lock.Unlock()
	if c.closed || len(c.inFlight) == 0 { // the response belongs to no call
		return false
	}
	call := c.inFlight[0]
	c.inFlight[0] = nil
	c.inFlight = c.inFlight[1:]
	c.client.complete(call, received.outcome, received.total)
	drained := c.draining && len(c.inFlight) == 0
	if received.reusable && !drained {
		return true
	}
	c.client.dropConnection(c) // before anything more is written to it
	return false
}
