package edge

import (
	"net"
	"time"

	"swiftpitch/internal/upstream"
)

// acquireConn returns an idle connection to an endpoint. If there is none it reserves a slot
// for a new connection and returns nil and true. ok is false if the endpoint does not accept
// attempts or the pool is full. The caller holds n.mu.
func (n *Node) acquireConn(endpoint *upstream.Endpoint, now time.Time) (conn *upstream.Conn, ok bool) {
	if !n.pool.AcceptsAttempts(endpoint, now) {
		return nil, false
	}
	if conn = n.pool.Acquire(endpoint, now); conn != nil {
		return conn, true
	}
	return nil, n.pool.Reserve()
}

// completeDial wraps a dialed connection, for which a slot of the pool is reserved. It returns
// nil and frees the slot if the dial failed or the node has closed. The caller holds n.mu.
func (n *Node) completeDial(netConn net.Conn, err error, endpoint *upstream.Endpoint, process upstream.Process) *upstream.Conn {
	if err != nil {
		n.pool.CancelReservation()
		return nil
	}
	conn := upstream.NewConn(netConn, endpoint, process)
	if n.closed {
		n.pool.Evict(conn)
		return nil
	}
	return conn
}
