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
// change that is published meanwhile is notified within NotificationDeadline, and within
// addressNotificationDeadline of the next move. The calls of the fleet leave no standing queue at a
// service of fixed capacity.
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
					start := f.Now
					lastMove := start + (addressesInRow-1)*interval
					var changes []publishedChange
					for range addressesInRow * interval / published {
						f.Run(published)
						change := publishedChange{version{"new", f.newService.publish()}, f.Now, NotificationDeadline}
						if f.Now <= lastMove {
							untilMove := (interval - (f.Now-start)%interval) % interval
							change.deadline = min(change.deadline, untilMove+addressNotificationDeadline)
						}
						changes = append(changes, change)
					}
					paid := f.newService.paidCalls
					f.Run(2 * NotificationDeadline)
					f.checkNotified(t, changes)
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

// publishedChange is a change of the list and the time within which all nodes must be notified of it.
type publishedChange struct {
	version  version
	at       time.Duration
	deadline time.Duration // counted from at
}

// checkNotified checks that all nodes were notified of all changes in time.
func (f *fleet) checkNotified(t *testing.T, changes []publishedChange) {
	t.Helper()
	worst := time.Duration(0)
	for _, change := range changes {
		late, longest := f.lateNodes(change.version, change.at, change.deadline)
		if late > 0 {
			t.Errorf("%d of %d nodes were notified of version %d late, the last after %v, want all within %v",
				late, len(f.nodes), change.version.generation, longest, change.deadline)
		}
		worst = max(worst, longest)
	}
	t.Logf("the last node was notified after %v", worst)
}
