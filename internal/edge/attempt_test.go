package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
	"swiftpitch/internal/upstream"
)

// blockDials notifies of each dial to an endpoint that starts. Those that are to be held
// succeed only once release is closed, whatever the dial timeout.
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

// TestDrainGraceEndsDuringDial checks the drain grace where a connection comes up late:
// the endpoint began to drain, and the grace is over, just before the first byte would
// be written.
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
		t.Errorf("status %d", resp.StatusCode)
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// TestDedupWindowEndsDuringDial checks requests with an idempotency key where a
// connection comes up late: the dedup window of the first attempt, which may have run,
// is over just before the retry would be written.
func TestDedupWindowEndsDuringDial(t *testing.T) {
	fault := testsupport.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	a, b := testsupport.StartFakeServer(t, fault), testsupport.StartFakeServer(t, fault)
	h := startNode(t, testConfig(t), a.Addr, b.Addr)
	started, release := h.blockDials(func() bool { return len(append(a.Requests(), b.Requests()...)) > 0 })
	c := h.dial()
	io.WriteString(c, clientRequest("save", "00000000000000aa"))
	<-started
	<-started // of the retry
	h.node.mu.Lock()
	for _, q := range h.node.requests {
		q.attempts[0].startedAt = time.Now().Add(-q.dedupWindow)
	}
	h.node.mu.Unlock()
	close(release)
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusBadGateway { // the first may have run
		t.Errorf("status %d", resp.StatusCode)
	}
	if got := append(a.Requests(), b.Requests()...); len(got) != 1 {
		t.Errorf("endpoints got %q", got)
	}
}

// TestEndpointUsedAgainAfterLostConnection guards endpoints against being taken for
// unresponsive: one that broke a connection and then had nothing to do for long gets
// requests again while the other is busy.
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
	for i := range 40 { // the usual latency is learnt from these
		c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i+1)))
	}
	broken.Store(true)
	c.roundTrip(clientRequest("merge", "00000000000000aa"))
	broken.Store(false)
	h.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-1", HostPort: b.Addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	h.node.mu.Lock()
	h.node.epoch += policy.Time(time.Minute)
	h.node.mu.Unlock()
	var busy [16]*client
	for i := range busy {
		busy[i] = h.dial()
		io.WriteString(busy[i], clientRequest("merge", fmt.Sprintf("%016x", 1000+i)))
	}
	testsupport.Eventually(t, "a request for the endpoint that broke a connection", func() bool { return len(a.Requests()) > 41 })
}

// TestThirdConcurrentRequestIsForwarded guards requests against being rejected for a queue that does
// not exist: nothing is known yet of an endpoint's speed, and it gets a third request
// beside two.
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

// actualUnitsRecorder records the actual units of the attempts that end.
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

// TestActualUnitsReachPolicy checks the settling of quotas: the actual units of a
// response reach the policy, ones that can't be read or are not plausible do not.
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
			t.Fatalf("status %d", resp.StatusCode)
		}
		if got := <-recorder.units; got != want {
			t.Errorf("Api-Charge %q: the policy was notified of %v, want %v", text, got, want)
		}
	}
}
