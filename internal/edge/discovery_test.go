package edge

import (
	"context"
	"fmt"
	"io"
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

// respondList writes a response with a list of endpoints and keeps the connection open.
func respondList(conn net.Conn, list string) bool {
	return testsupport.Respond(conn, "200 OK", list)
}

// respondUnavailable writes a response with status 503 and keeps the connection open.
func respondUnavailable(conn net.Conn) bool {
	return testsupport.Respond(conn, "503 Service Unavailable", "")
}

// oneServingInstance returns a list with one serving endpoint, s-0.
func oneServingInstance() []discovery.Instance {
	return []discovery.Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: discovery.Serving}}
}

// newUnstartedNode returns a node on which start has not been called.
func newUnstartedNode(t *testing.T, cfg Config) *Node {
	t.Helper()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestEndpointListFollowsDiscovery checks the calls to discovery and their effect: the first one
// asks for the full list, further ones for what changed since the last version. Updates are
// applied, endpoints missing from a full list are removed, and a broken connection loses no
// endpoint.
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
		testsupport.Eventually(t, "the serving endpoints "+want, func() bool { return h.node.servingAmong("a", "b", "c") == want })
	}
	lists <- `{"generation":41,"reset":true,"instances":[` + entry("a", "SERVING") + "," + entry("b", "SERVING") + `]}`
	expectServing("ab")
	lists <- `{"generation":42,"reset":false,"instances":[` + entry("b", "DRAINING") + "," + entry("c", "SERVING") + `]}`
	expectServing("ac")
	lists <- "" // the connection breaks, and the node repeats the call
	lists <- `{"generation":43,"reset":true,"instances":[` + entry("c", "SERVING") + `]}`
	expectServing("c")
	var got []string
	for range 4 {
		got = append(got, <-uris)
	}
	if got[0] != "/api/targets" || !strings.Contains(got[1], "index=41&wait=") ||
		!strings.Contains(got[2], "index=42&") || !strings.Contains(got[3], "index=42&") {
		t.Errorf("calls %q, want /api/targets and then index 41, 42 and 42 with a wait", got)
	}
}

// servingAmong returns the IDs of those given endpoints that are serving, joined.
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

