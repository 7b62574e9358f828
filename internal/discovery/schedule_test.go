package discovery

import (
	"fmt"
	"testing"
	"time"
)

// The tests of this file run the schedules of a whole fleet in simulated time.

// discoveryVariants are the ways in which discovery works.
var discoveryVariants = []struct {
	name, mode string
	queueLimit time.Duration
}{
	{"push", "push", shortQueueLimit},
	{"ask", "ask", shortQueueLimit},
	{"ask, long queue", "ask", longQueueLimit},
}

// fleetEvents are what may happen to a fleet; each returns the version of which it is time
// to be notified.
var fleetEvents = []struct {
	name  string
	event func(*fleet) version
}{
	{"steady", (*fleet).publishChange},
	{"silence", outage(serviceUp, 0)},
	{"silence in step", func(f *fleet) version {
		f.oldService.publish() // all watches begin anew
		f.Run(100 * time.Millisecond)
		f.oldService.setState(serviceUp)
		return f.publishChange()
	}},
	{"refusal", outage(serviceRefusing, longOutage)},
	{"short refusal", outage(serviceRefusing, time.Second)},
	{"hung calls", outage(serviceUnresponsive, longOutage)},
	{"hung calls, short", outage(serviceUnresponsive, 7*time.Second)},
	{"rejected calls", outage(serviceRejecting, longOutage)},
	{"address change", (*fleet).changeAddress},
	{"address change while hung", func(f *fleet) version {
		f.oldService.setState(serviceUnresponsive)
		f.Run(longOutage)
		return f.changeAddress()
	}},
}

const longOutage = 22 * time.Second

// outage makes a change right after discovery was in a state for a while.
func outage(state serviceState, duration time.Duration) func(*fleet) version {
	return func(f *fleet) version {
		f.oldService.setState(state)
		f.Run(duration)
		f.oldService.setState(serviceUp)
		return f.publishChange()
	}
}

func (f *fleet) publishChange() version { return version{"old", f.oldService.publish()} }

func (f *fleet) changeAddress() version {
	for _, node := range f.nodes {
		node.changeAddress("new")
	}
	return version{"new", 1}
}

// Guards the drains and starts of which a large fleet learns: whatever became of the calls
// before, each node is notified of a change within NotificationDeadline of the moment in
// which discovery had it and could be reached, and 300 nodes that failed together leave no
// queue standing at a service of fixed capacity.
func TestFleetIsNotifiedWithinDeadline(t *testing.T) {
	for _, variant := range discoveryVariants {
		for _, e := range fleetEvents {
			t.Run(variant.name+"/"+e.name, func(t *testing.T) {
				f := newFleet(variant.mode, variant.queueLimit, true, serviceUp)
				f.oldService.publish() // which the nodes do not know of
				f.Run(2 * NotificationDeadline)
				late, longest := f.lateNodes(version{"old", 2}, 0)
				if late > 0 {
					t.Errorf("start: %d nodes are notified late, the last after %v", late, longest)
				}
				changed := e.event(f)
				since := f.Now
				f.Run(2 * NotificationDeadline)
				late, longest = f.lateNodes(changed, since)
				if late > 0 {
					t.Errorf("%d nodes are notified late, the last after %v", late, longest)
				}
				if delay := max(f.oldService.queueDelay(), f.newService.queueDelay()); delay > 0 {
					t.Errorf("a queue of %v stands %v later", delay, 2*NotificationDeadline)
				}
				t.Logf("the last node is notified after %v, the longest queue was %v", longest,
					max(f.oldService.longestQueueDelay, f.newService.longestQueueDelay))
			})
		}
	}
}

// Guards a fleet whose processes are restarted together: nine in ten are ready within 10 s,
// with nothing known or an old list, with discovery that is polled and crowded by the
// others, or that is down at the start: then a node that knows of no endpoint is ready
// within NotificationDeadline of its return.
func TestRestartedFleetBecomesReady(t *testing.T) {
	for _, variant := range discoveryVariants {
		for _, known := range []bool{false, true} {
			for _, down := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("%s/known %v/down %v", variant.name, known, down), func(t *testing.T) {
					checkRestart(t, variant.mode, variant.queueLimit, known, down)
				})
			}
		}
	}
}

// checkRestart restarts a fleet whose discovery is down for a while.
func checkRestart(t *testing.T, mode string, queueLimit time.Duration, known bool, down time.Duration) {
	t.Helper()
	const (
		readyWithin = 10 * time.Second
		readyShare  = 0.9
	)
	state := serviceUp
	if down > 0 {
		state = serviceUnresponsive
	}
	f := newFleet(mode, queueLimit, known, state)
	f.Run(down)
	f.oldService.setState(serviceUp)
	f.Run(max(readyWithin-down, NotificationDeadline))
	answered := 0
	ready := 0
	for _, node := range f.nodes {
		if node.hasList {
			answered++
		}
		if node.hasList || known { // a node that knows of endpoints is ready at once
			ready++
		}
	}
	if float64(ready) < readyShare*fleetSize {
		t.Errorf("%d of %d nodes are ready", ready, fleetSize)
	}
	if answered < fleetSize {
		t.Errorf("%d of %d nodes have a list of their own", answered, fleetSize)
	}
}
