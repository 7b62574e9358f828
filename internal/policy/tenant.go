package policy

import (
	"math"
	"time"
)

const (
	minInterval        = 500 * time.Millisecond // shorter ones cost more counter calls than they tell
	maxInterval        = 10 * time.Second       // longer ones follow a shift of traffic too late
	maxIdleIntervals   = 4                      // intervals without a request after which a tenant is forgotten
	initialDemandShare = 0.5                    // part of the quota that a new tenant is taken to ask for
	unitTolerance      = 1e-9                   // units; sums of fractions miss whole numbers by less
)

// tenantState is what this gateway knows of one tenant's use of its plan.
type tenantState struct {
	key      uint64
	plan     *Plan
	gateways float64 // gateways that share the tenant's requests

	largestRequest   float64 // units of the largest request seen
	maxRequestUnits  float64 // units of the largest possible request; 0: not known
	sharedBucketUsed bool    // a request was decided by the shared bucket before
	inFlight         int     // attempts without an outcome

	interval              time.Duration // for which an allocation holds
	intervalIndex         int64         // of the running interval, counted from the clock's epoch
	intervalsSinceRequest int           // ended since the last request
	offered               float64       // units of the running interval, those of rejected requests included
	reported              float64       // the part of offered that a call for spare quota has added already
	localDemand           float64       // units an interval offered here, smoothed
	fleetDemand           float64       // units an interval offered to all gateways, smoothed
	totalStale            bool          // the last total failed, or none came yet
	lastOverQuotaInterval int64         // the last interval whose running total exceeded the quota

	allocation   float64 // units of the quota that this gateway may admit in one interval
	tokens       float64 // units left in the allocation's token bucket
	refilledAt   Time    // when tokens and those of the hard limit were brought up to date
	hardLimit    hardLimitShare
	sharedBucket bucketReading
}

// tenant returns the state of a request's tenant, creating it for a new one.
func (g *Gateway) tenant(ev RequestReceived) *tenantState {
	t := g.tenants[ev.Tenant]
	if t == nil {
		t = g.newTenantState(ev)
		if g.settings.CounterEnabled && t.plan.HardLimitRate > 0 {
			g.requestIncarnationRecord()
		}
		g.tenants[t.key] = t
		if g.settings.CounterEnabled && (t.plan.Rate > 0 || t.plan.MaxConcurrent > 0) {
			t.intervalIndex = t.intervalIndexAt(g.now)
			g.startIntervalTimer(t)
		}
	}
	t.largestRequest = max(t.largestRequest, ev.Units)
	t.intervalsSinceRequest = 0
	return t
}

// newTenantState returns the state of a tenant of which nothing is known: it starts with an
// even share of the quota.
func (g *Gateway) newTenantState(ev RequestReceived) *tenantState {
	plan := &g.settings.Plans[ev.Plan]
	t := &tenantState{
		key:             ev.Tenant,
		plan:            plan,
		gateways:        float64(max(ev.TenantGateways, 1)),
		interval:        plan.allocationInterval(),
		refilledAt:      g.now,
		totalStale:      true,
		largestRequest:  ev.Units,
		maxRequestUnits: g.settings.MaxRequestUnits,
	}
	t.fleetDemand = initialDemandShare * t.quota()
	t.localDemand = t.fleetDemand / t.gateways
	t.updateAllocation()
	t.tokens = t.tokenCapacity()
	t.hardLimit = newHardLimitShare(plan, t.gateways, t.usesSharedBucket())
	if !g.incarnation.isFirst {
		t.hardLimit.withhold(g.now-g.incarnation.startedAt, t.usesSharedBucket())
	}
	return t
}

// allocationInterval returns for how long one allocation of the plan's quota holds: as long as a
// full burst takes to refill, within bounds.
func (p *Plan) allocationInterval() time.Duration {
	interval := maxInterval / 2
	if p.Rate > 0 {
		interval = time.Duration(p.Burst / p.Rate * float64(time.Second))
	}
	return min(max(interval, minInterval), maxInterval)
}

// quota returns the units that all gateways together may admit in one interval.
func (t *tenantState) quota() float64 { return t.plan.Rate * t.interval.Seconds() }

// planShare returns the part of the tenant's plan that is this gateway's, at most 1.
func (t *tenantState) planShare() float64 {
	if quota := t.quota(); quota > 0 {
		return min(t.allocation/quota, 1)
	}
	return t.allocation
}

// tokenCapacity returns what the allocation's token bucket holds: its share of the
// burst, but never less than a request.
func (t *tenantState) tokenCapacity() float64 {
	return min(t.plan.Burst, max(t.planShare()*t.plan.Burst, t.largestRequest))
}

// refill brings the tokens of the allocation and of the hard limit up to now.
func (t *tenantState) refill(now Time) {
	elapsed := (now - t.refilledAt).Seconds()
	t.refilledAt = now
	t.tokens = min(t.tokenCapacity(), t.tokens+elapsed*t.planShare()*t.plan.Rate)
	t.hardLimit.refill(elapsed, t.usesSharedBucket())
}

// canEvict reports whether the state holds nothing that a new one would not: no
// request came lately, none is in flight and the token buckets are full.
func (t *tenantState) canEvict() bool {
	return t.intervalsSinceRequest >= maxIdleIntervals && t.inFlight == 0 &&
		t.tokens >= t.tokenCapacity()-unitTolerance && t.hardLimit.full(t.usesSharedBucket())
}

// admits reports whether the allocation's tokens, the hard limit and the limit on
// concurrent attempts have capacity for a request.
func (t *tenantState) admits(units float64, isRetry bool) bool {
	needed := units - unitTolerance
	if isRetry { // first attempts go first: a retry has used up part of its objective and is often late
		needed += retryReserve * (t.tokenCapacity() - units)
	}
	return (t.plan.Rate == 0 || t.tokens >= needed) && t.withinLimits(units)
}

// withinLimits reports whether this gateway's shares of the hard limit and of the limit
// on concurrent attempts have capacity.
func (t *tenantState) withinLimits(units float64) bool {
	return t.hardLimit.allows(units) && t.withinConcurrencyLimit()
}

// withinConcurrencyLimit reports whether one more attempt may be in flight.
func (t *tenantState) withinConcurrencyLimit() bool {
	if t.plan.MaxConcurrent == 0 {
		return true
	}
	return t.inFlight < max(1, int(math.Round(t.planShare()*float64(t.plan.MaxConcurrent))))
}
