package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// TestForwardsRequests checks that requests of each class are forwarded unchanged but for the
// remaining time, and that the endpoint's body comes back unchanged, for several requests on one
// client connection.
func TestForwardsRequests(t *testing.T) {
	var mu sync.Mutex
	heads := map[string]http.Header{}
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		mu.Lock()
		heads[req.Header.Get("X-Trace-Id")] = req.Header
		mu.Unlock()
		text := append([]byte("echo "), body...)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/x-tmx\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	for i, class := range []string{"lookup", "save", "merge", "lookup"} {
		id := fmt.Sprintf("%016x", i)
		resp, body := c.roundTrip(clientRequest(class, id))
		want := "echo 0123456789"
		if class == "lookup" {
			want = "echo "
		}
		if resp.StatusCode != http.StatusOK || body != want {
			t.Fatalf("%s: status %d, body %q, want %d, %q", class, resp.StatusCode, body, http.StatusOK, want)
		}
		if ct := resp.Header["Content-Type"]; len(ct) != 1 || ct[0] != "text/x-tmx" {
			t.Errorf("%s: Content-Type %q, want text/x-tmx", class, ct)
		}
	}
	want := []string{"GET /lookup/x?q=1 0000000000000000", "POST /save/x?q=1 0000000000000001",
		"POST /merge/x?q=1 0000000000000002", "GET /lookup/x?q=1 0000000000000003"}
	if got := endpoint.Requests(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("the endpoint received %q, want %q", got, want)
	}
	mu.Lock()
	defer mu.Unlock()
	if k := heads["0000000000000001"].Get("Idempotency-Key"); k != "k-0000000000000001" {
		t.Errorf("Idempotency-Key %q, want k-0000000000000001", k)
	}
	var ms int
	if _, err := fmt.Sscan(heads["0000000000000000"].Get("X-Expires-In-Ms"), &ms); err != nil || ms < 1 || ms > 3000 {
		t.Errorf("X-Expires-In-Ms %d, error %v, want 1 to 3000", ms, err)
	}
}

// TestDuplicateRequestID checks that a request with the ID of an open one is answered with status
// 400 and does not affect the open one.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), endpoint.Addr)
	first, second := h.dial(), h.dial()
	io.WriteString(first, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the first attempt", func() bool { return len(endpoint.Requests()) == 1 })
	if resp, _ := second.roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("second request: status %d, want %d", resp.StatusCode, http.StatusBadRequest)
	}
	close(release)
	if resp, body := first.readResponse(); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("first request: status %d, body %q, want %d, %q", resp.StatusCode, body, http.StatusOK, "hello")
	}
	if got := endpoint.Requests(); len(got) != 1 {
		t.Errorf("the endpoint received %q, want one request", got)
	}
}

// TestPolicyRejectsRequest checks that a request that the policy rejects is answered with status
// 429 and Retry-After and is not forwarded.
func TestPolicyRejectsRequest(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	cfg := testConfig(t)
	cfg.Settings.Plans[1].HardLimitRate, cfg.Settings.Plans[1].HardLimitBurst = 0.001, 0.001
	h := startNode(t, cfg, endpoint.Addr)
	resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa", "basic", "none"))
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want %d and a Retry-After header",
			resp.StatusCode, resp.Header.Get("Retry-After"), http.StatusTooManyRequests)
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// TestConnectionResetRetriesIdempotentOnly checks that no request runs twice unless it is idempotent:
// after a connection reset a request may have run, so a non-idempotent one is answered with 502,
// not retried or rejected, and an idempotent one is retried at the other endpoint.
func TestConnectionResetRetriesIdempotentOnly(t *testing.T) {
	reset := func(c net.Conn, _ *http.Request, _ []byte) bool { return false }
	a, b := testsupport.StartFakeServer(t, reset), testsupport.StartFakeServer(t, reset)
	h := startNode(t, testConfig(t), a.Addr, b.Addr)
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("not idempotent: status %d, want %d", resp.StatusCode, http.StatusBadGateway)
	}
	if got := append(a.Requests(), b.Requests()...); len(got) != 1 {
		t.Errorf("not idempotent: the endpoints received %q, want one request", got)
	}
	h.dial().roundTrip(clientRequest("lookup", "00000000000000bb"))
	if got := append(a.Requests(), b.Requests()...); len(got) != 3 {
		t.Errorf("idempotent: the endpoints received %q, want the first request and two attempts of the second", got)
	}
}

