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
	"swiftpitch/internal/upstream"
)

// holdDials notifies of each dial to an endpoint that starts. Those that are to be held
// succeed only once release is closed, whatever the dial timeout.
func (r *rig) holdDials(held func() bool) (started <-chan struct{}, release chan<- struct{}) {
	dialing, released := make(chan struct{}, 8), make(chan struct{})
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.node.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		dialing <- struct{}{}
		if held() {
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
	app := startApp(t, say(hello))
	r := startNode(t, testConfig(t), app.addr)
	started, release := r.holdDials(func() bool { return true })
	c := r.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	<-started
	r.node.mu.Lock()
	drainedAt := time.Now().Add(-r.node.cfg.Settings.Rules.DrainGrace)
	r.node.pool.UpdateEndpoint(upstream.EndpointUpdate{ID: "s-0", Addr: app.addr, State: policy.Draining}, drainedAt)
	r.node.mu.Unlock()
	close(release)
	if resp, _ := c.answer(); resp.StatusCode != http.StatusTooManyRequests { // it never ran
		t.Errorf("status %d", resp.StatusCode)
	}
	if got := app.requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// TestDedupWindowEndsDuringDial checks requests with an idempotency key where a
// connection comes up late: the dedup window of the first attempt, which may have run,
// is over just before the retry would be written.
func TestDedupWindowEndsDuringDial(t *testing.T) {
	fault := say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	a, b := startApp(t, fault), startApp(t, fault)
	r := startNode(t, testConfig(t), a.addr, b.addr)
	started, release := r.holdDials(func() bool { return len(append(a.requests(), b.requests()...)) > 0 })
	c := r.dial()
	io.WriteString(c, clientRequest("save", "00000000000000aa"))
	<-started
	<-started // of the retry
	r.node.mu.Lock()
	for _, q := range r.node.requests {
		q.attempts[0].startedAt = time.Now().Add(-q.dedupWindow)
	}
	r.node.mu.Unlock()
	close(release)
	if resp, _ := c.answer(); resp.StatusCode != http.StatusBadGateway { // the first may have run
		t.Errorf("status %d", resp.StatusCode)
	}
	if got := append(a.requests(), b.requests()...); len(got) != 1 {
		t.Errorf("endpoints got %q", got)
	}
}

// TestLostConnectionIsNotUnresponsive guards endpoints against being taken for
// unresponsive: one that broke a connection and then had nothing to do for long gets
// requests again while the other is busy.
func TestLostConnectionIsNotUnresponsive(t *testing.T) {
	var broken atomic.Bool
	release := make(chan struct{})
	defer close(release)
	a := startApp(t, func(c net.Conn, req *http.Request, body []byte) bool {
		return !broken.Load() && say(hello)(c, req, body)
	})
	b := startApp(t, func(c net.Conn, req *http.Request, body []byte) bool {
		<-release
		return say(hello)(c, req, body)
	})
	r := startNode(t, testConfig(t), a.addr)
	c := r.dial()
	for i := range 40 { // the usual latency is learnt from these
		c.ask(clientRequest("merge", fmt.Sprintf("%016x", i+1)))
	}
	broken.Store(true)
	c.ask(clientRequest("merge", "00000000000000aa"))
	broken.Store(false)
	r.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-1", HostPort: b.addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	r.node.mu.Lock()
	r.node.epoch += policy.Time(time.Minute)
	r.node.mu.Unlock()
	var busy [16]*client
	for i := range busy {
		busy[i] = r.dial()
		io.WriteString(busy[i], clientRequest("merge", fmt.Sprintf("%016x", 1000+i)))
	}
	eventually(t, "a request for the endpoint that broke a connection", func() bool { return len(a.requests()) > 41 })
}

// TestThirdRequestBesideTwo guards requests against being rejected for a queue that does
// not exist: nothing is known yet of an endpoint's speed, and it gets a third request
// beside two.
func TestThirdRequestBesideTwo(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	app := startApp(t, func(c net.Conn, req *http.Request, body []byte) bool {
		<-release
		return say(hello)(c, req, body)
	})
	r := startNode(t, testConfig(t), app.addr)
	for i := range 3 {
		io.WriteString(r.dial(), clientRequest("merge", fmt.Sprintf("%016x", i+1)))
		eventually(t, fmt.Sprintf("request %d", i+1), func() bool { return len(app.requests()) == i+1 })
	}
}

// actualUnitsRecorder records the actual units of the attempts that end.
type actualUnitsRecorder struct {
	policyGateway
	units chan float64
}

// Step implements module.
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
		app := startApp(t, say("HTTP/1.1 200 OK\r\nApi-Charge: "+text+"\r\nContent-Length: 2\r\n\r\nok"))
		cfg := testConfig(t)
		cfg.Settings.Service.MaxRequestUnits = 6
		r := startNode(t, cfg, app.addr)
		recorder := actualUnitsRecorder{policyGateway: r.node.gateway, units: make(chan float64, 8)}
		r.node.mu.Lock()
		r.node.gateway = recorder
		r.node.mu.Unlock()
		if resp, _ := r.dial().ask(clientRequest("merge", "00000000000000aa")); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if got := <-recorder.units; got != want {
			t.Errorf("Api-Charge %q: the policy was notified of %v, want %v", text, got, want)
		}
	}
}
