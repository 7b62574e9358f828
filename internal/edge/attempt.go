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

// attemptDeadlineMargin is how long before a request's deadline its attempts are given
// up, so that the policy can still answer.
const attemptDeadlineMargin = 15 * time.Millisecond

// attempt is one attempt of a request at one endpoint. The node's lock guards it; its
// goroutine reads without the lock only what is set before it starts (request, number,
// endpoint, addr).
type attempt struct {
	request     *request
	number      int // from 0, over all attempts of the request
	endpointID  string
	endpoint    *upstream.Endpoint // nil: not listed
	addr        string             // of endpoint when the attempt started
	startedAt   time.Time
	timer       *time.Timer        // ends the attempt at its timeout
	conn        *upstream.Conn     // while the attempt owns one
	cancelDial  context.CancelFunc // nil: it has no connection to dial
	ended       bool
	neverRan    bool    // ended with proof that the endpoint did not run it
	actualUnits float64 // quota units that the request really took; 0: not reported
	loadReport  policy.LoadReport
}

// newAttempt adds an attempt to a request.
func (r *request) newAttempt(endpointID string, now time.Time) *attempt {
	a := &attempt{request: r, number: len(r.attempts), endpointID: endpointID, startedAt: now}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	return a
}

// abandon stops waiting for an attempt: it ends its timer, dial and connection.
func (a *attempt) abandon() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.Close() // the attempt's goroutine evicts it
	}
}

// startAttempt starts an attempt, or ends it at once where it may not start or no
// connection is to be had. The lock is held.
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
	a.addr = a.endpoint.Addr()
	a.conn = conn
	a.timer = n.afterFunc(timeout, func() { n.endAttempt(a, policy.TimedOut) })
	ctx := n.ctx
	if conn == nil {
		ctx, a.cancelDial = context.WithTimeout(n.ctx, n.pool.DialTimeout())
	}
	text := r.encode(timeout)
	n.workers.Go(func() { n.runAttempt(ctx, a, conn, text) })
}

// attemptTimeout returns how long an attempt may take that starts now: until the margin
// before the request's deadline, or less if the policy sets a timeout above 0.
func (r *request) attemptTimeout(policyTimeout time.Duration, now time.Time) time.Duration {
	timeout := r.deadline.Sub(now) - attemptDeadlineMargin
	if policyTimeout != 0 {
		timeout = min(timeout, policyTimeout)
	}
	return timeout
}

// encode returns the request as it is written to an endpoint, which is told the
// attempt's timeout. The body is shared by all attempts and not copied.
func (r *request) encode(timeout time.Duration) net.Buffers {
	const lineEnds = "\r\n\r\n"
	const maxTimeoutDigits = 12
	head := make([]byte, 0, len(r.forwardHead)+maxTimeoutDigits+len(lineEnds))
	head = append(head, r.forwardHead...)
	head = strconv.AppendInt(head, max(timeout.Milliseconds(), 1), 10)
	head = append(head, lineEnds...)
	text := net.Buffers{head}
	if len(r.body) > 0 {
		text = append(text, r.body)
	}
	return text
}

// withinDedupWindow reports whether a retry with an idempotency key may still be written.
// Endpoints drop a duplicate only within the dedup window of an earlier attempt that may
// have run. The policy looks at the window when it chooses the endpoint, but the dial may
// have taken longer since. It is always true without a key.
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

// runAttempt carries an attempt through on conn, or on a new connection if conn is nil.
// It runs in the attempt's goroutine, without the lock.
func (n *Node) runAttempt(ctx context.Context, a *attempt, conn *upstream.Conn, text net.Buffers) {
	if conn == nil {
		conn = n.dialForAttempt(ctx, a)
	} else {
		conn = n.reuseForAttempt(a, conn)
	}
	if conn == nil {
		n.endUnwritten(a)
		return
	}
	writtenAt := time.Now()
	response := conn.Exchange(text)
	n.handleResponse(a, conn, writtenAt, response)
}

// dialForAttempt dials a connection for an attempt, in the slot of the pool that is
// reserved for it. It returns nil if the dial fails or the attempt may no longer be
// written.
func (n *Node) dialForAttempt(ctx context.Context, a *attempt) *upstream.Conn {
	netConn, err := n.dial(ctx, "tcp", a.addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.completeDial(netConn, err, a.endpoint, a.addr)
	if conn == nil {
		return nil
	}
	if !n.claimConn(a, conn) {
		n.pool.Release(conn) // unused, and good for the next request
		return nil
	}
	return conn
}

// reuseForAttempt takes an idle connection for an attempt. It returns nil if the attempt
// has ended or may no longer be written.
func (n *Node) reuseForAttempt(a *attempt, conn *upstream.Conn) *upstream.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !a.ended && n.claimConn(a, conn) {
		return conn
	}
	if a.ended { // its end closed the connection
		n.pool.Evict(conn)
		return nil
	}
	a.conn = nil
	n.pool.Release(conn)
	return nil
}

// claimConn gives an attempt its connection, just before the first byte is written. It
// reports false if the attempt may no longer be written. The lock is held.
func (n *Node) claimConn(a *attempt, conn *upstream.Conn) bool {
	now := time.Now()
	n.detectDisconnect(a.request, now)
	if a.ended || a.request.answered {
		return false
	}
	if !n.pool.AcceptsAttempts(a.endpoint, now) || !a.withinDedupWindow(now) {
		return false
	}
	a.conn = conn
	return true
}

// endUnwritten ends an attempt of which nothing was written.
func (n *Node) endUnwritten(a *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.request.answered { // no fault of the endpoint's
		n.endAttempt(a, policy.NotSent)
		return
	}
	n.endAttempt(a, policy.ConnectFailed)
}

// handleResponse ends an attempt with its response and gives its connection back.
func (n *Node) handleResponse(a *attempt, conn *upstream.Conn, writtenAt time.Time, response upstream.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.ended {
		n.pool.Evict(conn)
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
		n.deliverAnswer(r, answer{status: http.StatusOK, body: response.Body, contentType: response.ContentType})
	}
	a.loadReport = response.LoadReport
	if n.plausibleUnits(response.ActualUnits) {
		a.actualUnits = response.ActualUnits
	}
	n.endAttempt(a, response.Outcome)
}

// plausibleUnits reports whether a request can take that many quota units.
func (n *Node) plausibleUnits(units float64) bool {
	maxUnits := n.cfg.Settings.Service.MaxRequestUnits
	return maxUnits <= 0 || units <= maxUnits
}

// endAttempt gives an attempt its one outcome and notifies the policy. The lock is held.
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
