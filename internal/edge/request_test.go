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

	"swiftpitch/internal/testsupport"
)

// Guards the plain path of a request: each kind of class is forwarded unchanged, with the
// remaining time, and the endpoint's body comes back unchanged, many times over one client
// connection.
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
			t.Fatalf("%s: %d %q", class, resp.StatusCode, body)
		}
		if ct := resp.Header["Content-Type"]; len(ct) != 1 || ct[0] != "text/x-tmx" {
			t.Errorf("%s: Content-Type %q", class, ct)
		}
	}
	want := []string{"GET /lookup/x?q=1 0000000000000000", "POST /save/x?q=1 0000000000000001",
		"POST /merge/x?q=1 0000000000000002", "GET /lookup/x?q=1 0000000000000003"}
	if got := endpoint.Requests(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("endpoint got %q", got)
	}
	mu.Lock()
	defer mu.Unlock()
	if k := heads["0000000000000001"].Get("Idempotency-Key"); k != "k-0000000000000001" {
		t.Errorf("Idempotency-Key %q", k)
	}
	var ms int
	if _, err := fmt.Sscan(heads["0000000000000000"].Get("X-Expires-In-Ms"), &ms); err != nil || ms < 1 || ms > 3000 {
		t.Errorf("X-Expires-In-Ms %d, %v", ms, err)
	}
}

// Guards the one answer of an open request: another of the same id is malformed
// and does not touch it.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), endpoint.Addr)
	first, second := h.dial(), h.dial()
	io.WriteString(first, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the first attempt", func() bool { return len(endpoint.Requests()) == 1 })
	if resp, _ := second.roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("second: status %d", resp.StatusCode)
	}
	close(release)
	if resp, body := first.readResponse(); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("first: %d %q", resp.StatusCode, body)
	}
	if got := endpoint.Requests(); len(got) != 1 {
		t.Errorf("endpoint got %q", got)
	}
}

// Guards a rejection by the policy: it is answered at once, with Retry-After, and no
// attempt is started.
func TestPolicyRejectsRequest(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	cfg := testConfig(t)
	cfg.Settings.Plans[1].HardLimitRate, cfg.Settings.Plans[1].HardLimitBurst = 0.001, 0.001
	h := startNode(t, cfg, endpoint.Addr)
	resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa", "basic", "none"))
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// Guards against running a request twice: after a reset one that is not idempotent may have
// run, so it is neither retried nor rejected; an idempotent one is retried elsewhere.
func TestConnectionResetRetriesIdempotentOnly(t *testing.T) {
	reset := func(c net.Conn, _ *http.Request, _ []byte) bool { return false }
	a, b := testsupport.StartFakeServer(t, reset), testsupport.StartFakeServer(t, reset)
	h := startNode(t, testConfig(t), a.Addr, b.Addr)
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("not idempotent: status %d", resp.StatusCode)
	}
	if got := append(a.Requests(), b.Requests()...); len(got) != 1 {
		t.Errorf("not idempotent: endpoints got %q", got)
	}
	h.dial().roundTrip(clientRequest("lookup", "00000000000000bb"))
	if got := append(a.Requests(), b.Requests()...); len(got) != 3 {
		t.Errorf("idempotent: endpoints got %q", got)
	}
}

// Guards requests against being rejected for faults that all endpoints share: once
// connections have broken everywhere, requests are still forwarded, and the endpoints can
// show that they serve.
func TestConnectionsLostEverywhere(t *testing.T) {
	const lostConnections = 8
	var received atomic.Int32
	serve := func(c net.Conn, req *http.Request, body []byte) bool {
		return received.Add(1) > lostConnections && testsupport.RespondOK(c, req, body)
	}
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, serve).Addr, testsupport.StartFakeServer(t, serve).Addr)
	c := h.dial()
	for i := 0; i < lostConnections && received.Load() < lostConnections; i++ { // two attempts each at most
		c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", i+1)))
	}
	for i := range 5 {
		resp, _ := c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", 100+i)))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request %d after %d attempts: status %d", i, received.Load(), resp.StatusCode)
		}
	}
}

// Guards the deadline: an endpoint that does not respond does not keep the client waiting
// past it.
func TestUnresponsiveEndpoint(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return true })
	cfg := testConfig(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 300 * time.Millisecond
	}
	for _, class := range []string{"lookup", "save", "merge"} {
		h := startNode(t, cfg, endpoint.Addr)
		sent := time.Now()
		resp, _ := h.dial().roundTrip(clientRequest(class, "00000000000000aa", "3000", "600"))
		if took := time.Since(sent); took < 200*time.Millisecond {
			t.Errorf("%s: given up after %v", class, took)
		}
		want := http.StatusBadGateway
		if class == "lookup" {
			want = http.StatusTooManyRequests
		}
		if resp.StatusCode != want {
			t.Errorf("%s: status %d", class, resp.StatusCode)
		}
		testsupport.Eventually(t, "the end of the request", func() bool { return h.openRequests() == 0 })
	}
}

// Guards the deadline guard: a request that the policy does not end is failed shortly
// before its deadline.
func TestDeadlineGuard(t *testing.T) {
	h := startNode(t, testConfig(t))
	req := &request{id: "x", deadline: time.Now().Add(100 * time.Millisecond), answer: make(chan answer, 1)}
	h.node.mu.Lock()
	req.deadlineGuard = h.node.afterFunc(time.Until(req.deadline)-deadlineGuardMargin, func() { h.node.expire(req) })
	h.node.requests[req.id] = req
	h.node.mu.Unlock()
	if a := testsupport.Receive(t, "the answer", req.answer); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d", a.status)
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if len(h.node.requests) != 0 {
		t.Error("the request is still held")
	}
}
