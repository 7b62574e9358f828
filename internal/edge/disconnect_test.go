package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/socket"
	"swiftpitch/internal/testsupport"
	"swiftpitch/internal/upstream"
)

// awaitAllAnswered waits until each open request has its answer or its client has disconnected.
func awaitAllAnswered(h *harness) {
	h.t.Helper()
	testsupport.Eventually(h.t, "all requests answered or ended by a disconnect", func() bool {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		for _, r := range h.node.requests {
			if !r.answered {
				return false
			}
		}
		return true
	})
}

// awaitRequest waits until the node has one open request.
func awaitRequest(h *harness) {
	h.t.Helper()
	testsupport.Eventually(h.t, "one open request", func() bool { return h.openRequests() == 1 })
}

// TestClientDisconnectsDuringDial checks that nothing is written to an endpoint if the client
// disconnects while the attempt's connection is dialed, as nobody would read the response, and
// that the connection serves the next request.
func TestClientDisconnectsDuringDial(t *testing.T) {
	for _, class := range []string{"lookup", "merge"} {
		endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
		h := startNode(t, testConfig(t), endpoint.Addr)
		started, release := h.blockDials(func() bool { return true })
		c := h.dial()
		io.WriteString(c, clientRequest(class, "00000000000000aa"))
		<-started
		c.Close()
		awaitAllAnswered(h)
		close(release)
		testsupport.Eventually(t, "the end of the attempt", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			endpoint := h.node.pool.Endpoint("s-0")
			return len(endpoint.IdleConns()) == 1 // nothing was written: the next request can use it
		})
		if resp, _ := h.dial().roundTrip(clientRequest(class, "00000000000000bb")); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: the next request: status %d, want %d", class, resp.StatusCode, http.StatusOK)
		}
		if got := endpoint.Requests(); len(got) != 1 || got[0][len(got[0])-2:] != "bb" {
			t.Errorf("%s: the endpoint received %q, want the request ...bb only", class, got)
		}
	}
}

// TestClientDisconnectsDuringCounterCall checks that a request is not forwarded if its client
// disconnects before the counter's response admits it, and that its units are returned.
func TestClientDisconnectsDuringCounterCall(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	calls, answer := make(chan string, 8), make(chan struct{})
	counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		calls <- req.URL.Query().Get("delta")
		<-answer
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n4")
		return true
	})
	cfg := testConfig(t)
	cfg.CounterAddress, cfg.Settings.Accounting.CounterEnabled = counter.Addr, true
	cfg.Settings.Accounting.CounterTimeout = testsupport.MaxWait // below half of the request's timeout, or it would not wait
	cfg.Settings.Classes[0].Deadline = 3 * testsupport.MaxWait
	plan := &cfg.Settings.Plans[0]
	plan.Rate, plan.Burst = 2, 4 // little enough that the shared bucket admits requests
	h := startNode(t, cfg, endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa", "3000", "60000", "units=2", "units=4")) // of the whole burst, so that it always calls
	if delta := <-calls; delta != "4" {
		t.Fatalf("the counter call adds %s units, want 4", delta)
	}
	awaitRequest(h)
	c.Close()
	awaitAllAnswered(h)
	close(answer)
	testsupport.Eventually(t, "the return of the units", func() bool { // by then the policy has handled the response
		select {
		case delta := <-calls:
			return delta == "-4"
		default:
			return false
		}
	})
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// neverRanResponse is the response of an endpoint that did not run a request.
const neverRanResponse = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"

// startNodeWithoutCancel runs a node that may not cancel attempts, so that an attempt stays in
// flight when its client disconnects. After release is closed, its two endpoints respond that
// they did not run the request. requests returns the requests that they received.
func startNodeWithoutCancel(t *testing.T, release <-chan struct{}) (h *harness, requests func() []string) {
	t.Helper()
	respond := testsupport.RespondAfter(release, testsupport.RespondWith(neverRanResponse))
	a, b := testsupport.StartFakeServer(t, respond), testsupport.StartFakeServer(t, respond)
	cfg := testConfig(t)
	cfg.Settings.Limits.AllowCancel = false
	h = startNode(t, cfg, a.Addr, b.Addr)
	return h, func() []string { return append(a.Requests(), b.Requests()...) }
}

// TestClientDisconnectsBeforeRetry checks that an attempt is not retried if its client has
// disconnected by the time it ends, also if the endpoint did not run it.
func TestClientDisconnectsBeforeRetry(t *testing.T) {
	release := make(chan struct{})
	h, requests := startNodeWithoutCancel(t, release)
	outcomes := make(chan policy.Outcome, 8)
	h.node.mu.Lock()
	h.node.gateway = outcomeRecorder{policyGateway: h.node.gateway, outcomes: outcomes}
	h.node.mu.Unlock()
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(requests()) == 1 })
	c.Close()
	awaitAllAnswered(h)
	close(release)
	if outcome := <-outcomes; outcome != policy.Overloaded {
		t.Errorf("the attempt ends with outcome %d, want %d", outcome, policy.Overloaded)
	}
	if got := requests(); len(got) != 1 {
		t.Errorf("the endpoints received %q, want one request", got)
	}
}

