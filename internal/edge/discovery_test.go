package edge

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// respondList sends a list of discovery and keeps the connection open.
func respondList(conn net.Conn, list string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	return true
}

// respondUnavailable sends a status of 503 and keeps the connection open.
func respondUnavailable(conn net.Conn) bool {
	fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	return true
}

// oneServingInstance is the list of one endpoint that serves.
func oneServingInstance() []discovery.Instance {
	return []discovery.Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: discovery.Serving}}
}

// newPollingConfig returns the configuration of a node in a fleet that polls discovery.
func newPollingConfig(t *testing.T, address string, seed uint64, gateways int) Config {
	t.Helper()
	cfg := testConfig(t)
	cfg.DiscoveryAddress = address
	cfg.Seed = seed
	cfg.Settings.Gateways = gateways
	cfg.Settings.DiscoveryMode = "ask"
	cfg.Settings.EndpointRules.SubscriptionTimeout = 10 * time.Second
	cfg.KnownEndpoints.Instances = oneServingInstance()
	return cfg
}

// newUnstartedNode returns a node that is not started.
func newUnstartedNode(t *testing.T, cfg Config) *Node {
	t.Helper()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards the list of endpoints: the full list first, then watches from its version, changes
// applied, entries missing from a full list gone, and a connection that breaks does not lose
// what is known.
func TestEndpointListFollowsDiscovery(t *testing.T) {
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.%d:9","zone":"b","lifecycle":%q,"weight":1,"startedAtMs":0}`,
			id, id[0], state)
	}
	lists := make(chan string)
	uris := make(chan string, 16)
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.RequestURI
		list, ok := <-lists
		return ok && list != "" && respondList(c, list)
	})
	t.Cleanup(func() { close(lists) })
	cfg := testConfig(t)
	cfg.DiscoveryAddress = service.Addr
	h := startNode(t, cfg)
	expectServing := func(want string) {
		t.Helper()
		testsupport.Eventually(t, "the list "+want, func() bool { return h.node.servingAmong("a", "b", "c") == want })
	}
	lists <- `{"generation":41,"reset":true,"instances":[` + entry("a", "SERVING") + "," + entry("b", "SERVING") + `]}`
	expectServing("ab")
	lists <- `{"generation":42,"reset":false,"instances":[` + entry("b", "DRAINING") + "," + entry("c", "SERVING") + `]}`
	expectServing("ac")
	lists <- "" // the connection breaks, and the call is repeated
	lists <- `{"generation":43,"reset":true,"instances":[` + entry("c", "SERVING") + `]}`
	expectServing("c")
	var got []string
	for range 4 {
		got = append(got, <-uris)
	}
	if got[0] != "/api/targets" || !strings.Contains(got[1], "index=41&wait=") ||
		!strings.Contains(got[2], "index=42&") || !strings.Contains(got[3], "index=42&") {
		t.Errorf("calls %q", got)
	}
}

// servingAmong joins those of the given endpoints that serve.
func (n *Node) servingAmong(ids ...string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	serving := ""
	for _, id := range ids {
		if endpoint := n.pool.Endpoint(id); endpoint != nil && endpoint.IsServing() {
			serving += id
		}
	}
	return serving
}

// Guards a new address of discovery: a watch that would hang at the previous one is
// canceled, and the new one is called for the full list.
func TestDiscoveryChangesAddress(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	list := func(id string, uris chan<- string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, req *http.Request, _ []byte) bool {
			uris <- req.RequestURI
			if req.URL.RawQuery != "" {
				<-hang
				return false
			}
			return respondList(c, fmt.Sprintf(`{"generation":7,"reset":true,"instances":`+
				`[{"instanceId":%q,"hostPort":"127.0.0.1:9","lifecycle":"SERVING"}]}`, id))
		}
	}
	before, after := make(chan string, 16), make(chan string, 16)
	cfg := testConfig(t)
	cfg.DiscoveryAddress = testsupport.StartFakeServer(t, list("old", before)).Addr
	h := startNode(t, cfg)
	if first, watch := <-before, <-before; first != "/api/targets" || !strings.Contains(watch, "index=7") {
		t.Fatalf("calls %q, %q", first, watch)
	}
	changedAt := time.Now()
	h.node.ChangeAddresses(testsupport.StartFakeServer(t, list("new", after)).Addr, "")
	if first, watch := <-after, <-after; first != "/api/targets" || !strings.Contains(watch, "index=7") {
		t.Errorf("calls at the new address %q, %q", first, watch)
	}
	if time.Since(changedAt) >= discovery.WatchLongPollWait {
		t.Error("the previous watch was not canceled")
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if endpoints := maps.Collect(h.node.pool.Endpoints()); len(endpoints) != 1 || endpoints["new"] == nil {
		t.Errorf("endpoints %v", endpoints)
	}
}