// TestConnectionsLostEverywhere checks that requests are still forwarded after connections to all
// endpoints have broken. If they were rejected, the endpoints could not show that they work again.
func TestConnectionsLostEverywhere(t *testing.T) {
	const lostConnections = 8
	var received atomic.Int32
	serve := func(c net.Conn, req *http.Request, body []byte) bool {
		return received.Add(1) > lostConnections && testsupport.RespondOK(c, req, body)
	}
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, serve).Addr, testsupport.StartFakeServer(t, serve).Addr)
	c := h.dial()
	for i := 0; i < lostConnections && received.Load() < lostConnections; i++ { // at most two attempts per request
		c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", i+1)))
	}
	for i := range 5 {
		resp, _ := c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", 100+i)))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request %d after %d attempts: status %d, want %d", i, received.Load(), resp.StatusCode, http.StatusOK)
		}
	}
}

// TestUnresponsiveEndpoint checks that a request to an endpoint that does not respond is answered by
// its deadline, but not given up too early.
func TestUnresponsiveEndpoint(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return true })
	const timeout = 600 * time.Millisecond
	cfg := testConfig(t)
	for _, class := range []string{"lookup", "save", "merge"} {
		h := startNode(t, cfg, endpoint.Addr)
		sent := time.Now()
		resp, _ := h.dial().roundTrip(clientRequest(class, "00000000000000aa", "3000", "600"))
		if took := time.Since(sent); took < timeout-2*attemptDeadlineMargin {
			t.Errorf("%s: answered after %v, want at least %v", class, took, timeout-2*attemptDeadlineMargin)
		}
		want := http.StatusBadGateway
		if class == "lookup" {
			want = http.StatusTooManyRequests
		}
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, want)
		}
		testsupport.Eventually(t, "the end of the request", func() bool { return h.openRequests() == 0 })
	}
}

// TestDeadlineGuard checks that a request that the policy does not answer is answered with status
// 504 shortly before its deadline.
func TestDeadlineGuard(t *testing.T) {
	h := startNode(t, testConfig(t))
	req := &request{id: "x", deadline: time.Now().Add(100 * time.Millisecond), answer: make(chan answer, 1)}
	h.node.mu.Lock()
	req.deadlineGuard = h.node.afterFunc(time.Until(req.deadline)-deadlineGuardMargin, func() { h.node.expire(req) })
	h.node.requests[req.id] = req
	h.node.mu.Unlock()
	if a := testsupport.Receive(t, "the answer", req.answer); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want %d", a.status, http.StatusGatewayTimeout)
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if len(h.node.requests) != 0 {
		t.Errorf("%d requests are open, want none", len(h.node.requests))
	}
}

// eventRecorder records the IDs of the requests that the policy receives.
type eventRecorder struct {
	policyGateway
	received *[]string
}

// Step implements policyGateway.
func (r eventRecorder) Step(now policy.Time, event policy.Event, out []policy.Action) []policy.Action {
	if event, ok := event.(policy.RequestReceived); ok {
		*r.received = append(*r.received, event.RequestID)
	}
	return r.policyGateway.Step(now, event, out)
}

// Guards against state that grows with requests that nobody could serve in time: they are rejected
// without the policy, which keeps state for each tenant.
func TestRequestWithoutTimeLeavesNoState(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	var received []string
	h.node.mu.Lock()
	h.node.gateway = eventRecorder{policyGateway: h.node.gateway, received: &received}
	h.node.mu.Unlock()
	c := h.dial()
	for _, milliseconds := range []string{"1", "15", "16"} {
		id := numberedID(len(milliseconds)*10 + len(received))
		resp, _ := c.roundTrip(clientRequest("lookup", id, "X-Expires-In-Ms: 3000", "X-Expires-In-Ms: "+milliseconds))
		if milliseconds != "16" && resp.StatusCode != statusRejected {
			t.Errorf("%s ms left: status %d, want %d", milliseconds, resp.StatusCode, statusRejected)
		}
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if len(received) > 1 {
		t.Errorf("the policy received %q, want only the request with 16 ms left", received)
	}
}