// outcomeRecorder sends to outcomes the outcome of each attempt that the policy has handled.
// Before it, it sends -1 for each attempt that the policy starts in response.
type outcomeRecorder struct {
	policyGateway
	outcomes chan policy.Outcome
}

// Step implements policyGateway.
func (r outcomeRecorder) Step(now policy.Time, event policy.Event, out []policy.Action) []policy.Action {
	out = r.policyGateway.Step(now, event, out)
	if ended, ok := event.(policy.AttemptEnded); ok {
		for _, a := range out {
			if _, ok := a.(policy.StartAttempt); ok {
				r.outcomes <- -1
			}
		}
		r.outcomes <- ended.Outcome
	}
	return out
}

// TestClientDisconnectsAfterPipelinedBytes checks that a disconnect is detected, and the attempt
// not retried, if the client has sent more bytes after its request. net/http stops watching a
// connection for a disconnect when it receives such bytes.
func TestClientDisconnectsAfterPipelinedBytes(t *testing.T) {
	next := clientRequest("lookup", "00000000000000cc")
	ends := map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	}
	for extra, text := range map[string]string{"a line's end": "\r\n", "a byte": "G", "half a request": next[:40],
		"a request": next, "more than fits one read": strings.Repeat(next, 20)} {
		for how, end := range ends {
			t.Run(extra+", "+how, func(t *testing.T) {
				release := make(chan struct{})
				h, requests := startNodeWithoutCancel(t, release)
				c := h.dial()
				io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
				testsupport.Eventually(t, "the attempt", func() bool { return len(requests()) == 1 })
				io.WriteString(c, text)
				awaitReadAhead(h, len(text)-1) // net/http has read the first byte
				end(c.Conn.(*net.TCPConn))
				awaitAllAnswered(h)
				close(release)
				testsupport.Eventually(t, "the end of the attempt", func() bool { return h.openRequests() == 0 })
				if got := requests(); len(got) != 1 {
					t.Errorf("the endpoints received %q, want one request", got)
				}
			})
		}
	}
}

// awaitReusableConn checks that an endpoint has the only open connection and that it is idle, and
// waits until the next request may use it.
func (h *harness) awaitReusableConn(endpointID string) *upstream.Endpoint {
	h.t.Helper()
	h.node.mu.Lock()
	endpoint := h.node.pool.Endpoint(endpointID)
	idle := endpoint.IdleConns()
	if open := h.node.pool.OpenConns(); len(idle) != 1 || open != 1 {
		h.node.mu.Unlock()
		h.t.Fatalf("%d open connections, of them %d idle, want one, idle", open, len(idle))
	}
	idleSince := idle[0].IdleSince()
	h.node.mu.Unlock()
	testsupport.Eventually(h.t, "the end of the reuse delay", func() bool { return time.Since(idleSince) >= upstream.ReuseDelay })
	return endpoint
}

// beginRequest passes a request to the policy without a listener. The caller holds h.node.mu.
func (h *harness) beginRequest(id string, conn *frontend.Conn) *request {
	r := &request{id: id, conn: conn, receivedAt: time.Now().Add(-time.Second), deadline: time.Now().Add(testsupport.MaxWait),
		answer: make(chan answer, 1), forwardHead: []byte("GET /lookup/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Expires-In-Ms: ")}
	r.deadlineGuard = h.node.afterFunc(testsupport.MaxWait, func() {})
	h.node.requests[id] = r
	h.node.dispatch(policy.RequestReceived{RequestID: id, Tenant: 1, Timeout: testsupport.MaxWait, Units: 1, TenantGateways: 1})
	return r
}

