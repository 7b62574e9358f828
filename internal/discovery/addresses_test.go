package discovery

import (
	"fmt"
	"testing"
	"time"
)

// oldAddressCloses is the time after which an address that the nodes have left closes its
// connections.
const oldAddressCloses = 1500 * time.Millisecond

// moveThroughAddresses schedules that the nodes move through all further addresses of the new
// service, one after another.
func (f *fleet) moveThroughAddresses(interval time.Duration) {
	for i := range addressesInRow {
		movedAt := time.Duration(i) * interval
		f.After(movedAt, func() {
			for _, node := range f.nodes {
				node.changeAddress(addressInRow(i))
			}
		})
		if i == 0 {
			continue
		}
		f.After(movedAt+oldAddressCloses, func() {
			for _, node := range f.nodes {
				node.closeAddress(addressInRow(i - 1))
			}
		})
	}
}

// Guards against new addresses in a row that put the calls to discovery off again and again. Every
// change that is published meanwhile is notified within NotificationDeadline, and the calls of the
// fleet leave no standing queue at a service of fixed capacity.
func TestAddressesInRowDoNotDelayNotification(t *testing.T) {
	const published = 500 * time.Millisecond // between two changes
	for _, variant := range []struct {
		mode     string
		callCost time.Duration
	}{{"push", 0}, {"ask", 0}, {"ask", callCost}} {
		for _, size := range []int{3, 100, 300} {
			for _, interval := range []time.Duration{published, 1500 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s/cost %v/%d nodes/every %v", variant.mode, variant.callCost, size, interval), func(t *testing.T) {
					f := newFleet(size, variant.mode, longQueueLimit, true, serviceUp)
					f.newService.callCost = variant.callCost
					f.Run(2 * NotificationDeadline)
					f.moveThroughAddresses(interval)
					publishedAt := map[version]time.Duration{}
					for range addressesInRow * interval / published {
						f.Run(published)
						publishedAt[version{"new", f.newService.publish()}] = f.Now
					}
					paid := f.newService.paidCalls
					f.Run(2 * NotificationDeadline)
					f.checkNotified(t, publishedAt)
					if delay := f.newService.queueDelay(); delay > 0 {
						t.Errorf("queue delay %v, %v after the last change, want an empty queue", delay, 2*NotificationDeadline)
					}
					t.Logf("%.1f calls/s that renewed no watch, longest queue delay %v",
						float64(paid)/(addressesInRow*interval).Seconds(), f.newService.longestQueueDelay)
				})
			}
		}
	}
}

// checkNotified checks that all nodes were notified of all versions in time.
func (f *fleet) checkNotified(t *testing.T, publishedAt map[version]time.Duration) {
	t.Helper()
	worst := time.Duration(0)
	for v, at := range publishedAt {
		late, longest := f.lateNodes(v, at)
		if late > 0 {
			t.Errorf("%d of %d nodes were notified of version %d late, the last after %v, want all within %v",
				late, len(f.nodes), v.generation, longest, NotificationDeadline)
		}
		worst = max(worst, longest)
	}
	t.Logf("the last node was notified after %v", worst)
}
