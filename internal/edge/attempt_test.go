package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
	"swiftpitch/internal/upstream"
)

// blockDials replaces the node's dials to endpoints. Each dial sends to started when it begins,
// and waits until release is closed if shouldBlock reports true; the dial timeout has no effect.
func (h *harness) blockDials(shouldBlock func() bool) (started <-chan struct{}, release chan<- struct{}) {
	dialing, released := make(chan struct{}, 8), make(chan struct{})
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	h.node.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		dialing <- struct{}{}
		if shouldBlock() {
			<-released
		}
		return net.Dial(network, addr)
	}
	return dialing, released
}

// TestDrainGraceEndsDuringDial checks that nothing is written to an endpoint whose drain grace
// ends while its connection is dialed, and that the request is rejected as never run.
func TestDrainGraceEndsDuringDial(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	started, release := h.blockDials(func() bool { return true })
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	<-started
	h.node.mu.Lock()
	drainedAt := time.Now().Add(-h.node.cfg.Settings.EndpointRules.DrainGrace)
	h.node.pool.UpdateEndpoint(upstream.EndpointUpdate{ID: "s-0", Addr: endpoint.Addr, State: policy.Draining}, drainedAt)
	h.node.mu.Unlock()
	close(release)
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusTooManyRequests { // it never ran
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusTooManyRequests)
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// TestWholeAnswerWithoutLengthIsForwarded guards against failing a request that must not run twice
// although its answer came whole: an answer without a length ends with its connection. If the
// connection is reset instead, the answer may be cut off, and the request fails without a retry.
func TestWholeAnswerWithoutLengthIsForwarded(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
	for _, test := range []struct {
		name       string
		reset      bool
		wantStatus int
	}{{"end of the connection", false, http.StatusOK}, {"reset", true, http.StatusBadGateway}} {
		endpoint := testsupport.StartFakeServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
			io.WriteString(c, unframed)
			if test.reset {
				c.(*net.TCPConn).SetLinger(0) // the close resets the connection
			}
			return false
		})
		h := startNode(t, testConfig(t), endpoint.Addr)
		resp, body := h.dial().roundTrip(clientRequest("merge", "00000000000000aa"))
		if resp.StatusCode != test.wantStatus || (body == "hello") != (resp.StatusCode == http.StatusOK) {
			t.Errorf("%s: status %d, body %q, want status %d, with the body %q only if it is %d",
				test.name, resp.StatusCode, body, test.wantStatus, "hello", http.StatusOK)
		}
		if got := endpoint.Requests(); len(got) != 1 {
			t.Errorf("%s: the endpoint received %q, want one request", test.name, got)
		}
	}
}

// TestDedupWindowEndsDuringDial checks that a retry with an idempotency key is not written if
// the dedup window of the first attempt, which may have run, ends while the retry's connection
// is dialed.
func TestDedupWindowEndsDuringDial(t *testing.T) {
	fault := testsupport.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	a, b := testsupport.StartFakeServer(t, fault), testsupport.StartFakeServer(t, fault)
	h := startNode(t, testConfig(t), a.Addr, b.Addr)
	started, release := h.blockDials(func() bool { return len(append(a.Requests(), b.Requests()...)) > 0 })
	c := h.dial()
	io.WriteString(c, clientRequest("save", "00000000000000aa"))
	<-started
	<-started // the retry's dial
	h.node.mu.Lock()
	for _, r := range h.node.requests {
		r.attempts[0].startedAt = time.Now().Add(-r.dedupWindow)
	}
	h.node.mu.Unlock()
	close(release)
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusBadGateway { // the first attempt may have run
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusBadGateway)
	}
	if got := append(a.Requests(), b.Requests()...); len(got) != 1 {
		t.Errorf("the endpoints received %q, want one request", got)
	}
}

