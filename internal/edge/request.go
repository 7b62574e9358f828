package edge

import (
	"net/http"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
)

const (
	// deadlineGuardMargin is how long before a request's deadline it is failed if the
	// policy has not ended it.
	deadlineGuardMargin = 8 * time.Millisecond
	// disconnectCheckAge is how long a request may have waited before it is worth a look
	// whether its client is still there: no attempt may begin 0.1 s after that has gone.
	disconnectCheckAge = 50 * time.Millisecond
)

// The statuses of final answers that no endpoint gave.
const (
	statusRejected = http.StatusTooManyRequests // a retry does no harm
	statusFailed   = http.StatusBadGateway
	statusExpired  = http.StatusGatewayTimeout
)

// request is one client's request from its last byte to its final answer and
// the end of its last attempt. The node's lock guards it.
type request struct {
	id               string
	forwardHead      []byte // the forwarded head up to the deadline's value
	body             []byte
	conn             *frontend.Conn // nil if it did not come through a listener
	receivedAt       time.Time      // when its last byte was read
	deadline         time.Time
	dedupWindow      time.Duration // for which repeats are dropped; 0: the class has no key
	deadlineGuard    *time.Timer   // fails the request shortly before its deadline
	attempts         []*attempt
	attemptsInFlight int         // attempts without an outcome
	answered         bool        // answered, or the client has disconnected
	answer           chan answer // takes the one final answer
}

// answer is a request's final answer.
type answer struct {
	status      int
	body        []byte
	contentType []string // of the body, if it was named
	retryAfter  time.Duration
}

// newRequest returns a request that was read from conn, which is nil if the request did not
// come through a [frontend.Listener].
func newRequest(parsed *frontend.Request, conn *frontend.Conn) *request {
	return &request{
		id:          parsed.Event.RequestID,
		forwardHead: parsed.ForwardHead,
		body:        parsed.Body,
		conn:        conn,
		receivedAt:  parsed.ReceivedAt,
		deadline:    parsed.Deadline,
		dedupWindow: parsed.DedupWindow,
	}
}

// receive hands a request to the policy. It reports false, and takes nothing, if a request
// of that id is open.
func (n *Node) receive(r *request, event policy.RequestReceived) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil {
		return false
	}
	r.answer = make(chan answer, 1)
	if n.rejecting {
		r.answered = true
		r.answer <- answer{status: statusRejected}
		return true
	}
	r.deadlineGuard = n.afterFunc(time.Until(r.deadline)-deadlineGuardMargin, func() { n.expire(r) })
	n.requests[r.id] = r
	n.dispatch(event)
	return true
}

// expire fails a request whose client is about to give up. The lock is held.
func (n *Node) expire(r *request) {
	n.abort(r, answer{status: statusExpired})
}

// clientDisconnected ends a request whose client has disconnected.
func (n *Node) clientDisconnected(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clientDisconnectedLocked(r)
}

// clientDisconnectedLocked is clientDisconnected under the lock.
func (n *Node) clientDisconnectedLocked(r *request) {
	n.abort(r, answer{})
}

// detectDisconnect looks, before an attempt of a request that has waited, whether its client
// has disconnected: the goroutine that reads the connection may not have been scheduled yet.
// The lock is held.
func (n *Node) detectDisconnect(r *request, now time.Time) {
	if r.conn != nil && !r.answered && now.Sub(r.receivedAt) > disconnectCheckAge && r.conn.DetectDisconnect() {
		n.clientDisconnectedLocked(r)
	}
}

// abort gives a request its final answer without the policy, and tells the policy that
// nothing more is owed. The lock is held.
func (n *Node) abort(r *request, a answer) {
	if r.answered {
		return
	}
	n.deliverAnswer(r, a)
	n.dispatch(policy.ClientDisconnected{RequestID: r.id})
	n.removeIfDone(r)
}

// completeRequest carries out a final answer of the policy. The lock is held.
func (n *Node) completeRequest(id string, a answer) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	n.deliverAnswer(r, a)
	n.removeIfDone(r)
}

// deliverAnswer gives a request its one final answer. The lock is held.
func (n *Node) deliverAnswer(r *request, a answer) {
	r.answered = true
	r.deadlineGuard.Stop()
	r.answer <- a
}

// removeIfDone forgets a request that is answered and has no attempt in flight. The lock is held.
func (n *Node) removeIfDone(r *request) {
	if r.answered && r.attemptsInFlight == 0 && n.requests[r.id] == r {
		delete(n.requests, r.id)
	}
}
