package frontend

import (
	"time"

	"swiftpitch/internal/socket"
)

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
	case c.IsUnverified():
		return Unverified
	default:
		return Connected
	}
}

// IsUnverified reports whether the client's presence is [Unverified], unless it has disconnected.
func (c *Conn) IsUnverified() bool {
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
