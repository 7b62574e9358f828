package discovery

import (
	"fmt"
	"slices"
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
	// addressNotificationDeadline is the time after a change of the address after which a node counts
	// as notified of what discovery has.
	addressNotificationDeadline = 4 * time.Second
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
	name              string
	callCost          time.Duration // processing time of a call; 0 for an agent
	queueLimit        time.Duration // a call that would wait longer is rejected after this time
	state             serviceState
	queueEmptyAt      time.Duration // when all queued calls are processed
	longestQueueDelay time.Duration // longest wait of a call so far
	answerDelay       time.Duration // every answer comes this much later
	paidCalls         int           // calls processed so far that renewed no watch
	generation        int64         // version of the list
	held              []*fakeCall   // long polls that wait for a change, oldest first
}

// fakeCall is one call of a node.
type fakeCall struct {
	*call
	caller *fakeNode
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
	s.paidCalls++
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

// respond answers a call with the present version, after the answer delay.
func (s *fakeService) respond(c *fakeCall) {
	generation := s.generation
	s.After(s.answerDelay, func() { c.caller.receive(c, generation) })
}

// addressesInRow is the number of further addresses of the new service.
const addressesInRow = 8

// addressInRow returns one of the further addresses of the new service.
func addressInRow(i int) string { return fmt.Sprintf("new %d", i) }

// version identifies a version of the list of one service.
type version struct {
	service    string // its name
	generation int64
}

// fakeNode models the calls of a node to discovery.
type fakeNode struct {
	*testclock.Clock
	schedule     *schedule
	services     map[string]*fakeService
	address      string
	pauses       int         // pauses so far; the end of an earlier one is ignored
	open         []*fakeCall // calls that were neither answered nor given up, oldest first
	mostOpen     int         // most open calls at a time
	lastResponse time.Duration
	hasList      bool
	notifiedAt   map[version]time.Duration // when the node was notified of each version
}

// step makes the next call, or pauses if the schedule demands a delay.
func (n *fakeNode) step() {
	n.schedule.setAddress(n.address, n.Now)
	if n.schedule.current != nil {
		return
	}
	if delay := n.schedule.delay(n.Now); delay > 0 {
		n.pause(delay)
		return
	}
	c := &fakeCall{call: n.schedule.start(n.Now), caller: n}
	n.open = append(n.open, c)
	n.mostOpen = max(n.mostOpen, len(n.open))
	n.After(c.overdueAfter, func() { n.overdue(c) })
	n.After(c.timeout, func() { n.fail(c) })
	n.services[n.address].receive(c, n.Now-n.lastResponse <= maxRenewalGap)
}

func (n *fakeNode) pause(d time.Duration) {
	n.pauses++
	pause := n.pauses
	n.After(d, func() {
		if pause == n.pauses {
			n.step()
		}
	})
}

// overdue reports a call that is still the current one to the schedule.
func (n *fakeNode) overdue(c *fakeCall) {
	if c.call == n.schedule.current {
		n.lastResponse = -maxRenewalGap - 1 // the next call uses a new connection and renews no watch
		n.schedule.overdue(n.Now)
		n.step()
	}
}

// fail ends a call without a response.
func (n *fakeNode) fail(c *fakeCall) {
	if n.remove(c.call) {
		if c.call == n.schedule.current {
			n.lastResponse = -maxRenewalGap - 1 // the next call uses a new connection and renews no watch
		}
		n.schedule.failed(c.call, n.Now)
		n.step()
	}
}

// receive handles the response to a call.
func (n *fakeNode) receive(c *fakeCall, generation int64) {
	if !n.remove(c.call) {
		return // the node has given up on this call
	}
	n.lastResponse = n.Now
	if n.schedule.answered(c.call, generation, n.Now) {
		n.notify(c, generation)
	}
	n.step()
}

// notify records that a response notifies the node of all versions up to its own, of those after the
// call's index unless it is a full list. A version that was notified before keeps its time.
func (n *fakeNode) notify(c *fakeCall, generation int64) {
	n.hasList = true
	first := c.index + 1
	if c.fullList {
		first = 1
	}
	service := n.services[c.address].name
	for g := first; g <= generation; g++ {
		if _, known := n.notifiedAt[version{service, g}]; !known {
			n.notifiedAt[version{service, g}] = n.Now
		}
	}
}

// remove removes a call from the open ones and reports whether it was one of them.
func (n *fakeNode) remove(c *call) bool {
	i := slices.IndexFunc(n.open, func(open *fakeCall) bool { return open.call == c })
	if i < 0 {
		return false
	}
	n.open = slices.Delete(n.open, i, i+1)
	return true
}

// closeAddress breaks the connections to an address.
func (n *fakeNode) closeAddress(address string) {
	for _, c := range slices.Clone(n.open) {
		if c.address == address {
			n.fail(c)
		}
	}
}

// changeAddress moves the node to another address.
func (n *fakeNode) changeAddress(address string) {
	n.address = address
	n.pause(0)
}

// fleet is a fleet of nodes with the discovery service that it calls at first, and another one to
// which it may move.
type fleet struct {
	testclock.Clock
	oldService, newService *fakeService
	nodes                  []*fakeNode
}

// newFleet starts a fleet of size nodes, which have a cached list of version 1 if cached is true, else none.
func newFleet(size int, mode string, queueLimit time.Duration, cached bool, state serviceState) *fleet {
	f := &fleet{}
	f.oldService = &fakeService{Clock: &f.Clock, name: "old", queueLimit: queueLimit, generation: 1, state: state}
	f.newService = &fakeService{Clock: &f.Clock, name: "new", queueLimit: queueLimit, generation: 1}
	if mode == "ask" {
		f.oldService.callCost = callCost
		f.newService.callCost = callCost
	}
	services := map[string]*fakeService{"old": f.oldService, "new": f.newService}
	for i := range addressesInRow {
		services[addressInRow(i)] = f.newService
	}
	settings := &config.Settings{
		Gateways:      size,
		DiscoveryMode: mode,
		EndpointRules: config.EndpointRules{DrainGrace: 2 * time.Second, SubscriptionTimeout: 10 * time.Second},
	}
	var list List
	if cached {
		list = List{Generation: 1, Instances: []Instance{{ID: "s-0", Lifecycle: Serving}}}
	}
	for seed := range uint64(size) {
		node := &fakeNode{
			Clock:        &f.Clock,
			services:     services,
			address:      "old",
			lastResponse: -maxRenewalGap - 1,
			notifiedAt:   map[version]time.Duration{},
		}
		node.schedule = newSchedule(NewTiming(settings), seed, list, func(c *call) { node.remove(c) })
		f.nodes = append(f.nodes, node)
		node.pause(0)
	}
	return f
}

// lateNodes returns how many nodes were notified of a version later than a deadline, counted from
// since, or not at all, and how long the last node took.
func (f *fleet) lateNodes(v version, since, deadline time.Duration) (late int, longest time.Duration) {
	for _, node := range f.nodes {
		at, ok := node.notifiedAt[v]
		if !ok {
			at = f.Now
		}
		if !ok || at-since > deadline {
			late++
		}
		longest = max(longest, at-since)
	}
	return late, longest
}
