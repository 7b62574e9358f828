package discovery

import (
	"math/rand/v2"
	"time"

	"swiftpitch/internal/backoff"
)

// immediatePollWait is the long-poll wait of the first call to an address and of a call after a
// failed one. Discovery answers it at once, so a hung call is detected without a long-poll wait.
const immediatePollWait = time.Millisecond

// randomStream separates the random numbers of the schedule from other streams of the seed.
const randomStream = 0x646973636f

// schedule decides when a node calls discovery, what it asks for, and with which timeout. It
// uses neither sockets nor a clock, and is not safe for concurrent use.
type schedule struct {
	timing     Timing
	rand       *rand.Rand
	backoff    backoff.Backoff // used unless discovery is polled
	address    string          // of the last call
	generation int64           // version of the list
	hasList    bool            // a list with this version is known
	connected  bool            // the last call succeeded
}

// newSchedule returns a schedule that continues from a cached list: the first call asks for
// what changed after its version. If the list is empty, the first call asks for the full list.
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

// next returns the next call to an address. If delay is positive, there is no call yet: the
// caller waits that long and asks again.
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

// changeAddress records that the next call goes to a new address.
func (s *schedule) changeAddress(address string) {
	if s.address != "" { // another service numbers its versions independently
		s.hasList = false
	}
	s.address = address
	s.connected = false
	s.backoff.Reset()
}

// longPollWait returns how long discovery may hold the next call. It is random if discovery is
// polled.
func (s *schedule) longPollWait() time.Duration {
	if !s.timing.Polled {
		return s.timing.LongPollWait
	}
	fraction := MinLongPollWaitFraction + (1-MinLongPollWaitFraction)*s.rand.Float64()
	return time.Duration(fraction * float64(s.timing.LongPollWait))
}

// succeeded records a successful call and the version of the list that it returned.
func (s *schedule) succeeded(generation int64) {
	s.generation = generation
	s.hasList = true
	s.connected = true
	s.backoff.Reset()
}

// failed records a failed call and returns the delay before the next one, given how long the
// call took.
func (s *schedule) failed(took time.Duration) time.Duration {
	wasConnected := s.connected
	s.connected = false
	switch {
	case !s.timing.Polled:
		return s.backoff.Next()
	case wasConnected:
		// Nodes often fail together, so their next calls are spread over the jitter window, or
		// over what is left of NotificationDeadline if that is shorter.
		left := NotificationDeadline - PollResponseAllowance - took
		return s.uniform(max(min(s.timing.JitterWindow, left), 0))
	}
	interval := (1 - PollIntervalJitter*s.rand.Float64()) * float64(s.timing.PollInterval)
	return max(time.Duration(interval)-took, 0)
}

// uniform returns a random duration, uniformly distributed between 0 and window.
func (s *schedule) uniform(window time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(window))
}
