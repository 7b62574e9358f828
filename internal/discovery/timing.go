package discovery

import (
	"time"

	"swiftpitch/internal/config"
)

// NotificationDeadline is how long after discovery had a change and could be reached the
// node counts as notified, whatever became of the calls meanwhile. What a node spends on a
// call that fails, on the wait after it and on the next call has to fit.
const NotificationDeadline = 6 * time.Second

// The durations of a watch, where discovery pushes changes to an agent on this machine. The
// agent's responses cost nothing, and a change counts as notified once the agent has it,
// with or without a watch. So a new process calls at once, and after a failed call the wait is a
// part of the drain grace, for which an endpoint that drains may still get requests.
const (
	// WatchLongPollWait is how long the agent may hold a watch.
	WatchLongPollWait = 4 * time.Second
	// watchResponseMargin is how long past the long-poll wait, or after a call that is not
	// held, the agent counts as silent.
	watchResponseMargin = time.Second

	// The bound of the first backoff is the drain grace over minBackoffDivisor, but at most
	// minBackoffCeiling, and at least minBackoffFloor so that an agent that is down is not
	// called without end.
	minBackoffDivisor = 4
	minBackoffCeiling = 100 * time.Millisecond
	minBackoffFloor   = 10 * time.Millisecond
	// The bound of any backoff is at most the drain grace over maxBackoffDivisor, and at most
	// maxBackoffFactor times that of the first.
	maxBackoffDivisor = 2
	maxBackoffFactor  = 4
)

// The durations of polling, where discovery is one service for the whole fleet. It works on
// calls in turn, also on those whose callers have given up, and rejects what has waited too
// long. Nodes that start, move or fail together spread their first calls over a jitter
// window; after that each calls once in an interval that hardly varies, so that they stay
// spread, and a node calls again soon enough however often it failed. A service that
// answers the fleet once in two thirds of NotificationDeadline keeps no standing queue.
const (
	// jitterWindowPerNode is the mean time between two nodes' first calls.
	jitterWindowPerNode = 80 * time.Millisecond
	// MaxJitterWindow is the longest time over which first calls are spread: after SIGHUP a
	// node counts as notified in 4 s.
	MaxJitterWindow = 3500 * time.Millisecond
	// pollIntervalFactor is how many jitter windows a poll interval has.
	pollIntervalFactor = 4
	// MaxPollInterval is the longest poll interval, from call to call after a failure.
	MaxPollInterval = 4 * time.Second
	// PollIntervalJitter is the random part of the poll interval.
	PollIntervalJitter = 0.15
	// PollResponseAllowance is what the waits leave of NotificationDeadline for a response,
	// its way and its use.
	PollResponseAllowance = 1800 * time.Millisecond
	// pollTimeout is when a call is given up. It is longer than PollResponseAllowance, and
	// makes no poll interval longer. Giving up earlier would save nothing, as the service
	// works on the call anyway, and early in a jitter window there is time for a longer queue.
	pollTimeout = 2500 * time.Millisecond

	// pollLongPollWait is the longest that a call is held. Each is held for a random time, so
	// that calls that fall silent together are found so at different times; to renew a call
	// that was held costs the service nothing.
	pollLongPollWait = 2 * time.Second
	// MinLongPollWaitFraction is the shortest, as a fraction of the longest.
	MinLongPollWaitFraction = 0.2
	// pollResponseMargin is how long past its long-poll wait a call counts as silent.
	pollResponseMargin = 500 * time.Millisecond
)

// Timing holds the durations of the calls to discovery.
type Timing struct {
	Polled         bool          // discovery is one service for the fleet, else an agent on this machine
	LongPollWait   time.Duration // the longest that discovery may hold a call
	ResponseMargin time.Duration // past the long-poll wait, after which a held call has failed
	CallTimeout    time.Duration // after which a call that is not held has failed

	// Polled only.

	JitterWindow time.Duration // over which nodes that start, move or fail together begin to call
	PollInterval time.Duration // from the beginning of a failed call to that of the next

	// Not polled only.

	MinBackoff time.Duration // bound of the first backoff after a failed call
	MaxBackoff time.Duration // bound of the longest
}

// NewTiming returns the durations for the settings of a node.
func NewTiming(settings *config.Settings) Timing {
	if settings.DiscoveryMode == config.DiscoveryPolled {
		return newPollTiming(settings.Gateways)
	}
	return newWatchTiming(settings.EndpointRules.DrainGrace)
}

func newPollTiming(gateways int) Timing {
	window := min(time.Duration(gateways)*jitterWindowPerNode, MaxJitterWindow)
	return Timing{
		Polled:         true,
		LongPollWait:   pollLongPollWait,
		ResponseMargin: pollResponseMargin,
		CallTimeout:    pollTimeout,
		JitterWindow:   window,
		PollInterval:   min(pollIntervalFactor*window, MaxPollInterval),
	}
}

func newWatchTiming(drainGrace time.Duration) Timing {
	minBackoff := max(min(minBackoffCeiling, drainGrace/minBackoffDivisor), minBackoffFloor)
	return Timing{
		LongPollWait:   WatchLongPollWait,
		ResponseMargin: watchResponseMargin,
		CallTimeout:    watchResponseMargin,
		MinBackoff:     minBackoff,
		MaxBackoff:     max(min(maxBackoffFactor*minBackoff, drainGrace/maxBackoffDivisor), minBackoff),
	}
}
