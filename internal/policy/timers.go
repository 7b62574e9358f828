package policy

import "time"

// timerSet holds the callbacks of the timers that the caller was asked to start. Timers
// are numbered in the order in which they are started.
type timerSet struct {
	callbacks map[uint64]func()
	lastID    uint64
}

func newTimerSet() timerSet { return timerSet{callbacks: map[uint64]func(){}} }

// add registers a callback and returns the ID of its timer.
func (s *timerSet) add(callback func()) uint64 {
	s.lastID++
	s.callbacks[s.lastID] = callback
	return s.lastID
}

// fire runs the callback of a timer once. Unknown IDs are ignored.
func (s *timerSet) fire(id uint64) {
	callback := s.callbacks[id]
	if callback == nil {
		return
	}
	delete(s.callbacks, id)
	callback()
}

// startTimer asks the caller to start a timer, and runs the callback when it fires.
func (g *Gateway) startTimer(after time.Duration, callback func()) {
	id := g.timers.add(callback)
	g.emit(StartTimer{After: max(after, 0), TimerID: id})
}
