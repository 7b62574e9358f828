package policy

import "time"

const (
	tickPeriod          = 100 * time.Millisecond // between the ticks that detect stalls
	stallThreshold      = 250 * time.Millisecond // a tick that is later than this means a stall
	stallRecoveryPeriod = 30 * time.Second       // for this long after a stall, requests are not held for a counter call
)

// stallDetector detects by late ticks that this gateway did not run for a while: its
// process was suspended or got no CPU time, and events have queued up.
type stallDetector struct {
	nextTick  Time // when the next tick is due; 0 before the first event
	stalledAt Time // when the last stall was detected
}

// newStallDetector returns a detector without a recent stall.
func newStallDetector(now Time) stallDetector {
	return stallDetector{stalledAt: now - stallRecoveryPeriod}
}

// observe records the time of an event. It reports whether a tick was due, in which case
// the caller starts the timer of the next one.
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

// recentlyStalled reports whether a stall was so recent that requests should not be held
// for a counter call: they may have waited long in the backlog already.
func (d *stallDetector) recentlyStalled(now Time) bool {
	return now-d.stalledAt < stallRecoveryPeriod
}

// tick keeps a timer running, so that a stall is detected even without other events.
func (g *Gateway) tick() {
	if g.stalls.observe(g.now) {
		g.startTimer(tickPeriod, func() {})
	}
}
