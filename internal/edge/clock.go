package edge

import (
	"time"

	"swiftpitch/internal/policy"
)

// stepTolerance is the difference between the wall clock and the node's own time up to which the
// wall clock does not count as stepped.
const stepTolerance = 50 * time.Millisecond

// nodeClock gives the policy's time: the wall-clock time of the node's start plus the time that
// has passed since by the monotonic clock, so that steps of the wall clock do not change it.
type nodeClock struct {
	startedAt time.Time // with the monotonic clock's reading
	epoch     policy.Time
	wall      func() time.Time
}

// newNodeClock returns a clock that starts now.
func newNodeClock() nodeClock {
	startedAt := time.Now()
	return nodeClock{startedAt: startedAt, epoch: policy.Time(startedAt.UnixNano()), wall: time.Now}
}

// now returns the policy's time.
func (c *nodeClock) now() policy.Time { return c.epoch + time.Since(c.startedAt) }

// step returns by how much the wall clock was stepped since the start; 0: within stepTolerance.
func (c *nodeClock) step() time.Duration {
	step := policy.Time(c.wall().UnixNano()) - c.now()
	if step.Abs() <= stepTolerance {
		return 0
	}
	return step
}

// startTime converts the start of an endpoint's process from the wall-clock time, in Unix ms, that
// discovery reports to the policy's time. 0 stands for long ago. If the wall clock was stepped,
// the other machine may have read its clock before or after a step of its own, so the latest start
// counts that does not lie in the future: a cold endpoint must not be taken for a warm one. A start
// in the future counts as one now.
func (c *nodeClock) startTime(unixMS int64) policy.Time {
	if unixMS <= 0 {
		return 0
	}
	now := c.now()
	reported := policy.Time(unixMS) * policy.Time(time.Millisecond)
	latest, found := policy.Time(0), false
	for _, start := range []policy.Time{reported, reported - c.step()} {
		if start <= now && (!found || start > latest) {
			latest = start
			found = true
		}
	}
	if !found {
		return now
	}
	return latest
}
