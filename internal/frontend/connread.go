package frontend

import (
	"errors"
	"io"
	"os"
	"time"

	"swiftpitch/internal/socket"
)

// Read implements [net.Conn]; net/http calls it. Once the node has closed the connection,
// Read returns [io.EOF] even if data has arrived in the meantime.
func (c *Conn) Read(b []byte) (int, error) {
	// While a request is in flight, net/http reads one byte to detect that the client
	// disconnects. Once it has got a byte it stops, and the read-ahead takes over.
	isDisconnectCheck := len(b) == 1
	if !isDisconnectCheck && c.tooManyFields.Load() {
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
	c.tooManyFields.Store(c.scanner.tooManyFields)
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
	c.tooManyFields.Store(c.scanner.tooManyFields)
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
