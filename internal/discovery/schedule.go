package discovery

import (
	"math/rand/v2"
	"time"

	"swiftpitch/internal/backoff"
)

// immediatePollWait is the long-poll wait of a call after a failed one, which is in effect not
// held: a hung call would cost the wait as well.
const immediatePollWait = time.Millisecond

// randomStream keeps the random numbers of the schedule apart from others of the same seed.
const randomStream = 0x646973636f

// schedule decides when a node calls discovery, for what, and with which timeout. It knows
// neither sockets nor a clock, and is not safe for concurrent use.
type schedule struct {
	timing     Timing
	rand       *rand.Rand
	backoff    backoff.Backoff // of a watch
	address    string          // of the last call
	generation int64           // version of the list
	hasList    bool            // there is a list
	connected  bool            // the last call succeeded
}

// newSchedule begins with the list as it was known. Its version is known too: a watch from
// there brings what was missed.
func newSchedule(timing Timing, seed uint64, cached List) *schedule {
	random := rand.New(rand.NewPCG(seed, randomStream))
	return &schedule{
		timing:     timing,
		rand:       random,
		backoff:    backoff.Backoff{Min: timing.MinBackoff, Max: timing.MaxBackoff, Rand: random},
		generation: cached.Generation,
		hasList:    len(cached.Instances) > 0,
	}
}

// next returns the next call to an address, or how long to wait before asking again if
// delay is positive.
func (s *schedule) next(address string) (next call, delay time.Duration) {
	if address != s.address {
		s.changeAddress(address)
		if s.timing.Polled {
			return call{}, s.uniform(s.timing.JitterWindow)
		}
	}
	next = call{
		fullList:     !s.hasList,
		index:        s.generation,
		longPollWait: immediatePollWait,
		timeout:      s.timing.CallTimeout,
	}
	if s.connected {
		next.longPollWait = s.longPollWait()
		next.timeout = next.longPollWait + s.timing.ResponseMargin
	}
	return next, 0
}

// changeAddress notes that the calls go to another address than before.
func (s *schedule) changeAddress(address string) {
	if s.address != "" { // another service, whose versions are its own
		s.hasList = false
	}
	s.address = address
	s.connected = false
	s.backoff.Reset()
}

// longPollWait returns how long discovery may hold the next call.
func (s *schedule) longPollWait() time.Duration {
	if !s.timing.Polled {
		return s.timing.LongPollWait
	}
	fraction := MinLongPollWaitFraction + (1-MinLongPollWaitFraction)*s.rand.Float64()
	return time.Duration(fraction * float64(s.timing.LongPollWait))
}

// succeeded takes the version of the list that a call brought.
func (s *schedule) succeeded(generation int64) {
	s.generation = generation
	s.hasList = true
	s.connected = true
	s.backoff.Reset()
}

// failed returns the wait after a call that took so long and brought nothing.
func (s *schedule) failed(took time.Duration) time.Duration {
	wasConnected := s.connected
	s.connected = false
	switch {
	case !s.timing.Polled:
		return s.backoff.Next()
	case wasConnected:
		// Nodes often fail together, so they spread their calls again; here over what is left
		// of the time since the call began.
		left := NotificationDeadline - PollResponseAllowance - took
		return s.uniform(max(min(s.timing.JitterWindow, left), 0))
	}
	interval := (1 - PollIntervalJitter*s.rand.Float64()) * float64(s.timing.PollInterval)
	return max(time.Duration(interval)-took, 0)
}

// uniform draws a duration below window.
func (s *schedule) uniform(window time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(window))
}
