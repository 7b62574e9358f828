package edge

import (
	"context"
	"fmt"
	"io"
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

// awaitAllAnswered waits until the node has noticed that the clients of all requests have disconnected.
func awaitAllAnswered(h *harness) {
	h.t.Helper()
	testsupport.Eventually(h.t, "the end of the request", func() bool {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		for _, q := range h.node.requests {
			if !q.answered {
				return false
			}
		}
		return true
	})
}

// awaitRequest waits until the node has received a request.
func awaitRequest(h *harness) {
	h.t.Helper()
	testsupport.Eventually(h.t, "the request", func() bool { return h.openRequests() == 1 })
}

// Guards endpoints against work that nobody waits for: the connection for a request comes
// up just after its client has disconnected, and nothing is written to it.
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
			return len(endpoint.IdleConns()) == 1 // unused, and good for the next request
		})
		if resp, _ := h.dial().roundTrip(clientRequest(class, "00000000000000bb")); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: the next request: status %d", class, resp.StatusCode)
		}
		if got := endpoint.Requests(); len(got) != 1 || got[0][len(got[0])-2:] != "bb" {
			t.Errorf("%s: endpoint got %q", class, got)
		}
	}
}

// Guards endpoints against work that nobody waits for: the counter's response admits a
// request that waited for it, and its client has disconnected.
func TestClientDisconnectsDuringCounterCall(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	calls, answer := make(chan string, 8), make(chan struct{})
	counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		calls <- req.URL.Query().Get("delta")
		<-answer
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
		return true
	})
	cfg := testConfig(t)
	cfg.CounterAddress, cfg.Settings.Accounting.CounterEnabled = counter.Addr, true
	cfg.Settings.Accounting.CounterTimeout = testsupport.MaxWait // less than half of the request's time, or it would not wait
	cfg.Settings.Classes[0].Deadline = 3 * testsupport.MaxWait
	plan := &cfg.Settings.Plans[0]
	plan.Rate, plan.Burst, plan.OverQuotaCost = 2, 4, 1 // so little that requests are admitted by the shared bucket
	h := startNode(t, cfg, endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa", "3000", "60000"))
	if delta := <-calls; delta != "2" {
		t.Fatalf("the counter call adds %s", delta)
	}
	awaitRequest(h)
	c.Close()
	awaitAllAnswered(h)
	close(answer)
	testsupport.Eventually(t, "the return of the units", func() bool { // the policy has dealt with the response by then
		select {
		case delta := <-calls:
			return delta == "-2"
		default:
			return false
		}
	})
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// neverRanResponse is the response of an endpoint that did not run a request.
const neverRanResponse = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"

// startNodeWithoutCancel runs a node that may not cancel attempts: one stays in flight when its
// client disconnects. Its two endpoints respond, once release is closed, that they did not run a
// request; requests returns those that either of them got.
func startNodeWithoutCancel(t *testing.T, release <-chan struct{}) (h *harness, requests func() []string) {
	t.Helper()
	respond := testsupport.RespondAfter(release, testsupport.RespondWith(neverRanResponse))
	a, b := testsupport.StartFakeServer(t, respond), testsupport.StartFakeServer(t, respond)
	cfg := testConfig(t)
	cfg.Settings.Limits.AllowCancel = false
	h = startNode(t, cfg, a.Addr, b.Addr)
	return h, func() []string { return append(a.Requests(), b.Requests()...) }
}

// Guards endpoints against work that nobody waits for: an attempt ends in a way that calls
// for a retry, and its client has disconnected.
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
		t.Errorf("the attempt ends as %d", outcome)
	}
	if got := requests(); len(got) != 1 {
		t.Errorf("endpoints got %q", got)
	}
}

// outcomeRecorder reports the outcomes of attempts once the policy has dealt with them, and
// -1 for each attempt that it starts then.
type outcomeRecorder struct {
	policyGateway
	outcomes chan policy.Outcome
}

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

// Guards endpoints against work that nobody waits for: the client has sent more than its
// request, at which the library's own watch stops, and then disconnects.
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
				awaitReadAhead(h, len(text)-1) // the first byte is with the library
				end(c.Conn.(*net.TCPConn))
				awaitAllAnswered(h)
				close(release)
				testsupport.Eventually(t, "the end of the attempt", func() bool { return h.openRequests() == 0 })
				if got := requests(); len(got) != 1 {
					t.Errorf("endpoints got %q", got)
				}
			})
		}
	}
}

