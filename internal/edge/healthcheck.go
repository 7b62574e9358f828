package edge

import (
	"context"
	"net"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// healthPath is the path of an endpoint's health check.
const healthPath = "/-/healthy"

// pastDeadline, set as a connection's deadline, makes all reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// healthCheck is a health check in progress.
type healthCheck struct {
	endpointID string
	endpoint   *upstream.Endpoint
	process    upstream.Process // of endpoint when the check started
	startedAt  time.Time
}

// startHealthCheck starts a health check, or reports it to the policy as failed if the endpoint
// is not listed or does not accept attempts, or the pool has no room for a connection. The
// caller holds n.mu.
func (n *Node) startHealthCheck(endpointID string) {
	now := time.Now()
	check := &healthCheck{endpointID: endpointID, endpoint: n.pool.Endpoint(endpointID), startedAt: now}
	if check.endpoint == nil {
		n.endHealthCheck(check, upstream.Response{Outcome: policy.ConnectFailed})
		return
	}
	conn, ok := n.acquireConn(check.endpoint, now)
	if !ok {
		n.endHealthCheck(check, upstream.Response{Outcome: policy.ConnectFailed})
		return
	}
	check.process = check.endpoint.Process()
	n.workers.Go(func() { n.runHealthCheck(check, conn) })
}

// runHealthCheck executes a health check on conn, or on a new connection if conn is nil. It
// runs in the check's goroutine; the caller does not hold n.mu.
func (n *Node) runHealthCheck(check *healthCheck, conn *upstream.Conn) {
	// A health check without a response within the dial timeout has failed.
	ctx, cancel := context.WithTimeout(n.ctx, n.pool.DialTimeout())
	defer cancel()
	if conn == nil {
		conn = n.dialForHealthCheck(ctx, check)
	}
	response := upstream.Response{Outcome: policy.ConnectFailed}
	if conn != nil {
		response = exchangeHealthCheck(ctx, conn, check.process.Addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case conn == nil:
	case response.Reusable && !n.closed:
		n.pool.Release(conn)
	default:
		n.pool.Evict(conn)
	}
	n.endHealthCheck(check, response)
}

// dialForHealthCheck dials a connection for a health check, for which a slot of the pool is
// reserved. It returns nil if the dial fails, the node has closed, the endpoint's drain grace is
// over or another process has replaced it.
func (n *Node) dialForHealthCheck(ctx context.Context, check *healthCheck) *upstream.Conn {
	netConn, err := n.dialEndpoint(ctx, check.process.Addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.completeDial(netConn, err, check.endpoint, check.process)
	if conn == nil {
		return nil
	}
	if !n.pool.AcceptsAttempts(check.endpoint, time.Now()) || !n.pool.LeadsTo(conn, check.endpoint) {
		n.pool.Release(conn)
		return nil
	}
	return conn
}

// exchangeHealthCheck sends a health check on a connection and reads the response. It gives up
// when ctx ends, after which the connection is not reusable.
func exchangeHealthCheck(ctx context.Context, conn *upstream.Conn, addr string) upstream.Response {
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	text := "GET " + healthPath + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"
	response := conn.Exchange(net.Buffers{[]byte(text)}, withoutReservation)
	if !stop() {
		response.Reusable = false
	}
	if ctx.Err() != nil && response.Outcome == policy.ConnectionLost {
		response.Outcome = policy.TimedOut
	}
	return response
}

// withoutReservation lets the body of a health check's response be read without a reservation of
// memory: few health checks are in progress at a time, and their bodies are dropped at once.
func withoutReservation(int64) bool { return true }

// endHealthCheck notifies the policy of a health check's result. The caller holds n.mu.
func (n *Node) endHealthCheck(check *healthCheck, response upstream.Response) {
	n.dispatch(policy.HealthCheckDone{
		Endpoint: check.endpointID,
		Outcome:  response.Outcome,
		Latency:  time.Since(check.startedAt),
		Report:   response.LoadReport,
	})
}
