package discovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftpitch/internal/backoff"
)

const (
	// immediatePollWait is the long-poll wait of the first call to an address and of a call after a
	// failed one. Discovery answers it at once, so a hung call is detected without a long-poll wait.
	immediatePollWait = time.Millisecond
	// maxLateCalls limits the overdue calls that stay open, each on a connection of its own.
	maxLateCalls = 2
	// randomStream separates the random numbers of the schedule from other streams of the seed.
	randomStream = 0x646973636f
)

// schedule decides when a node calls discovery, what it asks for, and which answers are of use. It
// uses neither sockets nor a clock: the methods take the time since any fixed origin. It is not
// safe for concurrent use.
//
// One call at a time is the current one. A call that is overdue makes way for the next one but
// stays open, because a slow service still answers it. If it were given up, no call to a service that
// always takes longer would succeed.
type schedule struct {
	timing  Timing
	rand    *rand.Rand
	backoff backoff.Backoff // used unless discovery is polled
	abandon func(*call)     // ends a call whose answer is of no use any more

	address       string // to which the next call goes
	addressNumber int    // number of address, counted from 1
	connected     bool   // the last call to address succeeded
	failing       bool   // the last call that ended, or was overdue, had no answer
	nextCallAt    time.Duration
	newWatchAt    time.Duration // start of the last call that did not follow an answer at once

	current *call   // call to which the next one follows; nil during a delay
	late    []*call // overdue calls that are still open, oldest first
	calls   int     // calls made so far

	generation         int64 // version of the list
	listAddressNumber  int   // number of the address that the list came from; 0: there is no list
	lastCallBeforeList int   // number of the latest call that had started when the list came
}

// newSchedule returns a schedule that continues from a cached list: the first call asks for
// what changed after its version. If the list is empty, the first call asks for the full list.
// abandon ends a call; it must not call the schedule.
func newSchedule(timing Timing, seed uint64, cached List, abandon func(*call)) *schedule {
	random := rand.New(rand.NewPCG(seed, randomStream))
	s := &schedule{
		timing:     timing,
		rand:       random,
		backoff:    backoff.Backoff{Min: timing.MinBackoff, Max: timing.MaxBackoff, Rand: random},
		abandon:    abandon,
		generation: cached.Generation,
	}
	if len(cached.Instances) > 0 {
		s.listAddressNumber = 1
	}
	return s
}

// setAddress sets the address for all further calls. The call in progress at the previous address
// stays open, as it may still be answered. The next call asks for the full list, as another service
// numbers its versions independently.
func (s *schedule) setAddress(address string, now time.Duration) {
	if address == s.address {
		return
	}
	callPending := s.address != "" && s.current == nil
	s.address = address
	s.addressNumber++
	s.connected = false
	s.backoff.Reset()
	if s.current != nil {
		s.abandonLate(func(*call) bool { return true })
		s.setCurrentLate()
	}
	s.scheduleFirstCall(callPending, now)
}

// scheduleFirstCall sets the time of the first call to a new address. If discovery is polled, the
// first calls of the nodes are spread over the jitter window. A call that is pending already is not
// put off, and further addresses lead to one call per poll interval at most, as every node makes
// such calls.
func (s *schedule) scheduleFirstCall(callPending bool, now time.Duration) {
	latest := now + s.timing.JitterWindow
	intervalEnd := s.newWatchAt + s.timing.PollInterval
	switch {
	case !s.timing.Polled:
		s.nextCallAt = now
	case callPending && s.nextCallAt <= latest:
	case s.failing && intervalEnd > now:
		s.nextCallAt = now + s.uniform(min(intervalEnd, latest)-now)
	case s.calls > 0 && intervalEnd > now:
		s.nextCallAt = min(intervalEnd, latest)
	default:
		s.nextCallAt = now + s.uniform(s.timing.JitterWindow)
	}
}

// delay returns how long to wait before the next call. There must be no current call.
func (s *schedule) delay(now time.Duration) time.Duration { return max(s.nextCallAt-now, 0) }

// start returns the next call, which becomes the current one. There must be no current call.
func (s *schedule) start(now time.Duration) *call {
	s.calls++
	next := &call{
		number:        s.calls,
		address:       s.address,
		addressNumber: s.addressNumber,
		startedAt:     now,
		fullList:      s.listAddressNumber != s.addressNumber,
		index:         s.generation,
		longPollWait:  immediatePollWait,
		overdueAfter:  s.timing.OverdueAfter,
	}
	if s.connected {
		next.longPollWait = s.longPollWait()
		next.overdueAfter = next.longPollWait + s.timing.ResponseMargin
	} else {
		s.newWatchAt = now
	}
	next.timeout = next.longPollWait + NotificationDeadline
	s.current = next
	return next
}