// Guards against forwarding to a process under another one's id: a new endpoint at the
// address of one still listed takes its place, and gets connections of its own.
func TestEndpointTakesOverAddress(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.dial().roundTrip(clientRequest("merge", "00000000000000aa"))
	h.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-new", HostPort: endpoint.Addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	h.node.mu.Lock()
	if p := h.node.pool; p.Endpoint("s-0") != nil || p.Endpoint("s-new") == nil || p.ServingEndpoints() != 1 || p.OpenConns() != 0 {
		t.Errorf("%d serving, %d connections, %v", p.ServingEndpoints(), p.OpenConns(), maps.Collect(p.Endpoints()))
	}
	h.node.mu.Unlock()
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000bb")); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// pauseRecorder stands in for the pauses between the calls of a node that polls discovery:
// it records them without waiting, and stops the node after a number of failed calls.
type pauseRecorder struct {
	t            *testing.T
	node         *Node
	failures     int
	pauses       []time.Duration
	pauseEndedAt time.Time // when the last pause ended and the call after it began
}

func (p *pauseRecorder) pause(_ context.Context, wait time.Duration) {
	if len(p.pauses) > 0 {
		minInterval := time.Duration((1 - discovery.PollIntervalJitter) * float64(discovery.MaxPollInterval))
		if interval := wait + time.Since(p.pauseEndedAt); interval < minInterval {
			p.t.Errorf("a call %v after the one before: the fleet calls too often", interval)
		}
		if wait+discovery.PollResponseAllowance >= discovery.NotificationDeadline {
			p.t.Errorf("a wait of %v: what discovery had counts as notified after %v", wait, discovery.NotificationDeadline)
		}
	}
	p.pauses = append(p.pauses, wait)
	if len(p.pauses) > p.failures {
		p.node.stop()
	}
	p.pauseEndedAt = time.Now()
}

// Guards discovery against a fleet in step: nodes that start together spread their first
// calls, ask for what they missed instead of the full list, and after failed calls wait so
// long that all of them together call no more than the service serves, and no longer than
// leaves each of them time until what it misses counts as notified.
func TestPollsAreSpreadAcrossFleet(t *testing.T) {
	uris := make(chan string, 1024)
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.RequestURI
		return respondUnavailable(c)
	})
	const fleet, failures = 80, 4
	const window = discovery.MaxJitterWindow // 80 nodes would spread over longer than may be
	quarters := [4]int{}                     // of the window, in which nodes make their first call
	for seed := range uint64(fleet) {
		cfg := newPollingConfig(t, service.Addr, seed, fleet)
		cfg.KnownEndpoints.Generation = 41
		n := newUnstartedNode(t, cfg)
		recorder := &pauseRecorder{t: t, node: n, failures: failures, pauseEndedAt: time.Now()}
		n.discovery.Options.Pause = recorder.pause
		n.discovery.Run(n.ctx)
		waits := recorder.pauses
		if len(waits) != failures+1 || waits[0] < 0 || waits[0] >= window {
			t.Fatalf("waits %v, want %d and the first within %v", waits, failures+1, window)
		}
		quarters[waits[0]*4/window]++
	}
	for range fleet * failures {
		if uri := <-uris; !strings.HasPrefix(uri, "/api/targets?index=41&") {
			t.Fatalf("call %q, want a watch from what is known", uri)
		}
	}
	for i, calls := range quarters {
		if calls < fleet/4/3 || calls > fleet/4*2 {
			t.Errorf("%d of %d first calls in quarter %d of %v", calls, fleet, i, window)
		}
	}
}

// Guards a new process where discovery is watched: what the agent on its machine has counts
// as notified from the first moment, so the first call comes before any wait, and the waits
// after failed calls stay well within the drain grace, for which an endpoint that drains may
// get requests.
func TestWatchStartsWithoutDelay(t *testing.T) {
	for _, grace := range []time.Duration{0, 150 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		calls := make(chan string, 64)
		service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			calls <- req.RequestURI
			return respondUnavailable(c)
		})
		cfg := testConfig(t)
		cfg.DiscoveryAddress = service.Addr
		cfg.Settings.EndpointRules.DrainGrace = grace
		cfg.KnownEndpoints.Instances = []discovery.Instance{{ID: "s-0", Lifecycle: discovery.Serving}}
		n := newUnstartedNode(t, cfg)
		const failures = 8
		waits := 0
		n.discovery.Options.Pause = func(_ context.Context, wait time.Duration) {
			waits++
			if len(calls) < waits {
				t.Errorf("grace %v: a wait of %v before call %d", grace, wait, waits)
			}
			if grace > 0 && wait > grace/2 {
				t.Errorf("grace %v: a wait of %v", grace, wait)
			}
			if waits == failures {
				n.stop()
			}
		}
		n.discovery.Run(n.ctx)
	}
}

