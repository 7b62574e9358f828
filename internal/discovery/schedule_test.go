package discovery

import (
	"fmt"
	"testing"
	"time"
)

// The tests of this file run the schedules of a whole fleet in simulated time.

// discoveryVariants are the kinds of discovery service that are tested.
var discoveryVariants = []struct {
	name, mode string
	queueLimit time.Duration
}{
	{"pushed", "push", shortQueueLimit},
	{"polled", "ask", shortQueueLimit},
	{"polled, long queue", "ask", longQueueLimit},
}

// fleetEvents are the failures and changes that are tested. Each function returns the version of
// which the nodes must be notified afterwards.
var fleetEvents = []struct {
	name  string
	event func(*fleet) version
}{
	{"no failure", (*fleet).publishChange},
	{"held calls lost", outage(serviceUp, 0)},
	{"held calls lost after common renewal", func(f *fleet) version {
		f.oldService.publish() // answers all held calls, so that all nodes call again together
		f.Run(100 * time.Millisecond)
		f.oldService.setState(serviceUp)
		return f.publishChange()
	}},
	{"connections refused", outage(serviceRefusing, longOutage)},
	{"connections refused briefly", outage(serviceRefusing, time.Second)},
	{"no responses", outage(serviceUnresponsive, longOutage)},
	{"no responses briefly", outage(serviceUnresponsive, 7*time.Second)},
	{"calls rejected", outage(serviceRejecting, longOutage)},
	{"address change", (*fleet).changeAddress},
	{"address change without responses", func(f *fleet) version {
		f.oldService.setState(serviceUnresponsive)
		f.Run(longOutage)
		return f.changeAddress()
	}},
}

const longOutage = 22 * time.Second

// outage returns an event in which discovery is in a state for some time, and publishes a change
// right afterwards.
func outage(state serviceState, duration time.Duration) func(*fleet) version {
	return func(f *fleet) version {
		f.oldService.setState(state)
		f.Run(duration)
		f.oldService.setState(serviceUp)
		return f.publishChange()
	}
}

// publishChange publishes a change at the old service.
func (f *fleet) publishChange() version { return version{"old", f.oldService.publish()} }

// changeAddress moves all nodes to the new service.
func (f *fleet) changeAddress() version {
	for _, node := range f.nodes {
		node.changeAddress("new")
	}
	return version{"new", 1}
}

// Guards against nodes that learn too late of endpoints that start or drain. After any kind of
// failure each node is notified of a change within NotificationDeadline, counted from when
// discovery has the change and is reachable, or within addressNotificationDeadline of a change of the
// address. After 300 nodes failed together, no queue remains
// at a service of fixed capacity.
func TestFleetIsNotifiedWithinDeadline(t *testing.T) {
	for _, variant := range discoveryVariants {
		for _, e := range fleetEvents {
			t.Run(variant.name+"/"+e.name, func(t *testing.T) {
				f := newFleet(fleetSize, variant.mode, variant.queueLimit, true, serviceUp)
				f.oldService.publish() // a change that the nodes do not know yet
				f.Run(2 * NotificationDeadline)
				late, longest := f.lateNodes(version{"old", 2}, 0, NotificationDeadline)
				if late > 0 {
					t.Errorf("after the start %d of %d nodes were notified late, the last after %v, want all within %v",
						late, fleetSize, longest, NotificationDeadline)
				}
				changed := e.event(f)
				since := f.Now
				deadline := NotificationDeadline
				if changed.service == f.newService.name {
					deadline = addressNotificationDeadline
				}
				f.Run(2 * NotificationDeadline)
				late, longest = f.lateNodes(changed, since, deadline)
				if late > 0 {
					t.Errorf("%d of %d nodes were notified of the change late, the last after %v, want all within %v",
						late, fleetSize, longest, deadline)
				}
				if delay := max(f.oldService.queueDelay(), f.newService.queueDelay()); delay > 0 {
					t.Errorf("queue delay %v, %v after the event, want an empty queue", delay, 2*NotificationDeadline)
				}
				t.Logf("the last node was notified after %v, the longest queue delay was %v", longest,
					max(f.oldService.longestQueueDelay, f.newService.longestQueueDelay))
			})
		}
	}
}

// Guards against a slow start of a fleet whose processes are restarted together. Nine in ten
// nodes are ready within 10 s, with or without a cached list, even if all of them poll the same
// service. If discovery is down at the start, they are ready then or NotificationDeadline after
// discovery is back, whichever is later. By that time every node has a list from discovery.
func TestRestartedFleetBecomesReady(t *testing.T) {
	for _, variant := range discoveryVariants {
		for _, cached := range []bool{false, true} {
			for _, down := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("%s/cached list %v/down %v", variant.name, cached, down), func(t *testing.T) {
					checkRestart(t, variant.mode, variant.queueLimit, cached, down)
				})
			}
		}
	}
}

// checkRestart starts a fleet whose discovery is down for the given time, and checks that enough
// nodes become ready.
func checkRestart(t *testing.T, mode string, queueLimit time.Duration, cached bool, down time.Duration) {
	t.Helper()
	const (
		readyWithin = 10 * time.Second
		readyShare  = 0.9
	)
	state := serviceUp
	if down > 0 {
		state = serviceUnresponsive
	}
	f := newFleet(fleetSize, mode, queueLimit, cached, state)
	f.Run(down)
	f.oldService.setState(serviceUp)
	f.Run(max(readyWithin-down, NotificationDeadline))
	withList := 0
	ready := 0
	for _, node := range f.nodes {
		if node.hasList {
			withList++
		}
		if node.hasList || cached { // a node with a cached list is ready at once
			ready++
		}
	}
	if float64(ready) < readyShare*fleetSize {
		t.Errorf("%d of %d nodes are ready, want a share of %v at least", ready, fleetSize, readyShare)
	}
	if withList < fleetSize {
		t.Errorf("%d of %d nodes have received a list from discovery, want all", withList, fleetSize)
	}
}
