package edge

import (
	"net/http"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
)

const (
	// deadlineGuardMargin is how long before its deadline a request gets an error response if the
	// policy has not answered it.
	deadlineGuardMargin = 8 * time.Millisecond
	// disconnectCheckAge is the age from which a request's connection is checked for a
	// disconnected client before each attempt: no attempt may start 0.1 s or more after the
	// client has disconnected.
	disconnectCheckAge = 50 * time.Millisecond
)

// The statuses of final answers that carry no endpoint's response.
const (
	statusRejected = http.StatusTooManyRequests // the client may safely retry
	statusFailed   = http.StatusBadGateway
	statusExpired  = http.StatusGatewayTimeout
)

// request is a client's request. It is open from when its last byte has been read until it has
// its final answer and its last attempt has ended. Node.mu guards it.
type request struct {
	id               string
	forwardHead      []byte // head for endpoints, up to the value of X-Expires-In-Ms
	body             []byte
	conn             *frontend.Conn // nil: the request did not come through a listener
	receivedAt       time.Time      // when its last byte was read
	deadline         time.Time
	idempotent       bool          // may run any number of times
	dedupWindow      time.Duration // for which endpoints drop duplicates; 0: the class has no idempotency key
	deadlineGuard    *time.Timer   // fails the request shortly before its deadline
	attempts         []*attempt
	attemptsInFlight int         // attempts without an outcome
	answered         bool        // has its final answer, or its client has disconnected
	answer           chan answer // receives the one final answer
}

// answer is a request's final answer.
type answer struct {
	status      int
	body        []byte
	contentType []string // of the body, as in the endpoint's response; nil: not named
	retryAfter  time.Duration
	reserved    int64 // bytes of the memory budget that the body takes
}

// newRequest returns a request that was read from conn, which is nil if the request did not
// come through a [frontend.Listener].
func newRequest(parsed *frontend.Request, conn *frontend.Conn) *request {
	return &request{
		idempotent:  parsed.Idempotent,
		id:          parsed.Event.RequestID,
		forwardHead: parsed.ForwardHead,
		body:        parsed.Body,
		conn:        conn,
		receivedAt:  parsed.ReceivedAt,
		deadline:    parsed.Deadline,
		dedupWindow: parsed.DedupWindow,
	}
}

// receive adds a request to the open ones and passes it to the policy. A request that no attempt
// may serve is rejected at once: no time is left for one, the process is about to be killed, or it
// is not known whether the client is still connected. It reports false and does nothing if a
// request with the same ID is open, or may have run and must not run again.
func (n *Node) receive(r *request, event policy.RequestReceived) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil || n.ranRequests.contains(r.id) {
		return false
	}
	r.answer = make(chan answer, 1)
	if reason, rejected := n.rejectionReason(r, event); rejected {
		n.requestEvents.record(reason, r.id)
		r.answered = true
		r.answer <- answer{status: statusRejected}
		return true
	}
	r.deadlineGuard = n.afterFunc(time.Until(r.deadline)-deadlineGuardMargin, func() { n.expire(r) })
	n.requests[r.id] = r
	n.dispatch(event)
	return true
}

// rejectionReason returns why a request must be rejected without the policy, if it must. The caller
// holds n.mu.
func (n *Node) rejectionReason(r *request, event policy.RequestReceived) (reason requestEvent, rejected bool) {
	switch {
	case n.rejecting:
		return eventRejectedAtEnd, true
	case event.Timeout <= attemptDeadlineMargin:
		return eventNoTime, true
	case r.conn != nil && r.conn.IsUnverified():
		return eventUnverifiedClient, true
	}
	return 0, false
}

// expire answers a request with [statusExpired], because its deadline or the end of the process
// is near. The caller holds n.mu.
func (n *Node) expire(r *request) {
	if !r.answered {
		n.requestEvents.record(eventExpired, r.id)
	}
	n.abort(r, answer{status: statusExpired})
}

// clientDisconnected ends a request whose client has disconnected.
func (n *Node) clientDisconnected(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clientDisconnectedLocked(r)
}

// clientDisconnectedLocked is clientDisconnected for a caller that holds n.mu.
func (n *Node) clientDisconnectedLocked(r *request) {
	if !r.answered {
		n.requestEvents.record(eventClientLeft, r.id)
	}
	n.abort(r, answer{})
}

// clientPresence returns whether the request's client is still connected, as far as known.
func (r *request) clientPresence() frontend.Presence {
	if r.conn == nil {
		return frontend.Connected
	}
	return r.conn.Presence()
}

// confirmClient reports whether an attempt may begin as far as the client is concerned: an
// attempt for a client that has disconnected is work for nobody. It ends the request if the client
// has disconnected. It checks only requests older than disconnectCheckAge, because until then
// it is early enough if the goroutine that reads the connection notices. The caller holds n.mu.
func (n *Node) confirmClient(r *request, now time.Time) bool {
	if r.answered || now.Sub(r.receivedAt) <= disconnectCheckAge {
		return !r.answered
	}
	presence := r.clientPresence()
	if presence != frontend.Connected {
		n.requestEvents.record(eventAttemptWithheld, r.id)
	}
	if presence == frontend.Disconnected {
		n.clientDisconnectedLocked(r)
	}
	return presence == frontend.Connected
}

// abort gives a request its final answer without the policy, and notifies the policy that the
// request needs no answer any more. The caller holds n.mu.
func (n *Node) abort(r *request, a answer) {
	if r.answered {
		return
	}
	n.deliverAnswer(r, a)
	n.dispatch(policy.ClientDisconnected{RequestID: r.id})
	n.removeIfDone(r)
}

// completeRequest delivers the final answer that the policy chose for a request. It does
// nothing if the request already has one. The caller holds n.mu.
func (n *Node) completeRequest(id string, a answer) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	n.deliverAnswer(r, a)
	n.removeIfDone(r)
}

// deliverAnswer gives a request its one final answer. The caller holds n.mu.
func (n *Node) deliverAnswer(r *request, a answer) {
	r.answered = true
	r.deadlineGuard.Stop()
	r.answer <- a
}

// removeIfDone removes a request from the open ones if it is answered and has no attempt in
// flight. The caller holds n.mu.
func (n *Node) removeIfDone(r *request) {
	if r.answered && r.attemptsInFlight == 0 && n.requests[r.id] == r {
		delete(n.requests, r.id)
		n.rememberIfRan(r)
	}
}
