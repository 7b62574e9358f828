package policy

import (
	"math"
	"time"
)

const (
	demandSmoothingFactor = 0.5         // weight of the newest interval: few units are mostly chance
	minAllocationShare    = 0.7         // least part of the even split: no allocation of zero
	uncoordinatedMultiple = 2.0         // times the even share, for allocations whose totals are not read
	totalTolerance        = 1e-6        // part by which a total may miss what was added, from rounding
	totalTTLMargin        = time.Second // for which the counter keeps an interval's total beyond two intervals
	maxTotalTTL           = time.Minute // for which it is kept at most
)

// intervalPhase shifts a tenant's interval ends, alike at all gateways, to spread the
// load on the counter.
func (t *tenantState) intervalPhase() Time { return Time(splitMix64(t.key) % uint64(t.interval)) }

// sinceFirstInterval returns the time since the tenant's interval 0 began, near the
// clock's epoch.
func (t *tenantState) sinceFirstInterval(now Time) Time { return now - t.intervalPhase() }

// intervalIndexAt returns the index of the interval that runs at a time.
func (t *tenantState) intervalIndexAt(now Time) int64 {
	return int64(t.sinceFirstInterval(now) / t.interval)
}

// intervalKey returns the counter key of the units offered in an interval, and for how
// long the counter keeps them.
func (t *tenantState) intervalKey(index int64) (key uint64, ttl time.Duration) {
	return splitMix64(t.key^splitMix64(uint64(index))) >> 1, min(2*t.interval+totalTTLMargin, maxTotalTTL)
}

// startIntervalTimer starts the timer for the end of the running interval. The clocks
// of the gateways must agree within the counter's timeout.
func (g *Gateway) startIntervalTimer(t *tenantState) {
	end := t.intervalPhase() + Time(t.intervalIndex+1)*t.interval
	g.startTimer(end-g.now, func() { g.endInterval(t) })
}

// endInterval begins a tenant's next interval and reports the one that ended.
func (g *Gateway) endInterval(t *tenantState) {
	index, offered := t.intervalIndex, t.offered
	unreported := t.offered - t.reported
	t.beginInterval(index + 1)
	t.refill(g.now)
	t.intervalsSinceRequest++
	if offered == 0 && t.canEvict() {
		delete(g.tenants, t.key)
		return
	}
	g.startIntervalTimer(t)
	if offered == 0 {
		t.localDemand *= 1 - demandSmoothingFactor
		t.updateAllocation()
		return
	}
	if g.counterBudget.skipsInterval(index) {
		return
	}
	report := &intervalReport{gateway: g, tenant: t, offered: offered, unreported: unreported}
	report.key, report.ttl = t.intervalKey(index)
	report.start()
}

func (t *tenantState) beginInterval(index int64) {
	t.intervalIndex = index
	t.offered = 0
	t.reported = 0
}

// intervalReport adds what was offered in an ended interval to the fleet's total and
// reads that total after a grace, when the other gateways have added theirs.
type intervalReport struct {
	gateway    *Gateway
	tenant     *tenantState
	key        uint64
	ttl        time.Duration
	offered    float64 // units offered in the interval
	unreported float64 // the part that was not added during the interval
	notAdded   float64 // units whose addition failed
}

func (r *intervalReport) start() {
	g := r.gateway
	if r.unreported > 0 {
		g.addToCounter(r.key, r.unreported, r.ttl, r.onAddReply)
	}
	g.startTimer(g.settings.CounterTimeout, r.readTotal)
}

// onAddReply takes the reply to the addition.
func (r *intervalReport) onAddReply(reply CounterReplied) {
	if reply.neverAdded() {
		r.notAdded = r.unreported
	}
}

// readTotal asks for the total, and makes up for an addition that failed.
func (r *intervalReport) readTotal() {
	r.gateway.addToCounter(r.key, r.notAdded, r.ttl, func(reply CounterReplied) {
		r.tenant.applyIntervalTotal(r.gateway.now, r.offered, reply)
	})
}

// applyIntervalTotal derives the next allocation from an interval's total. A counter that does
// not answer, or that lost what was added here, leaves the demand as it was.
func (t *tenantState) applyIntervalTotal(now Time, offered float64, reply CounterReplied) {
	t.refill(now)
	t.totalStale = reply.Outcome != Succeeded || reply.Total < offered*(1-totalTolerance)
	if !t.totalStale {
		t.localDemand += demandSmoothingFactor * (offered - t.localDemand)
		t.fleetDemand += demandSmoothingFactor * (reply.Total - t.fleetDemand)
	}
	t.updateAllocation()
}

// updateAllocation sets the allocation from the demand. The token bucket keeps how full
// it is.
func (t *tenantState) updateAllocation() {
	capacityBefore := t.tokenCapacity()
	target, limit := t.targetAllocation()
	t.allocation = min(max(target, minAllocationShare*limit/t.gateways), limit)
	if capacityBefore > 0 {
		t.tokens *= t.tokenCapacity() / capacityBefore
	}
}

// targetAllocation returns the allocation by demand alone, and the whole that all
// gateways share: the local share of the fleet's demand while that exceeds the quota,
// else the local demand and a part of what the fleet leaves.
func (t *tenantState) targetAllocation() (target, limit float64) {
	quota := t.quota()
	switch {
	case quota == 0: // no rate: the allocation is a bare share, for the limit on concurrent attempts
		if t.fleetDemand > 0 {
			return t.localDemand / t.fleetDemand, 1
		}
		return 1 / t.gateways, 1
	case t.usesSharedBucket(): // totals of such tenants are not read: some of what the others leave
		return uncoordinatedMultiple * quota / t.gateways, quota
	case t.fleetDemand > quota:
		return t.localDemand / t.fleetDemand * quota, quota
	}
	spareShare := 1 / t.gateways // an even one while totals fail
	if !t.totalStale {
		spareShare = math.Sqrt(spareShare) // bursts seldom meet
	}
	return t.localDemand + (quota-t.fleetDemand)*spareShare, quota
}