// awaitReusableConn waits until an endpoint has one idle connection, which may take the
// next request.
func (h *harness) awaitReusableConn(endpointID string) *upstream.Endpoint {
	h.t.Helper()
	h.node.mu.Lock()
	endpoint := h.node.pool.Endpoint(endpointID)
	idle := endpoint.IdleConns()
	if open := h.node.pool.OpenConns(); len(idle) != 1 || open != 1 {
		h.node.mu.Unlock()
		h.t.Fatalf("%d idle connections of %d open ones, want one", len(idle), open)
	}
	idleSince := idle[0].IdleSince()
	h.node.mu.Unlock()
	testsupport.Eventually(h.t, "the end of the reuse delay", func() bool { return time.Since(idleSince) >= upstream.ReuseDelay })
	return endpoint
}

// beginRequest hands the policy a request without a listener. The lock is held.
func (h *harness) beginRequest(id string, conn *frontend.Conn) *request {
	q := &request{id: id, conn: conn, receivedAt: time.Now().Add(-time.Second), deadline: time.Now().Add(testsupport.MaxWait),
		answer: make(chan answer, 1), forwardHead: []byte("GET /lookup/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Expires-In-Ms: ")}
	q.deadlineGuard = h.node.afterFunc(testsupport.MaxWait, func() {})
	h.node.requests[id] = q
	h.node.dispatch(policy.RequestReceived{RequestID: id, Tenant: 1, Timeout: testsupport.MaxWait, Units: 1, TenantGateways: 1})
	return q
}

// Guards endpoints against work that nobody waits for: the policy has started an attempt, on
// an idle connection, and before it is written the client is seen to have disconnected.
func TestClientDisconnectsBeforeAttemptIsWritten(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
		cfg := testConfig(t)
		cfg.Settings.Limits.AllowCancel = cancel
		h := startNode(t, cfg, endpoint.Addr)
		h.dial().roundTrip(clientRequest("lookup", "00000000000000aa"))
		upstreamEndpoint := h.awaitReusableConn("s-0")
		h.node.mu.Lock()
		q := h.beginRequest("00000000000000bb", nil)
		if q.attemptsInFlight != 1 || len(upstreamEndpoint.IdleConns()) != 0 {
			t.Fatalf("%d attempts in flight, %d idle connections", q.attemptsInFlight, len(upstreamEndpoint.IdleConns()))
		}
		h.node.clientDisconnectedLocked(q)
		h.node.mu.Unlock()
		testsupport.Eventually(t, "the end of the attempt", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			return len(h.node.requests) == 0 && (cancel && h.node.pool.OpenConns() == 0 || !cancel && len(upstreamEndpoint.IdleConns()) == 1)
		})
		if got := endpoint.Requests(); len(got) != 1 {
			t.Errorf("cancelling %v: endpoint got %q", cancel, got)
		}
	}
}

// disconnectedClient returns a connection whose client has closed it, which nobody has read
// yet, and the context of its requests.
func (h *harness) disconnectedClient() (context.Context, *frontend.Conn) {
	h.t.Helper()
	tracker := frontend.NewTracker(1, frontend.NewMemoryBudget(0))
	client, accepted := connect(h.t, frontend.NewListener(testsupport.Listen(h.t), tracker))
	ctx := tracker.ConnContext(context.Background(), accepted)
	conn := frontend.ConnFromContext(ctx)
	if got := socket.Peek(conn.Conn); got != socket.NoData {
		h.t.Errorf("before the client disconnects: %d", got)
	}
	client.Close()
	testsupport.Eventually(h.t, "the client's end", func() bool { return socket.Peek(conn.Conn) == socket.Closed })
	return ctx, conn
}

// Guards endpoints against work that nobody waits for where this process was stalled: the
// client has closed its connection, and who reads that has not got round to it when the
// attempt of a request that has waited would be written, or when the request is received.
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
		t.Errorf("endpoint got %q", got)
	}
}

// Guards endpoints against half a request: the client disconnects while it sends the body.
func TestClientDisconnectsDuringBody(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	text := clientRequest("merge", "00000000000000aa")
	io.WriteString(c, text[:len(text)-5])
	c.Conn.(*net.TCPConn).CloseWrite()
	io.ReadAll(c.reader) // until the node has closed it
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// Guards endpoints against work that nobody waits for: when the client disconnects, the
// attempt is canceled by closing its connection.
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

// Guards against a response that no endpoint gave: a client that half-closes its connection counts as
// disconnected, and reads the end of the connection and nothing else.
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
		t.Errorf("read %q, %v", text, err)
	}
}