// TestClientDisconnectsBeforeAttemptIsWritten checks that an attempt on an idle connection is not
// written if the client's disconnect is detected after the policy has started the attempt.
func TestClientDisconnectsBeforeAttemptIsWritten(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
		cfg := testConfig(t)
		cfg.Settings.Limits.AllowCancel = cancel
		h := startNode(t, cfg, endpoint.Addr)
		h.dial().roundTrip(clientRequest("lookup", "00000000000000aa"))
		upstreamEndpoint := h.awaitReusableConn("s-0")
		h.node.mu.Lock()
		r := h.beginRequest("00000000000000bb", nil)
		if r.attemptsInFlight != 1 || len(upstreamEndpoint.IdleConns()) != 0 {
			t.Fatalf("%d attempts in flight, %d idle connections, want 1 and 0", r.attemptsInFlight, len(upstreamEndpoint.IdleConns()))
		}
		h.node.clientDisconnectedLocked(r)
		h.node.mu.Unlock()
		testsupport.Eventually(t, "the end of the attempt", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			return len(h.node.requests) == 0 && (cancel && h.node.pool.OpenConns() == 0 || !cancel && len(upstreamEndpoint.IdleConns()) == 1)
		})
		if got := endpoint.Requests(); len(got) != 1 {
			t.Errorf("cancel allowed %v: the endpoint received %q, want the first request only", cancel, got)
		}
	}
}

// disconnectedClient returns a connection that its client has closed, before any goroutine has
// read that, and the context of its requests.
func (h *harness) disconnectedClient() (context.Context, *frontend.Conn) {
	h.t.Helper()
	tracker := frontend.NewTracker(1, frontend.NewMemoryBudget(0))
	client, accepted := testsupport.Connect(h.t, frontend.NewListener(testsupport.Listen(h.t), tracker, slog.New(slog.DiscardHandler)))
	ctx := tracker.ConnContext(context.Background(), accepted)
	conn := frontend.ConnFromContext(ctx)
	if got := socket.Peek(conn.Conn); got != socket.NoData {
		h.t.Errorf("before the client disconnects, the state of its connection is %d, want %d", got, socket.NoData)
	}
	client.Close()
	testsupport.Eventually(h.t, "the client's disconnect", func() bool { return socket.Peek(conn.Conn) == socket.Closed })
	return ctx, conn
}

// TestUnreadDisconnect checks that a request is not forwarded if its client has closed the
// connection, although the goroutine that reads the connection has not noticed it, as in a
// process that was stalled. It covers a disconnect before the attempt of a request that has
// waited is written, and one before the request is received.
func TestUnreadDisconnect(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	_, conn := h.disconnectedClient()
	h.node.mu.Lock()
	h.beginRequest("00000000000000aa", conn)
	h.node.mu.Unlock()
	testsupport.Eventually(t, "the end of the attempt", func() bool { return h.openRequests() == 0 })
	ctx, _ := h.disconnectedClient()
	h.expectAborted(ctx)
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// TestClientDisconnectsDuringBody checks that a request is not forwarded if its client disconnects
// while it sends the body.
func TestClientDisconnectsDuringBody(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	text := clientRequest("merge", "00000000000000aa")
	io.WriteString(c, text[:len(text)-5])
	c.Conn.(*net.TCPConn).CloseWrite()
	io.ReadAll(c.reader) // until the node closes the connection
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// TestClientDisconnectCancelsAttempt checks that the attempt's connection is closed when the client
// disconnects, so that the endpoint can stop its work.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	closed := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		c.SetReadDeadline(time.Now().Add(testsupport.MaxWait))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			close(closed)
		}
		return false
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	c.Close()
	testsupport.Receive(t, "the cancellation of the attempt", closed)
	testsupport.Eventually(t, "the end of the request", func() bool { return h.openRequests() == 0 })
}

// TestHalfCloseCountsAsDisconnect checks that a client that half-closes its connection counts as
// disconnected: the node closes the connection without a response.
func TestHalfCloseCountsAsDisconnect(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool {
		<-release
		return false
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	c.Conn.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(c.reader); err != nil || len(text) > 0 {
		t.Errorf("the client read %q and error %v, want the end of the connection only", text, err)
	}
}