// longPollWait returns how long discovery may hold the next call. It is random if discovery is
// polled.
func (s *schedule) longPollWait() time.Duration {
	if !s.timing.Polled {
		return s.timing.LongPollWait
	}
	fraction := minLongPollWaitFraction + (1-minLongPollWaitFraction)*s.rand.Float64()
	return time.Duration(fraction * float64(s.timing.LongPollWait))
}

// overdue records that the current call has had no answer for its overdueAfter, and schedules the
// next call.
func (s *schedule) overdue(now time.Duration) {
	overdue := s.current
	s.setCurrentLate()
	s.scheduleRetry(overdue, now)
}

// failed records that a call ended without an answer. The next call is scheduled if it was the
// current one. It follows at once if the previous address closed the connection of the latest call.
func (s *schedule) failed(c *call, now time.Duration) {
	switch {
	case c == s.current:
		s.current = nil
		s.scheduleRetry(c, now)
	case s.removeLate(c) && c.addressNumber != s.addressNumber && c.startedAt == s.newWatchAt:
		s.nextCallAt = now
	}
}

// answered records the answer to a call with the version of its list, and reports whether the list
// is to be applied. The next call follows at once, unless a long poll is in progress or the answer
// comes from a previous address.
func (s *schedule) answered(c *call, generation int64, now time.Duration) (apply bool) {
	if c == s.current {
		s.current = nil
	} else if !s.removeLate(c) {
		return false // abandoned
	}
	apply = s.isNewer(c, generation)
	if apply {
		s.generation = generation
		s.listAddressNumber = c.addressNumber
		s.lastCallBeforeList = s.calls
	}
	if c.addressNumber != s.addressNumber {
		return apply // it says nothing about the service at the new address
	}
	s.connected = true
	s.failing = false
	s.nextCallAt = now
	s.backoff.Reset()
	s.abandonLate(func(late *call) bool { return late.addressNumber != s.addressNumber })
	if s.current != nil && s.current.longPollWait <= immediatePollWait {
		s.setCurrentLate()
	}
	return apply
}

// isNewer reports whether the list that answers a call is newer than the one that the node has. A
// call that was open when the node's list came may be answered with an older one.
func (s *schedule) isNewer(c *call, generation int64) bool {
	if c.addressNumber != s.listAddressNumber {
		return c.addressNumber > s.listAddressNumber
	}
	return c.number > s.lastCallBeforeList || generation > s.generation
}

// scheduleRetry sets the time of the call that follows one without an answer.
func (s *schedule) scheduleRetry(c *call, now time.Duration) {
	wasConnected := s.connected
	s.connected = false
	s.failing = true
	s.nextCallAt = now + s.retryDelay(wasConnected, now-c.startedAt)
}

// retryDelay returns the delay after a call without an answer, given how long it took and whether
// the call before had an answer.
func (s *schedule) retryDelay(wasConnected bool, took time.Duration) time.Duration {
	switch {
	case !s.timing.Polled:
		return s.backoff.Next()
	case wasConnected:
		// Nodes often fail together, so their next calls are spread over the jitter window, or
		// over what is left of NotificationDeadline if that is shorter.
		left := NotificationDeadline - pollResponseAllowance - took
		return s.uniform(max(min(s.timing.JitterWindow, left), 0))
	}
	interval := (1 - pollIntervalJitter*s.rand.Float64()) * float64(s.timing.PollInterval)
	return max(time.Duration(interval)-took, 0)
}

// setCurrentLate makes way for another current call. At the limit on late calls the older ones
// stay open, as they are the next that a slow service answers.
func (s *schedule) setCurrentLate() {
	if len(s.late) < maxLateCalls {
		s.late = append(s.late, s.current)
	} else {
		s.abandon(s.current)
	}
	s.current = nil
}

// removeLate removes a call from the late ones and reports whether it was one of them.
func (s *schedule) removeLate(c *call) bool {
	i := slices.Index(s.late, c)
	if i < 0 {
		return false
	}
	s.late = slices.Delete(s.late, i, i+1)
	return true
}

// abandonLate abandons the late calls that match.
func (s *schedule) abandonLate(matches func(*call) bool) {
	s.late = slices.DeleteFunc(s.late, func(c *call) bool {
		if !matches(c) {
			return false
		}
		s.abandon(c)
		return true
	})
}

// uniform returns a random duration, uniformly distributed between 0 and window.
func (s *schedule) uniform(window time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(window))
}
