package policy

import "time"

const (
	tickPeriod          = 100 * time.Millisecond // between the timers by which stalls are noticed
	stallThreshold      = 250 * time.Millisecond // a tick later than this: the process was stalled
	stallRecoveryPeriod = 30 * time.Second       // requests do not wait for the counter for this long after a stall
)

// stallDetector notices by late timers that this gateway did not run for a while:
// its process was suspended or starved, and events have piled up.
type stallDetector struct {
	nextTick  Time // when the next tick is due; 0 before the first event
	stalledAt Time // when the last stall was noticed
}

// newStallDetector returns a detector that has seen no stall lately.
func newStallDetector(now Time) stallDetector {
	return stallDetector{stalledAt: now - stallRecoveryPeriod}
}

// observe takes the time of an event. It reports whether a tick was due, after
// which the next one is to be started.
func (d *stallDetector) observe(now Time) bool {
	if now < d.nextTick {
		return false
	}
	if d.nextTick > 0 && now-d.nextTick > stallThreshold {
		d.stalledAt = now
	}
	d.nextTick = now + tickPeriod
	return true
}

// recentlyStalled reports whether requests should not be held for a counter call,
// as they may have been waiting for long in the backlog of a stall.
func (d *stallDetector) recentlyStalled(now Time) bool {
	return now-d.stalledAt < stallRecoveryPeriod
}

// tick keeps a timer running, so that a stall is noticed even when no event comes.
func (g *Gateway) tick() {
	if g.stalls.observe(g.now) {
		g.startTimer(tickPeriod, func() {})
	}
}
