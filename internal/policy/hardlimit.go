package policy

import "time"

const distributedHardLimitFraction = 0.98 // fraction of the hard limit that is shared out; the rest covers rounding

// hardLimitShare is this gateway's local share of a tenant's hard limit: a token bucket
// that needs no counter. The shares of all gateways add up to at most the limit, so that
// it holds whether or not the gateways know of each other's use.
//
// A gateway does not know how much of its share an earlier incarnation (run of its process)
// spent shortly before this one started, and the counter cannot tell, because it may have lost
// what it was told. So the share of a new incarnation starts empty, as if all had been spent.
//
// If the shared bucket admits the tenant's requests, the units that it grants are already
// limited by the quota; the shares then divide only the part of the limit above the quota.
type hardLimitShare struct {
	plan     *Plan
	gateways float64 // number of gateways that share the limit
	tokens   float64 // units left
}

// newHardLimitShare returns a share that nothing was taken from since the incarnation started,
// uptime ago.
func newHardLimitShare(plan *Plan, gateways float64, uptime time.Duration, sharedBucket bool) hardLimitShare {
	s := hardLimitShare{plan: plan, gateways: gateways}
	s.refill(uptime.Seconds(), sharedBucket)
	return s
}

// capacity returns this gateway's share of the limit's burst and tolerance in units.
func (s *hardLimitShare) capacity(sharedBucket bool) float64 {
	total := s.plan.HardLimitBurst + s.plan.HardLimitTolerance
	if sharedBucket {
		total = max(total-s.plan.Burst, 0)
	}
	return total / s.gateways * distributedHardLimitFraction
}

// refillRate returns the units that the share gains per second.
func (s *hardLimitShare) refillRate(sharedBucket bool) float64 {
	total := s.plan.HardLimitRate
	if sharedBucket {
		total = max(total-s.plan.Rate, 0)
	}
	return total / s.gateways * distributedHardLimitFraction
}

// refill adds the units that the share gains in elapsed seconds.
func (s *hardLimitShare) refill(elapsed float64, sharedBucket bool) {
	s.tokens = min(s.capacity(sharedBucket), s.tokens+elapsed*s.refillRate(sharedBucket))
}

// allows reports whether there is no hard limit or the share holds the units.
func (s *hardLimitShare) allows(units float64) bool {
	return s.plan.HardLimitRate == 0 || s.tokens >= units
}

// take spends units of the share.
func (s *hardLimitShare) take(units float64) { s.tokens -= units }

// full reports whether the share holds as many units as it can.
func (s *hardLimitShare) full(sharedBucket bool) bool {
	return s.tokens >= s.capacity(sharedBucket)-unitTolerance
}
