package discovery

import (
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testclock"
)

// This file models a fleet of nodes that call one discovery service in simulated time.

const (
	fleetSize = 300
	// callCost is what a call costs the polled service, which thus needs two thirds of
	// NotificationDeadline for the fleet. Half as many calls a second could not notify all
	// in time, however they were spread.
	callCost = 13 * time.Millisecond
	// shortQueueLimit is how long a call waits in the service's queue before it is rejected, where
	// it is: one that works on calls whose callers have given up never gets to the others.
	shortQueueLimit = 2 * time.Second
	longQueueLimit  = time.Hour
	// maxRenewalGap is how soon after a response the next call must come to renew a watch.
	maxRenewalGap = 200 * time.Millisecond
)

// serviceState is what becomes of the calls.
type serviceState int

const (
	serviceUp serviceState = iota
	serviceRefusing
	serviceUnresponsive
	serviceRejecting // rejects all calls
)

// fakeService models discovery: one service that works in turn on the calls of all nodes, on
// those whose callers have given up as well, or an agent that answers each node at once.
type fakeService struct {
	*testclock.Clock
	address           string
	callCost          time.Duration // 0: calls cost nothing
	queueLimit        time.Duration // a call that would wait longer is rejected after that
	state             serviceState
	queueEmptyAt      time.Duration // when all that is in its queue is done
	longestQueueDelay time.Duration // that a call has waited
	generation        int64
	held              []*fakeCall // held, in the order in which they came
}

// fakeCall is one call of a node.
type fakeCall struct {
	call
	caller *fakeNode
	waitID int
}

// publish makes a new version of the list and returns it.
func (s *fakeService) publish() int64 {
	s.generation++
	held := s.held
	s.held = nil
	for _, watch := range held {
		s.respond(watch)
	}
	return s.generation
}

// setState changes what becomes of calls. Watches that are held hang.
func (s *fakeService) setState(state serviceState) {
	s.state = state
	s.held = nil
}

// queueDelay is how long a call that came now would wait.
func (s *fakeService) queueDelay() time.Duration { return max(s.queueEmptyAt-s.Now, 0) }

// receive takes a call, which may renew a watch.
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

// hold answers a call that there is news for, or when its long-poll wait is over.
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

// version is a version of the list at one address of discovery.
type version struct {
	address    string
	generation int64
}

// fakeNode is a node of which only the calls to discovery are modeled.
type fakeNode struct {
	*testclock.Clock
	schedule     *schedule
	services     map[string]*fakeService
	address      string
	waitID       int // of what it waits for: a call or a pause
	calledAt     time.Duration
	lastResponse time.Duration
	hasList      bool
	notifiedAt   map[version]time.Duration // when it was notified of a version
}

// step makes the next call or waits for it.
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
		n.lastResponse = -maxRenewalGap - 1 // another connection, another watch
		n.pause(n.schedule.failed(n.Now - n.calledAt))
	}
}

// receive takes the response to a call.
func (n *fakeNode) receive(c *fakeCall, address string, generation int64) {
	if c.waitID != n.waitID {
		return // the node has given up
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

// changeAddress moves the node to another address, whatever it waits for.
func (n *fakeNode) changeAddress(address string) {
	n.address = address
	n.schedule.failed(n.Now - n.calledAt) // the call is canceled
	n.pause(0)
}

// fleet is a fleet of nodes with its discovery, and another one to which it may move.
type fleet struct {
	testclock.Clock
	oldService, newService *fakeService
	nodes                  []*fakeNode
}

// newFleet starts nodes that know of version 1 of the list, or of nothing.
func newFleet(mode string, queueLimit time.Duration, known bool, state serviceState) *fleet {
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
	if known {
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

// lateNodes is how many nodes were notified of a version later than NotificationDeadline past
// since, or not at all, and how long the last one took.
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
