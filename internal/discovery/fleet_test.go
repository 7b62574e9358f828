package discovery

import (
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testclock"
)

// This file models a fleet of nodes that call one discovery service in simulated time.

const (
	fleetSize = 300
	// callCost is the time that the polled service takes for a call, so that it needs two
	// thirds of NotificationDeadline for the whole fleet. At half that rate not all nodes could
	// be notified in time, however the calls were spread.
	callCost = 13 * time.Millisecond
	// shortQueueLimit is how long a call waits in the service's queue before it is rejected.
	// Without a limit, a service whose calls wait longer than their timeout processes only
	// calls whose callers have given up. The nodes must therefore spread their calls so that
	// the queue stays short under either limit.
	shortQueueLimit = 2 * time.Second
	longQueueLimit  = time.Hour // in effect no limit
	// maxRenewalGap is the longest time from a response to the next call that renews a watch.
	maxRenewalGap = 200 * time.Millisecond
)

// serviceState tells how the service handles calls.
type serviceState int

const (
	serviceUp           serviceState = iota
	serviceRefusing                  // refuses connections
	serviceUnresponsive              // never answers
	serviceRejecting                 // rejects all calls
)

// fakeService models discovery: either one service that processes the calls of all nodes one at
// a time, including calls whose callers have given up, or an agent that answers each node at
// once.
type fakeService struct {
	*testclock.Clock
	address           string
	callCost          time.Duration // processing time of a call; 0 for an agent
	queueLimit        time.Duration // a call that would wait longer is rejected after this time
	state             serviceState
	queueEmptyAt      time.Duration // when all queued calls are processed
	longestQueueDelay time.Duration // longest wait of a call so far
	generation        int64         // version of the list
	held              []*fakeCall   // long polls that wait for a change, oldest first
}

// fakeCall is one call of a node.
type fakeCall struct {
	call
	caller *fakeNode
	waitID int // the caller's, when it made the call
}

// publish creates a new version of the list, answers the held calls with it and returns it.
func (s *fakeService) publish() int64 {
	s.generation++
	held := s.held
	s.held = nil
	for _, watch := range held {
		s.respond(watch)
	}
	return s.generation
}

// setState changes how calls are handled. Calls that are held get no response.
func (s *fakeService) setState(state serviceState) {
	s.state = state
	s.held = nil
}

// queueDelay returns how long a call that arrived now would wait in the queue.
func (s *fakeService) queueDelay() time.Duration { return max(s.queueEmptyAt-s.Now, 0) }

// receive handles a call. One that renews a watch costs nothing and is not queued.
func (s *fakeService) receive(c *fakeCall, renewal bool) {
	switch {
	case s.state == serviceUnresponsive:
		return
	case s.state != serviceUp:
		s.After(0, func() { c.caller.fail(c) })
		return
	case renewal:
		s.hold(c)
		return
	case s.queueDelay() > s.queueLimit:
		s.After(s.queueLimit, func() { c.caller.fail(c) })
		return
	}
	s.queueEmptyAt = max(s.queueEmptyAt, s.Now) + s.callCost
	s.longestQueueDelay = max(s.longestQueueDelay, s.queueDelay())
	s.After(s.queueDelay(), func() {
		if s.state == serviceUp {
			s.hold(c)
		}
	})
}

// hold answers a call at once if it asks for the full list, if the list has changed after its
// index, or if its long-poll wait is a millisecond at most. Otherwise it answers at the next
// change or at the end of the long-poll wait.
func (s *fakeService) hold(c *fakeCall) {
	if c.fullList || s.generation > c.index || c.longPollWait <= time.Millisecond {
		s.respond(c)
		return
	}
	s.held = append(s.held, c)
	s.After(c.longPollWait, func() {
		for i, watch := range s.held {
			if watch == c {
				s.held = append(s.held[:i:i], s.held[i+1:]...)
				s.respond(c)
				return
			}
		}
	})
}

func (s *fakeService) respond(c *fakeCall) { c.caller.receive(c, s.address, s.generation) }

// version identifies a version of the list of the service at one address.
type version struct {
	address    string
	generation int64
}

