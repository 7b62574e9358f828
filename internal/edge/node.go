// Package node is the edge node round the decision module: it turns what
// happens on the sockets into the module's events and carries out its actions.
//
// Each file has one job: node.go drives the module, clients.go is the listener,
// servers.go makes the attempts, counter.go calls the counter and discovery.go
// follows the list of app servers.
package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/counterclient"
	"swiftpitch/internal/discovery"
	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// Config is what an edge node is told when it starts.
type Config struct {
	Listen    string // address for clients
	Discovery string // address of discovery
	Counter   string // address of the counter; empty: none
	Seed      uint64
	Sockets   int   // descriptors that the process may hold
	Memory    int64 // bytes that it may take
	Known     discovery.List
	Settings  *config.Settings
}

// Node is one edge node. All fields below mu are guarded by it; nothing that
// blocks is done while it is held.
type Node struct {
	cfg    Config
	log    *slog.Logger
	began  time.Time   // reading of the monotonic clock that epoch belongs to
	epoch  policy.Time // Unix time at began
	ctx    context.Context
	stop   context.CancelFunc
	dial   func(ctx context.Context, network, addr string) (net.Conn, error) // to app servers
	worker sync.WaitGroup                                                    // goroutines besides those of the listener

	phases  shutdownPhases // of the graceful shutdown
	parser  *frontend.Parser
	memory  *frontend.MemoryBudget // for bodies, and for what is read ahead of answers
	clients *frontend.Tracker      // has a lock of its own

	mu       sync.Mutex
	gateway  module
	events   []policy.Event // to be stepped, oldest first
	stepping bool
	actions  []policy.Action
	requests map[string]*request
	pool     *upstream.Pool
	draining bool
	over     bool // all is answered: the process is about to be killed
	closed   bool

	discovery *discovery.Client
	counter   *counterclient.Client
	failed    chan error // takes the one error that ends the node
}

// module is what the driver needs of a [policy.Gateway].
type module interface {
	Step(now policy.Time, ev policy.Event, out []policy.Action) []policy.Action
}

// New returns an edge node that has not yet opened any socket.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	began := time.Now()
	n := &Node{cfg: cfg, log: log, began: began, epoch: policy.Time(began.UnixNano()),
		requests: map[string]*request{}, dial: (&net.Dialer{}).DialContext,
		failed: make(chan error, 1)}
	gw, err := policy.New(n.epoch, cfg.Settings.Policy(cfg.Seed))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n.gateway = gw
	n.discovery = n.newDiscoveryClient(cfg.Discovery)
	n.phases = newShutdownPhases(n.longestDeadline())
	n.parser = frontend.NewParser(cfg.Settings)
	n.memory = frontend.NewMemoryBudget(bodyMemory(cfg.Memory))
	n.clients = frontend.NewTracker(maxClientConns(cfg.Sockets), n.memory)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.pool = upstream.NewPool(cfg.Settings, maxUpstreamConns(cfg.Sockets))
	if cfg.Counter != "" {
		n.counter = n.newCounterClient(cfg.Counter)
	}
	return n, nil
}

// start begins to follow discovery and to serve the module's calls.
func (n *Node) start() {
	n.applyList(n.cfg.Known, policy.CachedUpdate)
	if n.cfg.Discovery != "" {
		n.worker.Go(func() { n.discovery.Run(n.ctx) })
	}
	n.worker.Go(n.sweep)
}

// close ends all that start began. No event is stepped afterwards.
func (n *Node) close() {
	n.stop()
	n.mu.Lock()
	n.closed = true
	n.pool.Close()
	for _, r := range n.requests {
		for _, a := range r.attempts {
			a.abandon()
		}
	}
	if n.counter != nil {
		n.counter.Close()
	}
	n.mu.Unlock()
	n.worker.Wait()
}

// sweep drops idle connections until the node stops.
func (n *Node) sweep() {
	tick := time.NewTicker(n.pool.SweepInterval())
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			n.mu.Lock()
			n.pool.EvictExpired(time.Now())
			n.mu.Unlock()
		case <-n.ctx.Done():
			return
		}
	}
}

// now reads the module's clock: the wall clock as it was at the start, moved on
// by the monotonic one.
func (n *Node) now() policy.Time { return n.epoch + time.Since(n.began) }

// post hands an event to the module and carries out what it decides. Events
// that come up meanwhile wait their turn. The lock is held.
func (n *Node) post(ev policy.Event) {
	n.events = append(n.events, ev)
	if n.stepping || n.closed {
		return
	}
	n.stepping = true
	defer n.catch()
	for i := 0; i < len(n.events); i++ {
		n.actions = n.gateway.Step(n.now(), n.events[i], n.actions[:0])
		for _, a := range n.actions {
			n.carryOut(a)
		}
	}
	clear(n.events)
	clear(n.actions)
	n.events, n.stepping = n.events[:0], false
}

// catch ends the node if the module panics. The HTTP library would catch that by
// itself and leave a node that takes requests and never steps again.
func (n *Node) catch() {
	if p := recover(); p != nil {
		n.log.Error("the module panicked", "panic", p, "stack", string(debug.Stack()))
		n.closed = true
		n.failed <- fmt.Errorf("the module panicked: %v", p)
	}
}

// carryOut does one action of the module.
func (n *Node) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.StartAttempt:
		n.startAttempt(a)
	case policy.CancelAttempt:
		n.cancelAttempt(a)
	case policy.Reject:
		n.finish(a.RequestID, answer{status: statusRejected, retryAfter: a.RetryAfter})
	case policy.Fail:
		n.finish(a.RequestID, answer{status: statusFailed})
	case policy.AddToCounter:
		n.addToCounter(a)
	case policy.StartTimer:
		n.startTimer(a)
	case policy.CheckHealth:
		n.startHealthCheck(a.Endpoint)
	case policy.WatchEndpoints: // discovery is followed throughout
	default:
		n.log.Error("action not known to the driver", "action", fmt.Sprintf("%T", a))
	}
}

// cancelAttempt stops waiting for an attempt, if there is one of that number.
func (n *Node) cancelAttempt(a policy.CancelAttempt) {
	r := n.requests[a.RequestID]
	if r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
		return
	}
	n.endAttempt(r.attempts[a.Attempt], policy.Canceled)
}

// startTimer tells the policy once a time has passed.
func (n *Node) startTimer(a policy.StartTimer) {
	timerID := a.TimerID
	n.after(a.After, func() { n.post(policy.TimerFired{TimerID: timerID}) })
}

// after runs f under the lock once d has passed, unless the node has stopped.
func (n *Node) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.closed {
			f()
		}
	})
}
