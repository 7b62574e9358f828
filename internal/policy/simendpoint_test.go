package policy_test

import (
	"math"
	"time"

	"swiftpitch/internal/policy"
)

// simEndpoint is an endpoint that serves its requests in the order of their arrival, at a speed
// given by its slow-start factor. It skips requests that have timed out before their turn.
type simEndpoint struct {
	policy.Endpoint
	fleet         *simFleet
	crashed       bool
	hangs         bool            // accepts requests but does not work on them
	coreFreeAt    []time.Duration // by core, when it has done the requests received so far
	waiting       int
	utilization   float64 // moving average of the share of time that it is busy
	utilizationAt time.Duration
	received      []time.Duration // arrival times of requests since the last start, for peakLoadRatio
}

// slowStartFactor returns the share of its full capacity that the endpoint has at a time.
func (e *simEndpoint) slowStartFactor(at time.Duration) float64 {
	settings := &e.fleet.settings
	if e.StartedAt == 0 || at >= e.StartedAt+settings.SlowStartDuration {
		return 1
	}
	return settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*max((at-e.StartedAt).Seconds(), 0)/settings.SlowStartDuration.Seconds()
}

// receive queues an attempt of a class that times out at until. It calls end with the attempt's
// outcome, unless the attempt times out before its turn or the endpoint has crashed.
func (e *simEndpoint) receive(class int, until time.Duration, end func(policy.Outcome)) {
	f := e.fleet
	if e.crashed || e.hangs {
		return
	}
	e.received = append(e.received, f.Now)
	if e.waiting >= f.maxQueue {
		f.After(simOneWayLatency, func() { end(policy.Overloaded) })
		return
	}
	e.waiting++
	core := &e.coreFreeAt[0]
	for i := range e.coreFreeAt {
		if e.coreFreeAt[i] < *core {
			core = &e.coreFreeAt[i]
		}
	}
	begin := max(*core, f.Now)
	if begin >= until { // it will have timed out
		f.After(begin-f.Now, func() { e.waiting-- })
		return
	}
	work := time.Duration(f.rng.ExpFloat64() * float64(f.meanWork[class]) / e.slowStartFactor(begin))
	*core = begin + work
	f.After(*core-f.Now, func() { e.serve(work, until, end) })
}

// serve finishes an attempt, which times out at until, after its service time.
func (e *simEndpoint) serve(work, until time.Duration, end func(policy.Outcome)) {
	f := e.fleet
	if f.Now+simOneWayLatency <= until {
		f.workDone += work
	}
	e.waiting--
	decay := math.Exp(-(f.Now - e.utilizationAt).Seconds())
	e.utilization = min(e.utilization*decay+work.Seconds()/float64(f.cores), 1)
	e.utilizationAt = f.Now
	if !e.crashed {
		f.After(simOneWayLatency, func() { end(policy.Succeeded) })
	}
}

// restart replaces the endpoint's process by a new one with the same ID.
func (e *simEndpoint) restart() policy.Endpoint {
	e.crashed, e.StartedAt, e.received, e.State = false, e.fleet.Now, nil, policy.Serving
	clear(e.coreFreeAt) // nothing is left of the old process's work
	return e.Endpoint
}

// peakLoadRatio returns the peak load ratio of this endpoint, see [simFleet.peakLoadRatio].
func (e *simEndpoint) peakLoadRatio() (peak float64) {
	settings := &e.fleet.settings
	first := 0
	for i, at := range e.received {
		for e.received[first] <= at-settings.OverloadDuration {
			first++
		}
		begin := max(at-settings.OverloadDuration, e.StartedAt)
		factor := e.slowStartFactor(begin)
		if factor >= 1 {
			break
		}
		n := settings.OverloadMultiple * factor * simCapacity * settings.OverloadDuration.Seconds()
		peak = max(peak, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return peak
}
