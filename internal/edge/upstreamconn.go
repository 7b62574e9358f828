package edge

import (
	"net"
	"time"

	"swiftpitch/internal/upstream"
)

// acquireConn returns an idle connection to an endpoint. Where there is none the result
// is nil with ok true: a slot for a new connection is reserved. ok is false if nothing
// may start at the endpoint or the pool is full. The lock is held.
func (n *Node) acquireConn(endpoint *upstream.Endpoint, now time.Time) (conn *upstream.Conn, ok bool) {
	if !n.pool.AcceptsAttempts(endpoint, now) {
		return nil, false
	}
	if conn = n.pool.Acquire(endpoint, now); conn != nil {
		return conn, true
	}
	return nil, n.pool.Reserve()
}

// completeDial takes in the result of a dial in a reserved slot. It returns nil, with the
// slot given back, if the dial failed or the node has closed. The lock is held.
func (n *Node) completeDial(netConn net.Conn, err error, endpoint *upstream.Endpoint, addr string) *upstream.Conn {
	if err != nil {
		n.pool.CancelReservation()
		return nil
	}
	conn := upstream.NewConn(netConn, endpoint, addr)
	if n.closed {
		n.pool.Evict(conn)
		return nil
	}
	return conn
}
