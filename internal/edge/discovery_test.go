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
)

// Guards the list of app servers: the whole list first, then watches from its
// version, changes applied, entries missing from a whole list gone, and a
// connection that breaks does not lose what is known.
func TestDiscovery(t *testing.T) {
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.%d:9","zone":"b","lifecycle":%q,"weight":1,"startedAtMs":0}`,
			id, id[0], state)
	}
	step := make(chan string)
	uris := make(chan string, 16)
	disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.RequestURI
		text, ok := <-step
		if !ok || text == "" {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	})
	t.Cleanup(func() { close(step) })
	cfg := testConfig(t)
	cfg.Discovery = disco.addr
	r := startNode(t, cfg)
	serving := func(want string) {
		t.Helper()
		eventually(t, "the list "+want, func() bool {
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			got := ""
			for _, id := range []string{"a", "b", "c"} {
				if endpoint := r.node.pool.Endpoint(id); endpoint != nil && endpoint.IsServing() {
					got += id
				}
			}
			return got == want
		})
	}
	step <- `{"generation":41,"reset":true,"instances":[` + entry("a", "SERVING") + "," + entry("b", "SERVING") + `]}`
	serving("ab")
	step <- `{"generation":42,"reset":false,"instances":[` + entry("b", "DRAINING") + "," + entry("c", "SERVING") + `]}`
	serving("ac")
	step <- "" // breaks: asked again
	step <- `{"generation":43,"reset":true,"instances":[` + entry("c", "SERVING") + `]}`
	serving("c")
	var got []string
	for range 4 {
		got = append(got, <-uris)
	}
	if got[0] != "/api/targets" || !strings.Contains(got[1], "index=41&wait=") ||
		!strings.Contains(got[2], "index=42&") || !strings.Contains(got[3], "index=42&") {
		t.Errorf("calls %q", got)
	}
}

