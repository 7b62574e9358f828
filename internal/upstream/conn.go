package upstream

import (
	"io"
	"net"
	"syscall"
	"time"

	"swiftpitch/internal/httpresponse"
	"swiftpitch/internal/socket"
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// Conn is a connection to an endpoint. It carries one request at a time and has one
// owner at a time: the pool while it is idle, else the goroutine that acquired it.
type Conn struct {
	net.Conn
	endpoint  *Endpoint
	process   Process          // process to which it leads; the endpoint's may have changed since
	limit     io.LimitedReader // limits the size of a response
	reader    *httpresponse.Reader
	idleSince time.Time // zero: never idle so far
}

// NewConn wraps a connection that was dialed to an endpoint, after the caller had reserved a
// slot with [Pool.Reserve]. process is the endpoint's when the dial began.
func NewConn(netConn net.Conn, endpoint *Endpoint, process Process) *Conn {
	c := &Conn{Conn: netConn, endpoint: endpoint, process: process}
	c.limit.R = socket.Reader{Reader: netConn}
	c.reader = httpresponse.NewReader(&c.limit, readBufferSize)
	return c
}

// IdleSince returns when the connection last became idle, or the zero time if it never was.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// IsReusable reports whether an idle connection is open and has no unread data. A
// connection that is not a socket can't be checked and counts as reusable.
func (c *Conn) IsReusable() bool {
	_, isSocket := c.Conn.(syscall.Conn)
	return !isSocket || socket.Peek(c.Conn) == socket.NoData
}