// Guards a watch that has fallen silent: it is given up and renewed on another connection,
// with what it missed, long before that counts as notified.
func TestSilentWatchIsRenewed(t *testing.T) {
	timing := discovery.NewTiming(testConfig(t).Settings)
	renewal := timing.LongPollWait + timing.ResponseMargin + timing.MinBackoff
	if deadline := 6 * time.Second; renewal >= deadline {
		t.Errorf("a silent watch is renewed after %v, what it misses counts as notified after %v", renewal, deadline)
	}
	ports := make(chan string, 64)
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	var calls atomic.Int32
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		ports <- c.RemoteAddr().String()
		switch calls.Add(1) {
		case 1: // what is known is up to date
			return respondList(c, `{"generation":7,"reset":false,"instances":[]}`)
		case 2:
			<-silent
			return false
		}
		return respondList(c, `{"generation":8,"reset":false,"instances":`+
			`[{"instanceId":"s-0","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`)
	})
	cfg := testConfig(t)
	cfg.DiscoveryAddress = service.Addr
	cfg.KnownEndpoints.Generation = 7
	cfg.KnownEndpoints.Instances = oneServingInstance()
	n := newUnstartedNode(t, cfg)
	n.discovery.Options.Timing.LongPollWait = 10 * time.Millisecond
	n.discovery.Options.Timing.ResponseMargin = 10 * time.Millisecond
	n.start()
	defer n.close()
	if _, first, second := <-ports, <-ports, <-ports; first == second {
		t.Error("the new watch is on the connection that fell silent")
	}
	testsupport.Eventually(t, "the drain", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		endpoint := n.pool.Endpoint("s-0")
		return endpoint != nil && !endpoint.IsServing()
	})
}

// Guards drains where discovery is one service that a large fleet polls: calls that fall
// silent together are found so one after another, and each node waits no longer than leaves
// the next call its time until what it misses counts as notified.
func TestUnresponsivePollsAreStaggered(t *testing.T) {
	const fleet = 12
	holds := map[int]bool{}
	for seed := range uint64(fleet) {
		for _, ms := range longPollWaits(t, seed) {
			holds[ms] = true
		}
	}
	if len(holds) < fleet {
		t.Errorf("%d calls are held for %d different times", 2*fleet, len(holds))
	}
}

// longPollWaits runs a node whose third call to discovery falls silent, and returns the
// long-poll waits of its second and third call in milliseconds.
func longPollWaits(t *testing.T, seed uint64) [2]int {
	t.Helper()
	const hold = 100 * time.Millisecond
	var calls atomic.Int32
	silent, holds := make(chan struct{}), make(chan int, 64)
	defer close(silent)
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		var ms int
		fmt.Sscan(req.URL.Query().Get("wait"), &ms)
		holds <- ms
		if calls.Add(1) == 3 {
			<-silent
			return false
		}
		respondList(c, `{"generation":8,"reset":false,"instances":[]}`)
		return calls.Load() < 3
	})
	n := newUnstartedNode(t, newPollingConfig(t, service.Addr, seed, 300))
	n.discovery.Options.Timing.LongPollWait = hold
	n.discovery.Options.Timing.ResponseMargin = hold
	pauses := 0
	n.discovery.Options.Pause = func(_ context.Context, wait time.Duration) {
		pauses++
		if pauses != 2 { // the first is that of the start
			return
		}
		if wait > discovery.NotificationDeadline-discovery.PollResponseAllowance || wait <= 0 {
			t.Errorf("seed %d: the next call waits %v, what is missed counts as notified after %v",
				seed, wait, discovery.NotificationDeadline)
		}
		n.stop()
	}
	n.discovery.Run(n.ctx)
	if ms := <-holds; ms > 1 {
		t.Errorf("seed %d: the first call is held for %d ms, which a hung one would cost", seed, ms)
	}
	var held [2]int
	for i := range held {
		held[i] = <-holds
		if float64(held[i]) < discovery.MinLongPollWaitFraction*float64(hold.Milliseconds())-1 || held[i] > int(hold.Milliseconds()) {
			t.Errorf("seed %d: a call held for %d ms", seed, held[i])
		}
	}
	return held
}

// Guards a process that starts with no endpoint known and with discovery down: it is not
// ready before it has a list, and is ready once it has.
func TestReadyAfterFirstList(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		var up atomic.Bool
		calls := make(chan string, 1024)
		service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			if up.Load() {
				return respondList(c, `{"generation":8,"reset":true,"instances":`+
					`[{"instanceId":"s-0","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}]}`)
			}
			calls <- req.RequestURI
			return respondUnavailable(c)
		})
		cfg := testConfig(t)
		cfg.DiscoveryAddress = service.Addr
		cfg.Settings.DiscoveryMode = mode
		h := startNode(t, cfg)
		if uri := testsupport.Receive(t, "a call", calls); uri != "/api/targets" {
			t.Errorf("%s: the first call is %s", mode, uri)
		}
		ready := func() int {
			resp, body := h.dial().roundTrip("GET " + readyPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if body != "" {
				t.Errorf("%s: says %q", mode, body)
			}
			return resp.StatusCode
		}
		if status := ready(); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d without a list", mode, status)
		}
		up.Store(true)
		testsupport.Eventually(t, "readiness", func() bool { return ready() == http.StatusOK })
	}
}
