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

// Config configures an edge node.
type Config struct {
	ListenAddress    string         // host and port on which clients connect
	DiscoveryAddress string         // empty: CachedList stays in use
	CounterAddress   string         // empty: there is no counter
	Seed             uint64         // seeds the random numbers of this process
	MaxDescriptors   int            // file descriptors that the process may have open; 0: not configured
	MemoryBytes      int64          // memory that the process may use; 0: not configured
	Cores            float64        // processor cores that the process may use; 0: not configured
	CachedList       discovery.List // endpoint list that the last run received; used until discovery sends a newer one
	Settings         *config.Settings
}

// Node is an edge node. mu guards all fields below it; no code that holds mu blocks.
type Node struct {
	cfg     Config
	log     *slog.Logger
	clock   nodeClock
	ctx     context.Context
	stop    context.CancelFunc
	dial    func(ctx context.Context, network, addr string) (net.Conn, error) // to endpoints
	workers sync.WaitGroup                                                    // goroutines of the node, without those that serve clients

	phases        shutdownPhases // of the graceful shutdown
	parser        *frontend.Parser
	memoryBudget  *frontend.MemoryBudget // for request bodies and read-ahead buffers
	clientConns   *frontend.Tracker      // has a lock of its own
	fatalError    chan error             // receives the error that ends the node
	requestEvents eventLog               // has a lock of its own

	mu          sync.Mutex
	gateway     policyGateway
	events      []policy.Event      // to be dispatched, oldest first
	actions     []policy.Action     // returned for the current event; reused
	dispatching bool                // dispatch is running
	requests    map[string]*request // the open ones by ID
	ranRequests ranRequests         // of closed ones
	pool        *upstream.Pool
	discovery   *discovery.Client
	counter     *counterclient.Client // nil: not configured
	draining    bool                  // a graceful shutdown has begun
	rejecting   bool                  // new requests are rejected, as the process is about to be killed
	closed      bool                  // no event is dispatched any more
}

// policyGateway is the part of [policy.Gateway] that a Node calls.
type policyGateway interface {
	Step(now policy.Time, ev policy.Event, out []policy.Action) []policy.Action
}

// New returns an edge node that has not opened any socket. It returns an error if the policy
// does not accept the settings.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	clock := newNodeClock()
	policySettings := cfg.Settings.Policy(cfg.Seed)
	policySettings.MaxTenants = maxTenants(cfg.MemoryBytes)
	gateway, err := policy.New(clock.epoch, policySettings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	memory := frontend.NewMemoryBudget(bodyMemoryBudget(cfg.MemoryBytes))
	n := &Node{
		cfg:          cfg,
		log:          log,
		clock:        clock,
		dial:         (&net.Dialer{}).DialContext,
		phases:       newShutdownPhases(longestDeadline(cfg.Settings)),
		parser:       frontend.NewParser(cfg.Settings),
		memoryBudget: memory,
		clientConns:  frontend.NewTracker(maxClientConns(cfg.MaxDescriptors, cfg.MemoryBytes), memory),
		fatalError:   make(chan error, 1),
		gateway:      gateway,
		requests:     map[string]*request{},
		ranRequests:  newRanRequests(),
		pool:         upstream.NewPool(cfg.Settings, maxUpstreamConns(cfg.MaxDescriptors)),
	}
	if cfg.Cores > 0 {
		n.clientConns.SetCores(cfg.Cores)
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.discovery = n.newDiscoveryClient(cfg.DiscoveryAddress)
	if cfg.CounterAddress != "" {
		n.counter = n.newCounterClient(cfg.CounterAddress)
	}
	return n, nil
}

// start passes the endpoints of the cached list to the policy and starts the goroutines that
// call discovery, evict idle connections and report request events.
func (n *Node) start() {
	n.applyList(n.cfg.CachedList, policy.CachedUpdate)
	if n.cfg.DiscoveryAddress != "" {
		n.workers.Go(func() { n.discovery.Run(n.ctx) })
	}
	n.workers.Go(n.evictIdleConns)
	n.workers.Go(n.reportEvents)
}

// close abandons the open attempts, closes idle connections to endpoints and the connection to
// the counter, and waits for the node's goroutines. No event is dispatched after that.
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

// evictIdleConns closes connections to endpoints that have reached the idle timeout, until the
// node stops. It runs in its own goroutine.
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

// dispatch passes an event to the policy and executes the actions that the policy returns. An
// event that an action causes is queued until the actions before it are executed. The caller
// holds n.mu.
func (n *Node) dispatch(ev policy.Event) {
	n.events = append(n.events, ev)
	if n.dispatching || n.closed {
		return
	}
	n.dispatching = true
	defer n.recoverPanic()
	for i := 0; i < len(n.events); i++ { // executing an action may append an event
		n.actions = n.gateway.Step(n.clock.now(), n.events[i], n.actions[:0])
		for _, action := range n.actions {
			n.execute(action)
		}
	}
	clear(n.events)
	clear(n.actions)
	n.events = n.events[:0]
	n.dispatching = false
}

// recoverPanic makes the node end with an error if the policy panics. Otherwise net/http would
// recover the panic, and the node would receive requests but never dispatch an event again.
func (n *Node) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	n.log.Error("the policy panicked", "panic", cause, "stack", string(debug.Stack()))
	n.closed = true
	n.fatalError <- fmt.Errorf("the policy panicked: %v", cause)
}

// execute executes one action of the policy. The caller holds n.mu.
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
	case policy.WatchEndpoints: // the discovery client runs from start to close
	default:
		n.log.Error("unknown action of the policy", "action", fmt.Sprintf("%T", action))
	}
}

// cancelAttempt ends an attempt as canceled, if there is one of that number. The caller holds
// n.mu.
func (n *Node) cancelAttempt(action policy.CancelAttempt) {
	r := n.requests[action.RequestID]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	n.endAttempt(r.attempts[action.Attempt], policy.Canceled)
}

// startTimer starts a timer that notifies the policy when it fires.
func (n *Node) startTimer(timerID uint64, after time.Duration) {
	n.afterFunc(after, func() { n.dispatch(policy.TimerFired{TimerID: timerID}) })
}

// afterFunc runs f with n.mu held once d has passed, unless the node has closed.
func (n *Node) afterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.closed {
			f()
		}
	})
}
