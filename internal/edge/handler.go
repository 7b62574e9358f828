package edge

import (
	"errors"
	"net/http"
	"strconv"

	"swiftpitch/internal/frontend"
)

const (
	// readyPath is where the front and the deployment ask whether this node takes requests.
	readyPath = "/-/ready"
	// maxUnreservedBodyBytes is the longest body, in bytes, that does not count against the memory
	// budget, so that long bodies that are declared and never sent cannot keep out ordinary
	// requests.
	maxUnreservedBodyBytes = 4 << 10
)

// errDuplicateID tells that a client reuses the id of a request that is still open.
var errDuplicateID = errors.New("a request of this id is open")

// ServeHTTP answers one request of a client or of the front. The HTTP library calls it on
// a goroutine for each connection.
func (n *Node) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if isReadinessCheck(req) {
		n.serveReady(w)
		return
	}
	if reserved := bodyReservation(req.ContentLength); reserved > 0 {
		if !n.memory.Reserve(reserved) {
			respondOutOfMemory(w)
			return
		}
		defer n.memory.Release(reserved)
	}
	r, err := n.receiveHTTP(req)
	if err != nil {
		respondMalformed(w, err)
		return
	}
	n.respond(w, n.awaitAnswer(req, r))
}

// isReadinessCheck reports whether a request asks if this node is ready.
func isReadinessCheck(req *http.Request) bool {
	return req.RequestURI == readyPath && req.Method == http.MethodGet && req.ContentLength == 0
}

// serveReady answers a readiness check.
func (n *Node) serveReady(w http.ResponseWriter) {
	n.mu.Lock()
	ready := !n.draining && n.pool.ServingEndpoints() > 0
	n.mu.Unlock()
	if n.clients.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// bodyReservation returns how much of the memory budget a body takes.
func bodyReservation(length int64) int64 {
	if length <= maxUnreservedBodyBytes || length > frontend.MaxBodyBytes { // longer ones are not read
		return 0
	}
	return length
}

// receiveHTTP reads a request and hands it to the policy. It ends the handler without a
// response if the request must be dropped.
func (n *Node) receiveHTTP(req *http.Request) (*request, error) {
	parsed, err := n.parser.Parse(req)
	if err != nil {
		return nil, err
	}
	conn := frontend.ConnFromContext(req.Context())
	if conn != nil && !conn.AcceptRequest() {
		panic(http.ErrAbortHandler)
	}
	r := newRequest(&parsed, conn)
	if !n.receive(r, parsed.Event) {
		return nil, errDuplicateID
	}
	return r, nil
}

// awaitAnswer waits for a request's final answer. It ends the handler if the client
// disconnects meanwhile.
func (n *Node) awaitAnswer(req *http.Request, r *request) answer {
	var disconnected <-chan struct{}
	if r.conn != nil {
		disconnected = r.conn.Disconnected()
	}
	select {
	case a := <-r.answer:
		return a
	case <-req.Context().Done():
	case <-disconnected:
	}
	n.clientDisconnected(r)
	panic(http.ErrAbortHandler) // a return would answer 200
}

// respond writes a request's final answer.
func (n *Node) respond(w http.ResponseWriter, a answer) {
	header := w.Header()
	header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	header["Content-Type"] = a.contentType // as the endpoint named it; the library would guess
	if n.clients.Draining() {
		header.Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error here means that the client has disconnected
}

// respondOutOfMemory rejects a request whose body does not fit the memory budget.
func respondOutOfMemory(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // the body is not read
	w.Header().Set("Retry-After", "1")
	http.Error(w, "too many bodies in hand", http.StatusServiceUnavailable)
}

// respondMalformed tells a client what is wrong with its request.
func respondMalformed(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close") // what is left of the body is not read
	http.Error(w, err.Error(), http.StatusBadRequest)
}