// TestEndpointUsedAgainAfterLostConnection checks that an endpoint does not count as unresponsive
// because it broke a connection and then received no request for a long time: it receives
// requests again while the other endpoint is busy.
func TestEndpointUsedAgainAfterLostConnection(t *testing.T) {
	var broken atomic.Bool
	release := make(chan struct{})
	defer close(release)
	a := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		return !broken.Load() && testsupport.RespondOK(c, req, body)
	})
	b := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), a.Addr)
	c := h.dial()
	for i := range 40 { // the policy learns the usual latency from these
		c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i+1)))
	}
	broken.Store(true)
	c.roundTrip(clientRequest("merge", "00000000000000aa"))
	broken.Store(false)
	h.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-1", HostPort: b.Addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	h.node.mu.Lock()
	h.node.clock.epoch += policy.Time(time.Minute)
	h.node.mu.Unlock()
	var busy [16]*client
	for i := range busy {
		busy[i] = h.dial()
		io.WriteString(busy[i], clientRequest("merge", fmt.Sprintf("%016x", 1000+i)))
	}
	testsupport.Eventually(t, "another request at the endpoint that broke a connection", func() bool { return len(a.Requests()) > 41 })
}

// TestThirdConcurrentRequestIsForwarded checks that an endpoint whose latency is not known yet
// receives a third request while two are in flight. The policy must not reject it on the
// assumption that the endpoint has a queue.
func TestThirdConcurrentRequestIsForwarded(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), endpoint.Addr)
	for i := range 3 {
		io.WriteString(h.dial(), clientRequest("merge", fmt.Sprintf("%016x", i+1)))
		testsupport.Eventually(t, fmt.Sprintf("request %d", i+1), func() bool { return len(endpoint.Requests()) == i+1 })
	}
}

// actualUnitsRecorder records the actual units of each attempt that ends.
type actualUnitsRecorder struct {
	policyGateway
	units chan float64
}

// Step implements policyGateway.
func (c actualUnitsRecorder) Step(now policy.Time, ev policy.Event, out []policy.Action) []policy.Action {
	if e, ok := ev.(policy.AttemptEnded); ok {
		c.units <- e.ActualUnits
	}
	return c.policyGateway.Step(now, ev, out)
}

// TestActualUnitsReachPolicy checks that the policy is notified of the actual units in a
// response, from which it settles quotas, but not of malformed or implausible ones.
func TestActualUnitsReachPolicy(t *testing.T) {
	for text, want := range map[string]float64{"3": 3, "2.5": 2.5, "-1": 0, "NaN": 0, "1e9": 0, "999999": 0, "": 0} {
		endpoint := testsupport.StartFakeServer(t, testsupport.RespondWith("HTTP/1.1 200 OK\r\nApi-Charge: "+text+"\r\nContent-Length: 2\r\n\r\nok"))
		cfg := testConfig(t)
		cfg.Settings.Accounting.MaxRequestUnits = 6
		h := startNode(t, cfg, endpoint.Addr)
		recorder := actualUnitsRecorder{policyGateway: h.node.gateway, units: make(chan float64, 8)}
		h.node.mu.Lock()
		h.node.gateway = recorder
		h.node.mu.Unlock()
		if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusOK {
			t.Fatalf("Api-Charge %q: status %d, want %d", text, resp.StatusCode, http.StatusOK)
		}
		if got := <-recorder.units; got != want {
			t.Errorf("Api-Charge %q: the policy was notified of %v units, want %v", text, got, want)
		}
	}
}

// Guards the deadline that an endpoint gets on a connection that came up late: it is what the client
// has left when the request is written, not when the dial began.
func TestDeadlineIsCountedAfterDial(t *testing.T) {
	deadlines := make(chan string, 2)
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		deadlines <- req.Header.Get("X-Expires-In-Ms")
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	started, release := h.blockDials(func() bool { return true })
	c := h.dial()
	sentAt := time.Now()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Receive(t, "the dial", started)
	dialedAt := time.Now()
	const wait = 200 * time.Millisecond
	testsupport.Eventually(t, "some of the request's time to pass", func() bool { return time.Since(dialedAt) >= wait })
	close(release)
	milliseconds, err := strconv.Atoi(testsupport.Receive(t, "the request", deadlines))
	earliest, latest := 3*time.Second-time.Since(sentAt)-attemptDeadlineMargin, 3*time.Second-wait
	if told := time.Duration(milliseconds) * time.Millisecond; err != nil || told > latest || told < earliest-time.Millisecond {
		t.Errorf("the endpoint is told %v, error %v; want %v to %v", told, err, earliest, latest)
	}
	c.readResponse()
}
