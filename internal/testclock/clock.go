// Package testclock runs scheduled functions in simulated time, for tests that simulate a whole
// fleet without sockets. It starts no goroutines: functions run in the goroutine that calls
// [Clock.Run], in the same order in every run.
package testclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with scheduled functions. The zero value is a clock at time 0 with
// nothing scheduled. It is not safe for concurrent use.
type Clock struct {
	Now time.Duration // time since the start; only Run advances it

	pending   timerQueue
	scheduled int // number of calls of After so far
}

// After schedules a function to run when d has passed. Functions due at the same time run in the
// order of the calls.
func (c *Clock) After(d time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.pending, timer{at: c.Now + d, sequence: c.scheduled, run: run})
}

// Run advances the clock by d and runs the functions that come due, including functions that are
// scheduled meanwhile.
func (c *Clock) Run(d time.Duration) {
	end := c.Now + d
	for len(c.pending) > 0 && c.pending[0].at <= end {
		next := heap.Pop(&c.pending).(timer)
		c.Now = next.at
		next.run()
	}
	c.Now = end
}

// timer is one scheduled function.
type timer struct {
	at       time.Duration
	sequence int // orders timers that are due at the same time
	run      func()
}

// timerQueue implements [heap.Interface], the earliest timer first.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	(*q)[last] = timer{} // releases the function for garbage collection
	*q = (*q)[:last]
	return removed
}
