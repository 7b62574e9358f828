package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// attemptDeadlineMargin is how long before the request's deadline an attempt times out at
// the latest, which leaves the policy time to answer the client.
const attemptDeadlineMargin = 15 * time.Millisecond

// attempt is one attempt of a request at one endpoint. Node.mu guards it; the attempt's
// goroutine reads without the lock only the fields that are set before it starts: request,
// number, endpoint, process and endsAt.
type attempt struct {
	request     *request
	number      int // index into request.attempts
	endpointID  string
	endpoint    *upstream.Endpoint // nil: discovery does not list it
	process     upstream.Process   // of endpoint when the attempt started
	startedAt   time.Time
	endsAt      time.Time          // when it times out
	timer       *time.Timer        // ends the attempt at its timeout; nil: it ended at once
	conn        *upstream.Conn     // nil: the attempt owns none
	cancelDial  context.CancelFunc // nil: no connection is dialed
	ended       bool
	reserved    int64   // bytes of the memory budget reserved for the answer; owned by the attempt's goroutine
	neverRan    bool    // the outcome proves that the endpoint did not run the request
	actualUnits float64 // quota units that the request took, as the endpoint reports; 0: not reported
	loadReport  policy.LoadReport
}

// newAttempt adds an attempt at an endpoint to a request.
func (r *request) newAttempt(endpointID string, now time.Time) *attempt {
	a := &attempt{request: r, number: len(r.attempts), endpointID: endpointID, startedAt: now}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	return a
}

// abandon stops the attempt's timer, cancels its dial and closes its connection.
func (a *attempt) abandon() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.Close() // the attempt's goroutine evicts it from the pool
	}
}

// startAttempt starts an attempt, or ends it at once if it may not start or the pool has
// no room for a connection. The caller holds n.mu.
func (n *Node) startAttempt(action policy.StartAttempt) {
	now := time.Now()
	r := n.requests[action.RequestID]
	if r == nil {
		n.dispatch(policy.AttemptEnded{RequestID: action.RequestID, Endpoint: action.Endpoint, Outcome: policy.NotSent, RequestDone: true})
		return
	}
	a := r.newAttempt(action.Endpoint, now)
	a.endpoint = n.pool.Endpoint(action.Endpoint)
	timeout := r.attemptTimeout(action.Timeout, now)
	if r.answered || a.endpoint == nil || timeout <= 0 || a.number >= n.cfg.Settings.Limits.MaxAttempts {
		n.endAttempt(a, policy.NotSent)
		return
	}
	conn, ok := n.acquireConn(a.endpoint, now)
	if !ok {
		n.endAttempt(a, policy.ConnectFailed)
		return
	}
	a.process = a.endpoint.Process()
	a.conn = conn
	a.endsAt = now.Add(timeout)
	a.timer = n.afterFunc(timeout, func() { n.endAttempt(a, policy.TimedOut) })
	ctx := n.ctx
	if conn == nil {
		ctx, a.cancelDial = context.WithTimeout(n.ctx, n.pool.DialTimeout())
	}
	n.workers.Go(func() { n.runAttempt(ctx, a, conn) })
}

// attemptTimeout returns the timeout of an attempt that starts now: the time until
// attemptDeadlineMargin before the request's deadline, or policyTimeout if that is shorter
// and not 0.
func (r *request) attemptTimeout(policyTimeout time.Duration, now time.Time) time.Duration {
	timeout := r.deadline.Sub(now) - attemptDeadlineMargin
	if policyTimeout != 0 {
		timeout = min(timeout, policyTimeout)
	}
	return timeout
}

// encode returns the text of the request for an endpoint, with the time that the attempt still
// has. The attempts share the body, which is not copied.
func (r *request) encode(remaining time.Duration) net.Buffers {
	const lineEnds = "\r\n\r\n"
	const maxTimeoutDigits = 12
	head := make([]byte, 0, len(r.forwardHead)+maxTimeoutDigits+len(lineEnds))
	head = append(head, r.forwardHead...)
	head = strconv.AppendInt(head, max(remaining.Milliseconds(), 1), 10)
	head = append(head, lineEnds...)
	text := net.Buffers{head}
	if len(r.body) > 0 {
		text = append(text, r.body)
	}
	return text
}

// withinDedupWindow reports whether a retry with an idempotency key may still be written.
// Endpoints drop a duplicate only within the dedup window of an earlier attempt that may
// have run. The policy checks the window when it chooses the endpoint, but the window may end
// during the dial. Without a key the result is always true.
func (a *attempt) withinDedupWindow(now time.Time) bool {
	r := a.request
	if r.dedupWindow <= 0 {
		return true
	}
	for _, earlier := range r.attempts[:a.number] {
		if !earlier.neverRan && now.Sub(earlier.startedAt) >= r.dedupWindow {
			return false
		}
	}
	return true
}

