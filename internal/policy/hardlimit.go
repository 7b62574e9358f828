package policy

import "time"

const hardLimitMargin = 0.98 // part of the hard limit's share in use, against rounding

// hardLimitShare is this gateway's local share of a tenant's hard limit: a token bucket
// that needs no counter. The shares of all gateways add up to the limit, so that it
// holds whatever the gateways know of each other.
//
// Where the tenant's quota is admitted by the shared bucket, that one bounds what it
// grants: the shares are then of the rest of the limit only.
type hardLimitShare struct {
	plan     *Plan
	gateways float64
	tokens   float64 // units left
	withheld float64 // units that an earlier incarnation may have spent
}

// newHardLimitShare returns a full share.
func newHardLimitShare(plan *Plan, gateways float64, sharedBucket bool) hardLimitShare {
	s := hardLimitShare{plan: plan, gateways: gateways}
	s.tokens = s.capacity(sharedBucket)
	return s
}

// capacity returns this gateway's part of the limit's burst and tolerance.
func (s *hardLimitShare) capacity(sharedBucket bool) float64 {
	total := s.plan.HardLimitBurst + s.plan.HardLimitTolerance
	if sharedBucket {
		total = max(total-s.plan.Burst, 0)
	}
	return total / s.gateways * hardLimitMargin
}

// refillRate returns the units that the share gains in a second.
func (s *hardLimitShare) refillRate(sharedBucket bool) float64 {
	total := s.plan.HardLimitRate
	if sharedBucket {
		total = max(total-s.plan.Rate, 0)
	}
	return total / s.gateways * hardLimitMargin
}

// refill adds what the share gained in some seconds.
func (s *hardLimitShare) refill(elapsed float64, sharedBucket bool) {
	s.tokens = min(s.capacity(sharedBucket), s.tokens+elapsed*s.refillRate(sharedBucket))
}

// withhold takes an earlier incarnation to have spent the whole share before this one
// started: what it truly spent is not known. Only what the uptime refilled is left.
func (s *hardLimitShare) withhold(uptime time.Duration, sharedBucket bool) {
	s.tokens = min(s.tokens, uptime.Seconds()*s.refillRate(sharedBucket))
	s.withheld = s.capacity(sharedBucket) - s.tokens
}

// release gives back what was withheld: there was no earlier incarnation.
func (s *hardLimitShare) release() {
	s.tokens += s.withheld
	s.withheld = 0
}

// allows reports whether there is no hard limit or the share holds the units.
func (s *hardLimitShare) allows(units float64) bool {
	return s.plan.HardLimitRate == 0 || s.tokens >= units
}

// take spends units of the share.
func (s *hardLimitShare) take(units float64) { s.tokens -= units }

// full reports whether the share is as full as a new one.
func (s *hardLimitShare) full(sharedBucket bool) bool {
	return s.tokens >= s.capacity(sharedBucket)-unitTolerance
}
