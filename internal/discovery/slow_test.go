package discovery

import (
	"fmt"
	"testing"
	"time"
)

// slowAnswerDelay is the answer delay of a slow service. The answer to a call that just misses a
// change and the answer to the next call together take NotificationDeadline.
const slowAnswerDelay = NotificationDeadline / 2

// Guards against nodes that give up each call to a slow discovery service just before its answer,
// and so never learn of a change. Calls take no more connections than the schedule's limit, and
// after the service has recovered each node has one open call again.
func TestSlowDiscoveryNotifiesFleet(t *testing.T) {
	for _, variant := range []struct {
		mode     string
		callCost time.Duration
	}{{"push", 0}, {"ask", 0}, {"ask", callCost}} {
		for _, size := range []int{3, 100, 300} {
			for _, slowFor := range []time.Duration{0, 1700 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("%s/cost %v/%d nodes/slow for %v", variant.mode, variant.callCost, size, slowFor), func(t *testing.T) {
					f := newFleet(size, variant.mode, shortQueueLimit, true, serviceUp)
					f.oldService.callCost = variant.callCost
					f.Run(2 * NotificationDeadline)
					f.checkSlowService(t, slowFor)
				})
			}
		}
	}
}

// checkSlowService makes the service slow, publishes a change some time later, and checks that all
// nodes are notified of it, and how many calls they have open then and after the service has
// recovered.
func (f *fleet) checkSlowService(t *testing.T, slowFor time.Duration) {
	t.Helper()
	f.oldService.answerDelay = slowAnswerDelay
	f.Run(slowFor)
	paidBefore := f.oldService.paidCalls
	changed := f.publishChange()
	since := f.Now
	f.Run(2 * NotificationDeadline)
	late, longest := f.lateNodes(changed, since, NotificationDeadline)
	if late > 0 {
		t.Errorf("%d of %d nodes were notified of the change late, the last after %v, want all within %v",
			late, len(f.nodes), longest, NotificationDeadline)
	}
	paid := f.oldService.paidCalls - paidBefore
	f.oldService.answerDelay = 0
	f.Run(2 * NotificationDeadline)
	for i, node := range f.nodes {
		if node.mostOpen > 1+maxLateCalls || len(node.open) != 1 {
			t.Fatalf("node %d had %d open calls at most and has %d, want at most %d and 1", i, node.mostOpen, len(node.open), 1+maxLateCalls)
		}
	}
	t.Logf("the last node was notified after %v; %.1f calls/s that renewed no watch", longest,
		float64(paid)/(2*NotificationDeadline).Seconds())
}

// Guards against nodes that never become ready because discovery is slow when they start without a
// cached list.
func TestNodesBecomeReadyAtSlowDiscovery(t *testing.T) {
	const readyWithin = 10 * time.Second
	for _, mode := range []string{"push", "ask"} {
		f := newFleet(fleetSize, mode, shortQueueLimit, false, serviceUp)
		f.oldService.answerDelay = slowAnswerDelay
		f.Run(readyWithin)
		withoutList := 0
		for _, node := range f.nodes {
			if !node.hasList {
				withoutList++
			}
		}
		if withoutList > 0 {
			t.Errorf("%s: %d of %d nodes have no list after %v, want 0", mode, withoutList, fleetSize, readyWithin)
		}
	}
}