// TestDiscoveryChangesAddress checks that the node asks for the full list at a new address of
// discovery without waiting for the watch at the previous address, and that this watch ends once the
// new address has answered.
func TestDiscoveryChangesAddress(t *testing.T) {
	watchEnded := make(chan string, 2)
	list := func(id string, uris chan<- string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, req *http.Request, _ []byte) bool {
			uris <- req.RequestURI
			if req.URL.RawQuery != "" {
				io.Copy(io.Discard, c) // hangs until the node ends the call
				watchEnded <- id
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
		t.Fatalf("calls %q, %q, want /api/targets and then index=7", first, watch)
	}
	changedAt := time.Now()
	h.node.ChangeAddresses(testsupport.StartFakeServer(t, list("new", after)).Addr, "")
	if first, watch := <-after, <-after; first != "/api/targets" || !strings.Contains(watch, "index=7") {
		t.Errorf("calls at the new address %q, %q, want /api/targets and then index=7", first, watch)
	}
	if time.Since(changedAt) >= discovery.WatchLongPollWait {
		t.Errorf("the new address was called after %v or more, as if the node had waited for the previous watch", discovery.WatchLongPollWait)
	}
	if id := testsupport.Receive(t, "the end of the previous watch", watchEnded); id != "old" {
		t.Errorf("the watch at %q has ended, want \"old\"", id)
	}
	if time.Since(changedAt) >= discovery.WatchLongPollWait {
		t.Errorf("the previous watch ended after %v or more, want its end once the new address has answered", discovery.WatchLongPollWait)
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if endpoints := maps.Collect(h.node.pool.Endpoints()); len(endpoints) != 1 || endpoints["new"] == nil {
		t.Errorf("endpoints %v, want \"new\" only", endpoints)
	}
}

// TestEndpointTakesOverAddress checks that a new endpoint at the address of one that is still
// listed replaces it and gets new connections. Otherwise requests for the old endpoint would
// reach the new process.
func TestEndpointTakesOverAddress(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.dial().roundTrip(clientRequest("merge", "00000000000000aa"))
	h.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-new", HostPort: endpoint.Addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	h.node.mu.Lock()
	if p := h.node.pool; p.Endpoint("s-0") != nil || p.Endpoint("s-new") == nil || p.ServingEndpoints() != 1 || p.OpenConns() != 0 {
		t.Errorf("%d serving endpoints, %d connections, endpoints %v, want s-new only, serving, and no connection",
			p.ServingEndpoints(), p.OpenConns(), maps.Collect(p.Endpoints()))
	}
	h.node.mu.Unlock()
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000bb")); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusOK)
	}
}

// TestWatchStartsWithoutDelay checks a new process that watches an agent of discovery on its
// machine. A change counts as notified as soon as the agent has it, so the node calls at once, and
// its pauses after failed calls stay well within the drain grace, the time for which a draining
// endpoint may still get requests.
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
		cfg.CachedList.Instances = []discovery.Instance{{ID: "s-0", Lifecycle: discovery.Serving}}
		n := newUnstartedNode(t, cfg)
		const failures = 8
		waits := 0
		n.discovery.Options.Pause = func(_ context.Context, wait time.Duration) {
			waits++
			if len(calls) < waits {
				t.Errorf("drain grace %v: a pause of %v before call %d was made", grace, wait, waits)
			}
			if grace > 0 && wait > grace/2 {
				t.Errorf("drain grace %v: a pause of %v, want at most %v", grace, wait, grace/2)
			}
			if waits == failures {
				n.stop()
			}
		}
		n.discovery.Run(n.ctx)
	}
}

// TestSilentWatchIsRenewed checks that a watch without a response is canceled and repeated on
// another connection, which delivers the changes missed, well before the node counts as notified
// of them.
func TestSilentWatchIsRenewed(t *testing.T) {
	timing := discovery.NewTiming(testConfig(t).Settings)
	renewal := timing.LongPollWait + timing.ResponseMargin + timing.MinBackoff
	if deadline := 6 * time.Second; renewal >= deadline {
		t.Errorf("a silent watch is renewed after %v, want less than %v, when missed changes count as notified", renewal, deadline)
	}
	ports := make(chan string, 64)
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	var calls atomic.Int32
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		ports <- c.RemoteAddr().String()
		switch calls.Add(1) {
		case 1: // the node's list is up to date
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
	cfg.CachedList.Generation = 7
	cfg.CachedList.Instances = oneServingInstance()
	n := newUnstartedNode(t, cfg)
	n.discovery.Options.Timing.LongPollWait = 10 * time.Millisecond
	n.discovery.Options.Timing.ResponseMargin = 10 * time.Millisecond
	n.start()
	defer n.close()
	if _, first, second := <-ports, <-ports, <-ports; first == second {
		t.Errorf("the silent watch and the next one are on the same connection, %s", first)
	}
	testsupport.Eventually(t, "the drain of s-0", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		endpoint := n.pool.Endpoint("s-0")
		return endpoint != nil && !endpoint.IsServing()
	})
}

// TestReadyAfterFirstList checks that a process that has no cached list and gets no list from
// discovery is not ready, and that it becomes ready with the first list.
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
			t.Errorf("%s: the first call is %s, want /api/targets", mode, uri)
		}
		ready := func() int {
			resp, body := h.dial().roundTrip("GET " + readyPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if body != "" {
				t.Errorf("%s: the readiness check has the body %q, want none", mode, body)
			}
			return resp.StatusCode
		}
		if status := ready(); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d without a list, want %d", mode, status, http.StatusServiceUnavailable)
		}
		up.Store(true)
		testsupport.Eventually(t, "readiness", func() bool { return ready() == http.StatusOK })
	}
}
