package discovery

import (
	"time"

	"swiftpitch/internal/config"
)

// NotificationDeadline is the time after which a node counts as notified of a change, even if
// its calls failed meanwhile. It starts when discovery has the change and is reachable. A
// failed call, the delay after it and the next call must fit into it.
const NotificationDeadline = 6 * time.Second

// The durations of a watch, where discovery pushes changes to an agent on this machine. The
// agent's responses cost nothing, and a node counts as notified of a change once its agent has
// it, with or without a watch. So a new process calls at once, and the delay after a failed
// call is a fraction of the drain grace, the time for which a draining endpoint may still
// receive requests.
const (
	// WatchLongPollWait is how long the agent may hold a watch.
	WatchLongPollWait = 4 * time.Second
	// watchResponseMargin is how long a response may take beyond the long-poll wait before the
	// call is overdue. A call that the agent does not hold is overdue after the same time.
	watchResponseMargin = time.Second

	// The bound of the first backoff is the drain grace divided by minBackoffDivisor, limited
	// to the range from minBackoffFloor to minBackoffCeiling. The floor prevents a busy loop
	// of calls to an agent that is down.
	minBackoffDivisor = 4
	minBackoffCeiling = 100 * time.Millisecond
	minBackoffFloor   = 10 * time.Millisecond
	// The bound of any backoff is at most the drain grace divided by maxBackoffDivisor, and at
	// most maxBackoffFactor times the bound of the first.
	maxBackoffDivisor = 2
	maxBackoffFactor  = 4
)

// The durations of polling, where discovery is one service for the whole fleet. It processes
// calls one at a time, including calls whose callers have given up, and rejects calls that
// have queued too long. Nodes that start, change address or fail together spread their first
// calls over a jitter window. After that, while its calls fail, each node calls once per poll
// interval, which varies little, so that the calls stay spread and a node retries soon enough
// however often it failed. A service that can answer the whole fleet within two thirds of
// NotificationDeadline keeps no standing queue.
const (
	// jitterWindowPerNode is the mean time between successive first calls, unless
	// maxJitterWindow limits the jitter window.
	jitterWindowPerNode = 80 * time.Millisecond
	// maxJitterWindow limits the jitter window: a node counts as notified 4 s after SIGHUP,
	// so its first call to a new address must come earlier.
	maxJitterWindow = 3500 * time.Millisecond
	// pollIntervalFactor is the poll interval in jitter windows.
	pollIntervalFactor = 4
	// maxPollInterval limits the poll interval: the time from the start of a failed call to
	// the start of the next one.
	maxPollInterval = 4 * time.Second
	// pollIntervalJitter is the largest fraction by which a poll interval is shortened at
	// random.
	pollIntervalJitter = 0.15
	// pollResponseAllowance is the part of NotificationDeadline that the delays leave for a
	// call: the service's response, its transfer and its processing by the node.
	pollResponseAllowance = 1800 * time.Millisecond
	// pollOverdueAfter is the time after which a call that is not held is overdue. It is longer
	// than pollResponseAllowance: early in a jitter window there is time to wait in a longer
	// queue. It is shorter than every poll interval of a fleet of ten nodes or more. The interval
	// of a smaller fleet can be shorter; a node then calls again as soon as a call is overdue.
	pollOverdueAfter = 2500 * time.Millisecond

	// pollLongPollWait is the longest time for which a call is held. Each call is held for a
	// random time, so that nodes whose calls hang together notice it at different times.
	// Renewing a held call costs the service nothing.
	pollLongPollWait = 2 * time.Second
	// minLongPollWaitFraction is the shortest long-poll wait as a fraction of the longest.
	minLongPollWaitFraction = 0.2
	// pollResponseMargin is how long a response may take beyond the long-poll wait before the
	// call is overdue.
	pollResponseMargin = 500 * time.Millisecond
)

// Timing holds the durations of the calls to discovery.
type Timing struct {
	Polled         bool          // discovery is one service for the fleet, else an agent on this machine
	LongPollWait   time.Duration // longest time for which discovery may hold a call
	ResponseMargin time.Duration // time beyond the long-poll wait after which a held call is overdue
	OverdueAfter   time.Duration // time after which a call that is not held is overdue

	// Set only if Polled is true.

	JitterWindow time.Duration // spreads the first calls of nodes that start, change address or fail together
	PollInterval time.Duration // from the start of a failed call to the start of the next one

	// Set only if Polled is false.

	MinBackoff time.Duration // bound of the first backoff after a failed call
	MaxBackoff time.Duration // bound of every backoff
}

// NewTiming returns the durations for the settings of a node.
func NewTiming(settings *config.Settings) Timing {
	if settings.DiscoveryMode == config.DiscoveryPolled {
		return newPollTiming(settings.Gateways)
	}
	return newWatchTiming(settings.EndpointRules.DrainGrace)
}

func newPollTiming(gateways int) Timing {
	window := min(time.Duration(gateways)*jitterWindowPerNode, maxJitterWindow)
	return Timing{
		Polled:         true,
		LongPollWait:   pollLongPollWait,
		ResponseMargin: pollResponseMargin,
		OverdueAfter:   pollOverdueAfter,
		JitterWindow:   window,
		PollInterval:   min(pollIntervalFactor*window, maxPollInterval),
	}
}

func newWatchTiming(drainGrace time.Duration) Timing {
	minBackoff := max(min(minBackoffCeiling, drainGrace/minBackoffDivisor), minBackoffFloor)
	return Timing{
		LongPollWait:   WatchLongPollWait,
		ResponseMargin: watchResponseMargin,
		OverdueAfter:   watchResponseMargin,
		MinBackoff:     minBackoff,
		MaxBackoff:     max(min(maxBackoffFactor*minBackoff, drainGrace/maxBackoffDivisor), minBackoff),
	}
}