// Guards a new address of discovery: a watch that would hang at the old one is
// called off, and the whole list is asked of the new one.
func TestDiscoveryMoves(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	list := func(id string, uris chan<- string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, req *http.Request, _ []byte) bool {
			uris <- req.RequestURI
			if req.URL.RawQuery != "" {
				<-hang
				return false
			}
			text := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[{"instanceId":%q,"hostPort":"127.0.0.1:9",`+
				`"lifecycle":"SERVING"}]}`, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return true
		}
	}
	before, after := make(chan string, 16), make(chan string, 16)
	cfg := testConfig(t)
	cfg.Discovery = startApp(t, list("old", before)).addr
	r := startNode(t, cfg)
	if first, watch := <-before, <-before; first != "/api/targets" || !strings.Contains(watch, "index=7") {
		t.Fatalf("calls %q, %q", first, watch)
	}
	moved := time.Now()
	r.node.Move(startApp(t, list("new", after)).addr, "")
	if first, watch := <-after, <-after; first != "/api/targets" || !strings.Contains(watch, "index=7") {
		t.Errorf("calls at the new address %q, %q", first, watch)
	}
	if time.Since(moved) >= discovery.WatchLongPollWait {
		t.Error("the old watch was not called off")
	}
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	if endpoints := maps.Collect(r.node.pool.Endpoints()); len(endpoints) != 1 || endpoints["new"] == nil {
		t.Errorf("app servers %v", endpoints)
	}
}

// Guards against sending to a process under another one's id: a new app server at
// the address of one still listed takes its place, and gets connections of its own.
func TestAddressTakenOver(t *testing.T) {
	app := startApp(t, say(hello))
	r := startNode(t, testConfig(t), app.addr)
	r.dial().ask(clientRequest("merge", "00000000000000aa"))
	r.node.applyList(discovery.List{Instances: []discovery.Instance{{ID: "s-new", HostPort: app.addr, Zone: "a", Lifecycle: "SERVING"}}},
		policy.IncrementalUpdate)
	r.node.mu.Lock()
	if p := r.node.pool; p.Endpoint("s-0") != nil || p.Endpoint("s-new") == nil || p.ServingEndpoints() != 1 || p.OpenConns() != 0 {
		t.Errorf("%d serving, %d connections, %v", p.ServingEndpoints(), p.OpenConns(), maps.Collect(p.Endpoints()))
	}
	r.node.mu.Unlock()
	if resp, _ := r.dial().ask(clientRequest("merge", "00000000000000bb")); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards discovery against a fleet in step: nodes that start together spread their
// first calls, ask for what they missed instead of the whole list, and after failed
// calls wait so long that all of them together call no more than the service serves,
// and no longer than leaves each of them in time for what counts as told.
func TestFleetSpreadsItsCallsToDiscovery(t *testing.T) {
	uris := make(chan string, 1024)
	disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.RequestURI
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	const fleet, failures = 80, 4
	const window = discovery.MaxJitterWindow // 80 nodes would spread over longer than may be
	quarters := [4]int{}                     // of the window, in which nodes make their first call
	for seed := range uint64(fleet) {
		cfg := testConfig(t)
		cfg.Discovery, cfg.Seed, cfg.Settings.Gateways = disco.addr, seed, fleet
		cfg.Settings.DiscoveryMode, cfg.Settings.Rules.SubscriptionTimeout = "ask", 10*time.Second
		cfg.Known = discovery.List{Generation: 41, Instances: []discovery.Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: "SERVING"}}}
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		var waits []time.Duration
		paused := time.Now()
		n.discovery.Options.Pause = func(_ context.Context, d time.Duration) {
			began := paused // of the call before, which followed the last pause at once
			if period := d + time.Since(began); len(waits) > 0 && period < time.Duration((1-discovery.PollIntervalJitter)*float64(discovery.MaxPollInterval)) {
				t.Errorf("a call %v after the one before: %d nodes call too often", period, fleet)
			}
			if len(waits) > 0 && d+discovery.PollResponseAllowance >= discovery.NotificationDeadline {
				t.Errorf("a wait of %v: what discovery had counts as told after %v", d, discovery.NotificationDeadline)
			}
			if waits = append(waits, d); len(waits) > failures {
				n.stop()
			}
			paused = time.Now()
		}
		n.discovery.Run(n.ctx)
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
	for i, k := range quarters {
		if k < fleet/4/3 || k > fleet/4*2 {
			t.Errorf("%d of %d first calls in quarter %d of %v", k, fleet, i, window)
		}
	}
}

// Guards a new process where news are pushed: what the agent on its machine has counts as
// told from the first moment, so the first call comes before any wait, and the waits after
// failed calls stay well within the time for which a server that drains may be sent to.
func TestPushedNewsAreAskedForAtOnce(t *testing.T) {
	for _, grace := range []time.Duration{0, 150 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		calls := make(chan string, 64)
		disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			calls <- req.RequestURI
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		cfg := testConfig(t)
		cfg.Discovery, cfg.Settings.Rules.DrainGrace = disco.addr, grace
		cfg.Known.Instances = []discovery.Instance{{ID: "s-0", Lifecycle: "SERVING"}}
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		const failures = 8
		waits := 0
		n.discovery.Options.Pause = func(_ context.Context, d time.Duration) {
			if waits++; len(calls) < waits {
				t.Errorf("grace %v: a wait of %v before call %d", grace, d, waits)
			}
			if grace > 0 && d > grace/2 {
				t.Errorf("grace %v: a wait of %v", grace, d)
			}
			if waits == failures {
				n.stop()
			}
		}
		n.discovery.Run(n.ctx)
	}
}

// Guards a watch that has fallen silent: it is given up and opened anew on another
// connection, with what it missed, long before that counts as told.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	timing := discovery.NewTiming(testConfig(t).Settings)
	renewal := timing.LongPollWait + timing.SilenceMargin + timing.MinBackoff
	if deadline := 6 * time.Second; renewal >= deadline {
		t.Errorf("a silent watch is renewed after %v, what it misses counts as notified after %v", renewal, deadline)
	}
	ports := make(chan string, 64)
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	var met atomic.Int32
	disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		ports <- c.RemoteAddr().String()
		switch met.Add(1) {
		case 1: // what is known is up to date
			text := `{"generation":7,"reset":false,"instances":[]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return true
		case 2:
			<-silent
			return false
		}
		text := `{"generation":8,"reset":false,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	})
	cfg := testConfig(t)
	cfg.Discovery = disco.addr
	cfg.Known.Generation = 7
	cfg.Known.Instances = []discovery.Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: "SERVING"}}
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.discovery.Options.Timing.LongPollWait = 10 * time.Millisecond
	n.discovery.Options.Timing.SilenceMargin = 10 * time.Millisecond
	n.start()
	defer n.close()
	if _, first, second := <-ports, <-ports, <-ports; first == second {
		t.Error("the new watch is on the connection that fell silent")
	}
	eventually(t, "the news", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		endpoint := n.pool.Endpoint("s-0")
		return endpoint != nil && !endpoint.IsServing()
	})
}

// Guards drains where discovery is one service that a large fleet asks: watches that fall
// silent together are found so one after another, and each node waits no longer than leaves
// the next call its time until what it misses counts as told.
func TestAskedWatchesThatFallSilentTogether(t *testing.T) {
	const hold, fleet = 100 * time.Millisecond, 12
	holds := map[int]bool{}
	for seed := range uint64(fleet) {
		var met atomic.Int32
		silent, waits := make(chan struct{}), make(chan int, 64)
		disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			var ms int
			fmt.Sscan(req.URL.Query().Get("wait"), &ms)
			waits <- ms
			if met.Add(1) == 3 {
				<-silent
				return false
			}
			text := `{"generation":8,"reset":false,"instances":[]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return met.Load() < 3
		})
		cfg := testConfig(t)
		cfg.Discovery, cfg.Seed, cfg.Settings.Gateways = disco.addr, seed, 300
		cfg.Settings.DiscoveryMode, cfg.Settings.Rules.SubscriptionTimeout = "ask", 10*time.Second
		cfg.Known.Instances = []discovery.Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: "SERVING"}}
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		n.discovery.Options.Timing.LongPollWait = hold
		n.discovery.Options.Timing.SilenceMargin = hold
		pauses := 0
		n.discovery.Options.Pause = func(_ context.Context, d time.Duration) {
			if pauses++; pauses == 2 { // the first is that of the start
				if d > discovery.NotificationDeadline-discovery.PollResponseAllowance || d <= 0 {
					t.Errorf("seed %d: the new watch waits %v, what is missed counts as told after %v", seed, d, discovery.NotificationDeadline)
				}
				n.stop()
			}
		}
		n.discovery.Run(n.ctx)
		close(silent)
		if ms := <-waits; ms > 1 {
			t.Errorf("seed %d: the first call is held for %d ms, which a hung one would cost", seed, ms)
		}
		for range 2 {
			ms := <-waits
			if float64(ms) < discovery.MinLongPollWaitFraction*float64(hold.Milliseconds())-1 || ms > int(hold.Milliseconds()) {
				t.Errorf("seed %d: a watch of %d ms", seed, ms)
			}
			holds[ms] = true
		}
	}
	if len(holds) < fleet {
		t.Errorf("%d watches are held for %d different times", 2*fleet, len(holds))
	}
}

// Guards a process that starts with no app server known and with discovery down: it is not
// ready before it has a list, and is ready once it has.
func TestReadyWithTheFirstList(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		var up atomic.Bool
		asked := make(chan string, 1024)
		disco := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			if !up.Load() {
				asked <- req.RequestURI
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			text := `{"generation":8,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return true
		})
		cfg := testConfig(t)
		cfg.Discovery, cfg.Settings.DiscoveryMode = disco.addr, mode
		r := startNode(t, cfg)
		if uri := receive(t, "a call", asked); uri != "/api/targets" {
			t.Errorf("%s: the first call is %s", mode, uri)
		}
		ready := func() int {
			resp, body := r.dial().ask("GET " + readyPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if body != "" {
				t.Errorf("%s: says %q", mode, body)
			}
			return resp.StatusCode
		}
		if status := ready(); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d without a list", mode, status)
		}
		up.Store(true)
		eventually(t, "readiness", func() bool { return ready() == http.StatusOK })
	}
}
