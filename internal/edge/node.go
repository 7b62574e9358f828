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

// Config is what an edge node is started with.
type Config struct {
	ListenAddress    string // address for clients
	DiscoveryAddress string // address of discovery; empty: the known list stays
	CounterAddress   string // address of the counter; empty: none
	Seed             uint64 // of this incarnation's random numbers
	MaxDescriptors   int    // descriptors that the process may hold; 0: not configured
	MemoryBytes      int64  // bytes that it may take; 0: not configured
	KnownEndpoints   discovery.List
	Settings         *config.Settings
}

// Node is one edge node. All fields below mu are guarded by it; nothing that
// blocks is done while it is held.
type Node struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time   // reading of the monotonic clock that epoch belongs to
	epoch     policy.Time // Unix time at startedAt
	ctx       context.Context
	stop      context.CancelFunc
	dial      func(ctx context.Context, network, addr string) (net.Conn, error) // to endpoints
	workers   sync.WaitGroup                                                    // goroutines besides those of the listener

	phases     shutdownPhases // of the graceful shutdown
	parser     *frontend.Parser
	memory     *frontend.MemoryBudget // for bodies, and for what is read ahead of answers
	clients    *frontend.Tracker      // has a lock of its own
	fatalError chan error             // takes the one error that ends the node

	mu          sync.Mutex
	gateway     policyGateway
	events      []policy.Event // not yet stepped, oldest first
	actions     []policy.Action
	dispatching bool // events are being stepped
	requests    map[string]*request
	pool        *upstream.Pool
	discovery   *discovery.Client
	counter     *counterclient.Client // nil: there is no counter
	draining    bool                  // a graceful shutdown has begun
	rejecting   bool                  // all is answered, as the process is about to be killed
	closed      bool                  // no event is stepped any more
}

// policyGateway is what a node needs of a [policy.Gateway].
type policyGateway interface {
	Step(now policy.Time, ev policy.Event, out []policy.Action) []policy.Action
}

// New returns an edge node that has not yet opened any socket. It fails on settings that the
// policy does not take.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	startedAt := time.Now()
	epoch := policy.Time(startedAt.UnixNano())
	gateway, err := policy.New(epoch, cfg.Settings.Policy(cfg.Seed))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	memory := frontend.NewMemoryBudget(bodyMemoryBudget(cfg.MemoryBytes))
	n := &Node{
		cfg:        cfg,
		log:        log,
		startedAt:  startedAt,
		epoch:      epoch,
		dial:       (&net.Dialer{}).DialContext,
		phases:     newShutdownPhases(longestDeadline(cfg.Settings)),
		parser:     frontend.NewParser(cfg.Settings),
		memory:     memory,
		clients:    frontend.NewTracker(maxClientConns(cfg.MaxDescriptors), memory),
		fatalError: make(chan error, 1),
		gateway:    gateway,
		requests:   map[string]*request{},
		pool:       upstream.NewPool(cfg.Settings, maxUpstreamConns(cfg.MaxDescriptors)),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.discovery = n.newDiscoveryClient(cfg.DiscoveryAddress)
	if cfg.CounterAddress != "" {
		n.counter = n.newCounterClient(cfg.CounterAddress)
	}
	return n, nil
}

// start begins to follow discovery and to execute the policy's actions.
func (n *Node) start() {
	n.applyList(n.cfg.KnownEndpoints, policy.CachedUpdate)
	if n.cfg.DiscoveryAddress != "" {
		n.workers.Go(func() { n.discovery.Run(n.ctx) })
	}
	n.workers.Go(n.evictIdleConns)
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
	n.workers.Wait()
}

// evictIdleConns closes connections to endpoints that were idle for too long, until the node
// stops.
func (n *Node) evictIdleConns() {
	ticker := time.NewTicker(n.pool.SweepInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.mu.Lock()
			n.pool.EvictExpired(time.Now())
			n.mu.Unlock()
		case <-n.ctx.Done():
			return
		}
	}
}

// now reads the policy's clock: the wall clock as it was at the start, moved on
// by the monotonic one.
func (n *Node) now() policy.Time { return n.epoch + time.Since(n.startedAt) }

// dispatch hands an event to the policy and executes the actions that it returns. Events
// that come up meanwhile wait their turn. The lock is held.
func (n *Node) dispatch(ev policy.Event) {
	n.events = append(n.events, ev)
	if n.dispatching || n.closed {
		return
	}
	n.dispatching = true
	defer n.recoverPanic()
	for i := 0; i < len(n.events); i++ { // executing an action may append an event
		n.actions = n.gateway.Step(n.now(), n.events[i], n.actions[:0])
		for _, action := range n.actions {
			n.execute(action)
		}
	}
	clear(n.events)
	clear(n.actions)
	n.events = n.events[:0]
	n.dispatching = false
}

// recoverPanic ends the node if the policy panics. The HTTP library would recover from that
// by itself and leave a node that receives requests and never steps again.
func (n *Node) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	n.log.Error("the policy panicked", "panic", cause, "stack", string(debug.Stack()))
	n.closed = true
	n.fatalError <- fmt.Errorf("the policy panicked: %v", cause)
}

// execute executes one action of the policy. The lock is held.
func (n *Node) execute(action policy.Action) {
	switch action := action.(type) {
	case policy.StartAttempt:
		n.startAttempt(action)
	case policy.CancelAttempt:
		n.cancelAttempt(action)
	case policy.Reject:
		n.completeRequest(action.RequestID, answer{status: statusRejected, retryAfter: action.RetryAfter})
	case policy.Fail:
		n.completeRequest(action.RequestID, answer{status: statusFailed})
	case policy.AddToCounter:
		n.addToCounter(action)
	case policy.StartTimer:
		n.startTimer(action.TimerID, action.After)
	case policy.CheckHealth:
		n.startHealthCheck(action.Endpoint)
	case policy.WatchEndpoints: // discovery is followed throughout
	default:
		n.log.Error("unknown action of the policy", "action", fmt.Sprintf("%T", action))
	}
}

// cancelAttempt stops waiting for an attempt, if there is one of that number. The lock is held.
func (n *Node) cancelAttempt(action policy.CancelAttempt) {
	r := n.requests[action.RequestID]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	n.endAttempt(r.attempts[action.Attempt], policy.Canceled)
}

// startTimer notifies the policy once a time has passed.
func (n *Node) startTimer(timerID uint64, after time.Duration) {
	n.afterFunc(after, func() { n.dispatch(policy.TimerFired{TimerID: timerID}) })
}

// afterFunc runs f under the lock once d has passed, unless the node has closed.
func (n *Node) afterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.closed {
			f()
		}
	})
}