// runAttempt executes an attempt on conn, or on a new connection if conn is nil. It runs in
// the attempt's goroutine; the caller does not hold n.mu.
func (n *Node) runAttempt(ctx context.Context, a *attempt, conn *upstream.Conn) {
	outcome := policy.NotSent
	if conn == nil {
		conn, outcome = n.dialForAttempt(ctx, a)
	} else {
		conn, outcome = n.reuseForAttempt(a, conn)
	}
	if conn == nil {
		n.endUnwritten(a, outcome)
		return
	}
	writtenAt := time.Now()
	reserve := func(bytes int64) bool { return n.reserveAnswer(a, bytes) }
	response := conn.Exchange(a.request.encode(a.endsAt.Sub(writtenAt)), reserve)
	n.handleResponse(a, conn, writtenAt, response)
}

// dialForAttempt dials a connection for an attempt, for which a slot of the pool is
// reserved. It returns nil and the attempt's outcome if the dial fails, the node has closed or
// the attempt may no longer be written.
func (n *Node) dialForAttempt(ctx context.Context, a *attempt) (*upstream.Conn, policy.Outcome) {
	netConn, err := n.dialEndpoint(ctx, a.process.Addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.completeDial(netConn, err, a.endpoint, a.process)
	if conn == nil && isLocalDialError(err) {
		return nil, policy.NotSent // the endpoint is not at fault
	}
	if conn == nil {
		return nil, policy.ConnectFailed
	}
	if outcome, ok := n.claimConn(a, conn); !ok {
		n.pool.Release(conn) // nothing was written: the next request can use it
		return nil, outcome
	}
	return conn, policy.NotSent
}

// reuseForAttempt assigns an idle connection to an attempt and returns it. It returns nil and
// the attempt's outcome if the attempt has ended or may no longer be written.
func (n *Node) reuseForAttempt(a *attempt, conn *upstream.Conn) (*upstream.Conn, policy.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.ended { // endAttempt has closed the connection
		n.pool.Evict(conn)
		return nil, policy.NotSent
	}
	outcome, ok := n.claimConn(a, conn)
	if ok {
		return conn, policy.NotSent
	}
	if a.ended { // claimConn has ended it, because the client has disconnected
		n.pool.Evict(conn)
		return nil, outcome
	}
	a.conn = nil
	n.pool.Release(conn)
	return nil, outcome
}

// claimConn assigns a connection to an attempt, just before the first byte is written. If the
// attempt may no longer be written, it returns false and the attempt's outcome. The caller
// holds n.mu.
func (n *Node) claimConn(a *attempt, conn *upstream.Conn) (policy.Outcome, bool) {
	now := time.Now()
	if !n.confirmClient(a.request, now) || a.ended {
		return policy.NotSent, false // the endpoint is not at fault
	}
	if !n.pool.AcceptsAttempts(a.endpoint, now) || !n.pool.LeadsTo(conn, a.endpoint) || !a.withinDedupWindow(now) {
		return policy.ConnectFailed, false
	}
	a.conn = conn
	return policy.NotSent, true
}

// endUnwritten ends an attempt that was not written to any connection.
func (n *Node) endUnwritten(a *attempt, outcome policy.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.request.answered { // the endpoint is not at fault
		outcome = policy.NotSent
	}
	n.endAttempt(a, outcome)
}

// handleResponse ends an attempt with the endpoint's response and returns its connection to
// the pool.
func (n *Node) handleResponse(a *attempt, conn *upstream.Conn, writtenAt time.Time, response upstream.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.ended {
		n.pool.Evict(conn)
		n.memoryBudget.Release(a.reserved)
		return
	}
	n.pool.RecordReuse(conn, writtenAt, response.Outcome)
	a.conn = nil
	if response.Reusable {
		n.pool.Release(conn)
	} else {
		n.pool.Evict(conn)
	}
	if r := a.request; response.Outcome == policy.Succeeded && !r.answered {
		n.deliverAnswer(r, answer{status: http.StatusOK, body: response.Body, contentType: response.ContentType, reserved: a.reserved})
	} else {
		n.memoryBudget.Release(a.reserved)
	}
	a.loadReport = response.LoadReport
	if n.plausibleUnits(response.ActualUnits) {
		a.actualUnits = response.ActualUnits
	}
	n.endAttempt(a, response.Outcome)
}

// plausibleUnits reports whether the quota units that an endpoint reports for a request are
// within the configured maximum.
func (n *Node) plausibleUnits(units float64) bool {
	maxUnits := n.cfg.Settings.Accounting.MaxRequestUnits
	return maxUnits <= 0 || units <= maxUnits
}

// endAttempt sets the outcome of an attempt that has not ended, and notifies the policy. The
// caller holds n.mu.
func (n *Node) endAttempt(a *attempt, outcome policy.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.neverRan = outcome.NeverRan()
	a.abandon()
	r := a.request
	r.attemptsInFlight--
	n.dispatch(policy.AttemptEnded{
		RequestID:   r.id,
		Attempt:     a.number,
		Endpoint:    a.endpointID,
		Outcome:     outcome,
		Latency:     time.Since(a.startedAt),
		RequestDone: r.answered,
		ActualUnits: a.actualUnits,
		Report:      a.loadReport,
	})
	n.removeIfDone(r)
}
