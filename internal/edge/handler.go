package edge

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"swiftpitch/internal/frontend"
)

const (
	// readyPath is the path of readiness checks, which come from the proxy in front of the nodes
	// and from the deployment.
	readyPath = "/-/ready"
	// maxUnreservedBodyBytes is the longest body that does not count against the memory budget.
	// Clients that declare long bodies and never send them can exhaust the budget, but do not
	// keep out ordinary requests.
	maxUnreservedBodyBytes = 4 << 10
	// largeAnswerTimeout limits the time for writing an answer that takes memory from the budget,
	// so that clients that do not take their answers can't hold it for long.
	largeAnswerTimeout = 5 * time.Second
)

// errDuplicateID is returned for a request with the ID of another one that is still open, or that
// may have run and must not run again.
var errDuplicateID = errors.New("a request of this id is open")

// ServeHTTP implements [http.Handler]: it answers a client's request or a readiness check. The
// HTTP server calls it from the goroutine of each connection.
func (n *Node) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if isReadinessCheck(req) {
		n.serveReady(w)
		return
	}
	if reserved := bodyReservation(req.ContentLength); reserved > 0 {
		if !n.memoryBudget.Reserve(reserved) {
			n.requestEvents.record(eventOutOfMemory, "")
			n.respondOutOfMemory(w)
			return
		}
		defer n.memoryBudget.Release(reserved)
	}
	r, err := n.receiveHTTP(req)
	if err != nil {
		respondMalformed(w, err)
		return
	}
	n.respond(w, r.conn, n.awaitAnswer(req, r))
}

// isReadinessCheck reports whether a request asks if this node is ready.
func isReadinessCheck(req *http.Request) bool {
	return req.RequestURI == readyPath && req.Method == http.MethodGet && req.ContentLength == 0
}

// serveReady answers a readiness check: 200 unless the node is draining or no endpoint serves.
func (n *Node) serveReady(w http.ResponseWriter) {
	n.mu.Lock()
	ready := !n.draining && n.pool.ServingEndpoints() > 0
	n.mu.Unlock()
	if n.clientConns.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// bodyReservation returns how many bytes of the memory budget a body of the given length takes.
func bodyReservation(length int64) int64 {
	if length <= maxUnreservedBodyBytes || length > frontend.MaxBodyBytes { // bodies over MaxBodyBytes are not read
		return 0
	}
	return length
}

// receiveHTTP reads a request and passes it to the policy. If the client has disconnected or
// the connection has been evicted, it panics with [http.ErrAbortHandler], which drops the
// request without a response.
func (n *Node) receiveHTTP(req *http.Request) (*request, error) {
	parsed, err := n.parser.Parse(req)
	if err != nil {
		n.requestEvents.record(eventMalformed, "")
		return nil, err
	}
	conn := frontend.ConnFromContext(req.Context())
	if conn != nil && !conn.AcceptRequest() {
		n.requestEvents.record(eventNotAccepted, parsed.Event.RequestID)
		panic(http.ErrAbortHandler)
	}
	if conn != nil {
		parsed.SetArrival(conn.RequestArrival())
	}
	r := newRequest(&parsed, conn)
	if !n.receive(r, parsed.Event) {
		n.requestEvents.record(eventDuplicateID, r.id)
		return nil, errDuplicateID
	}
	return r, nil
}

// awaitAnswer waits for a request's final answer. It panics with [http.ErrAbortHandler] if the
// client disconnects first.
func (n *Node) awaitAnswer(req *http.Request, r *request) answer {
	var disconnected <-chan struct{}
	if r.conn != nil {
		disconnected = r.conn.Disconnected()
	}
	select {
	case a := <-r.answer:
		if a.status == 0 { // the disconnect was detected before an attempt
			panic(http.ErrAbortHandler)
		}
		return a
	case <-req.Context().Done():
	case <-disconnected:
	}
	n.clientDisconnected(r)
	n.memoryBudget.Release((<-r.answer).reserved) // an answer may have come at the same moment
	panic(http.ErrAbortHandler)                   // returning would send a response with status 200
}

// respond writes a request's final answer. While the node drains, the connection closes after it,
// unless part of a further request was read on it already.
func (n *Node) respond(w http.ResponseWriter, conn *frontend.Conn, a answer) {
	if a.reserved > 0 {
		defer n.memoryBudget.Release(a.reserved)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(largeAnswerTimeout))
	}
	header := w.Header()
	header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	header["Content-Type"] = a.contentType // from the endpoint; nil keeps net/http from guessing one
	if conn != nil && conn.BeginAnswer() {
		header.Set("Connection", "close")
	}
	setRetryAfter(header, a.retryAfter)
	w.WriteHeader(a.status)
	w.Write(a.body) // an error here means that the client has disconnected, or takes too little
}

// setRetryAfter sets the header that tells a client how long to wait before a retry; 0: none.
func setRetryAfter(header http.Header, delay time.Duration) {
	if delay > 0 {
		header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	}
}

// respondOutOfMemory rejects a request whose body does not fit the memory budget. Nothing tells when
// memory will be free, so the client is told to wait as long as clients honor, if they honor a wait.
func (n *Node) respondOutOfMemory(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // the body is not read
	if limits := n.cfg.Settings.Limits; limits.AllowRetryAfter {
		setRetryAfter(w.Header(), limits.MaxRetryAfter)
	}
	http.Error(w, "too many bodies in hand", http.StatusServiceUnavailable)
}

// respondMalformed tells a client what is wrong with its request.
func respondMalformed(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close") // what is left of the body is not read
	http.Error(w, err.Error(), http.StatusBadRequest)
}
