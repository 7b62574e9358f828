package policy

import (
	"math"
	"time"
)

const (
	minInterval        = 500 * time.Millisecond // shorter intervals have too few requests to measure demand, and need more counter calls
	maxInterval        = 10 * time.Second       // longer intervals adapt to a shift of traffic too late
	maxIdleIntervals   = 4                      // intervals without a request after which a tenant's state may be dropped; less while there are many tenants
	initialDemandShare = 0.5                    // assumed fleet-wide demand of a new tenant, as a fraction of its quota
	unitTolerance      = 1e-9                   // units; above the rounding error of sums of fractional units
)

// tenantState is what this gateway knows about one tenant's use of its plan.
type tenantState struct {
	key      uint64
	plan     *Plan
	gateways float64 // number of gateways that receive the tenant's requests

	largestRequest   float64 // units of the largest request seen
	maxRequestUnits  float64 // units of the largest possible request; 0: not known
	sharedBucketUsed bool    // an earlier request was handled by admitBySharedBucket
	inFlight         int     // attempts without an outcome

	interval              time.Duration // time for which an allocation is valid
	intervalIndex         int64         // index of the running interval, counted from the clock's epoch
	intervalsSinceRequest int           // intervals that ended since the last request
	lastRequestAt         Time
	offered               float64 // units offered here in the running interval; includes rejected requests
	reported              float64 // part of offered that spare quota calls have already added to the counter
	localDemand           float64 // units offered here per interval, smoothed
	fleetDemand           float64 // units offered at all gateways per interval, smoothed
	totalStale            bool    // no total was read yet, or the last one was unusable
	lastOverQuotaInterval int64   // index of the last interval whose running total left no usable quota

	allocation   float64 // units of the quota that this gateway may admit in one interval
	tokens       float64 // units left in the allocation's token bucket
	refilledAt   Time    // last refill of tokens and of the hard limit's bucket
	hardLimit    hardLimitShare
	sharedBucket bucketReading // last reading of the tenant's bucket at the counter
}

// tenant returns the state of a request's tenant, which it creates for a new tenant. It returns
// nil if there is no room for a new tenant.
func (g *Gateway) tenant(ev RequestReceived) *tenantState {
	t := g.tenants.byKey[ev.Tenant]
	if t == nil {
		t = g.addTenant(ev)
	}
	if t == nil {
		return nil
	}
	t.largestRequest = max(t.largestRequest, ev.Units)
	t.intervalsSinceRequest = 0
	t.lastRequestAt = g.now
	return t
}

// addTenant creates the state of a new tenant, or returns nil if there is no room for it.
func (g *Gateway) addTenant(ev RequestReceived) *tenantState {
	g.tenants.evictUntimed(g.now)
	if g.tenants.full() {
		return nil
	}
	t := g.newTenantState(ev)
	timed := g.settings.CounterEnabled && (t.plan.Rate > 0 || t.plan.MaxConcurrent > 0)
	g.tenants.add(t, timed)
	if timed {
		t.intervalIndex = t.intervalIndexAt(g.now)
		g.startIntervalTimer(t)
	}
	return t
}

// newTenantState returns the state of a tenant that is new or whose state was dropped. The
// state starts with an even share of the quota, or uncoordinatedMultiple times that if the
// tenant uses the shared bucket.
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
	t.hardLimit = newHardLimitShare(plan, t.gateways, g.now-g.startedAt, t.usesSharedBucket())
	return t
}

// allocationInterval returns how long one allocation of the plan's quota is valid: the time
// in which the quota's bucket refills, between minInterval and maxInterval.
func (p *Plan) allocationInterval() time.Duration {
	interval := maxInterval / 2
	if p.Rate > 0 {
		interval = time.Duration(p.Burst / p.Rate * float64(time.Second))
	}
	return min(max(interval, minInterval), maxInterval)
}

// quota returns the units that all gateways together may admit in one interval.
func (t *tenantState) quota() float64 { return t.plan.Rate * t.interval.Seconds() }

// planShare returns the fraction of the tenant's plan that is allocated to this gateway, at
// most 1.
func (t *tenantState) planShare() float64 {
	if quota := t.quota(); quota > 0 {
		return min(t.allocation/quota, 1)
	}
	return t.allocation
}

// tokenCapacity returns the capacity of the allocation's token bucket in units: its share
// of the burst, but no less than the largest request as far as the burst allows.
func (t *tenantState) tokenCapacity() float64 {
	return min(t.plan.Burst, max(t.planShare()*t.plan.Burst, t.largestRequest))
}

// refill adds the tokens gained since the last refill to the allocation's bucket and to the
// hard limit's.
func (t *tenantState) refill(now Time) {
	elapsed := (now - t.refilledAt).Seconds()
	t.refilledAt = now
	t.tokens = min(t.tokenCapacity(), t.tokens+elapsed*t.planShare()*t.plan.Rate)
	t.hardLimit.refill(elapsed, t.usesSharedBucket())
}

// isIdle reports whether at least idleIntervals intervals have ended since the tenant's last
// request, none of its attempts is in flight, and the allocation's token bucket is full, so that
// dropping the state forgets no units that were spent.
func (t *tenantState) isIdle(idleIntervals int) bool {
	return t.intervalsSinceRequest >= idleIntervals && t.inFlight == 0 && t.tokens >= t.tokenCapacity()-unitTolerance
}

// admits reports whether the allocation's tokens, the hard limit and the limit on
// concurrent attempts have capacity for a request.
func (t *tenantState) admits(units float64) bool {
	return (t.plan.Rate == 0 || t.tokens >= units-unitTolerance) && t.withinLimits(units)
}

// withinLimits reports whether this gateway's shares of the hard limit and of the limit
// on concurrent attempts have capacity.
func (t *tenantState) withinLimits(units float64) bool {
	return t.hardLimit.allows(units) && t.withinConcurrencyLimit()
}

// withinConcurrencyLimit reports whether this gateway's share of the limit on concurrent
// attempts, at least 1, allows one more.
func (t *tenantState) withinConcurrencyLimit() bool {
	if t.plan.MaxConcurrent == 0 {
		return true
	}
	return t.inFlight < max(1, int(math.Round(t.planShare()*float64(t.plan.MaxConcurrent))))
}