// fakeNode models the calls of a node to discovery.
type fakeNode struct {
	*testclock.Clock
	schedule     *schedule
	services     map[string]*fakeService
	address      string
	waitID       int // number of the call or pause in progress; older callbacks are ignored
	calledAt     time.Duration
	lastResponse time.Duration
	hasList      bool
	notifiedAt   map[version]time.Duration // when the node was notified of each version
}

// step makes the next call, or pauses if the schedule demands a delay.
func (n *fakeNode) step() {
	n.waitID++
	id := n.waitID
	next, delay := n.schedule.next(n.address)
	if delay > 0 {
		n.pause(delay)
		return
	}
	n.calledAt = n.Now
	c := &fakeCall{call: next, caller: n, waitID: id}
	n.After(next.timeout, func() { n.fail(c) })
	n.services[n.address].receive(c, n.Now-n.lastResponse <= maxRenewalGap)
}

func (n *fakeNode) pause(d time.Duration) {
	n.waitID++
	id := n.waitID
	n.After(d, func() {
		if id == n.waitID {
			n.step()
		}
	})
}

// fail ends a call without a response.
func (n *fakeNode) fail(c *fakeCall) {
	if c.waitID == n.waitID {
		n.lastResponse = -maxRenewalGap - 1 // the next call uses a new connection and renews no watch
		n.pause(n.schedule.failed(n.Now - n.calledAt))
	}
}

// receive handles the response to a call.
func (n *fakeNode) receive(c *fakeCall, address string, generation int64) {
	if c.waitID != n.waitID {
		return // the node has given up on this call
	}
	n.lastResponse = n.Now
	n.hasList = true
	for g := c.index + 1; g <= generation; g++ {
		n.notifiedAt[version{address, g}] = n.Now
	}
	if c.fullList {
		n.notifiedAt[version{address, generation}] = n.Now
	}
	n.schedule.succeeded(generation)
	n.step()
}

// changeAddress moves the node to another address and cancels the call or pause in progress.
func (n *fakeNode) changeAddress(address string) {
	n.address = address
	n.schedule.failed(n.Now - n.calledAt) // the call is canceled
	n.pause(0)
}

// fleet is a fleet of nodes with the discovery service that it calls at first, and another one to
// which it may move.
type fleet struct {
	testclock.Clock
	oldService, newService *fakeService
	nodes                  []*fakeNode
}

// newFleet starts a fleet whose nodes have a cached list of version 1 if cached is true, else none.
func newFleet(mode string, queueLimit time.Duration, cached bool, state serviceState) *fleet {
	f := &fleet{}
	f.oldService = &fakeService{Clock: &f.Clock, address: "old", queueLimit: queueLimit, generation: 1, state: state}
	f.newService = &fakeService{Clock: &f.Clock, address: "new", queueLimit: queueLimit, generation: 1}
	if mode == "ask" {
		f.oldService.callCost = callCost
		f.newService.callCost = callCost
	}
	services := map[string]*fakeService{"old": f.oldService, "new": f.newService}
	settings := &config.Settings{
		Gateways:      fleetSize,
		DiscoveryMode: mode,
		EndpointRules: config.EndpointRules{DrainGrace: 2 * time.Second, SubscriptionTimeout: 10 * time.Second},
	}
	var list List
	if cached {
		list = List{Generation: 1, Instances: []Instance{{ID: "s-0", Lifecycle: Serving}}}
	}
	for seed := range uint64(fleetSize) {
		node := &fakeNode{
			Clock:        &f.Clock,
			schedule:     newSchedule(NewTiming(settings), seed, list),
			services:     services,
			address:      "old",
			lastResponse: -maxRenewalGap - 1,
			notifiedAt:   map[version]time.Duration{},
		}
		f.nodes = append(f.nodes, node)
		node.pause(0)
	}
	return f
}

// lateNodes returns how many nodes were notified of a version later than NotificationDeadline
// after since, or not at all, and how long the last node took.
func (f *fleet) lateNodes(v version, since time.Duration) (late int, longest time.Duration) {
	for _, node := range f.nodes {
		at, ok := node.notifiedAt[v]
		if !ok {
			at = f.Now
		}
		if !ok || at-since > NotificationDeadline {
			late++
		}
		longest = max(longest, at-since)
	}
	return late, longest
}
