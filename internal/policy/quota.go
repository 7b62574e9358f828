package policy

import (
	"math"
	"time"
)

const (
	demandSmoothingFactor = 0.5         // weight of the newest interval in a demand; the few units of one interval vary at random
	minAllocationShare    = 0.7         // least allocation, as a fraction of the even share (quota / gateways), so that it is never zero
	uncoordinatedMultiple = 2.0         // allocation for uncoordinated decisions of the shared bucket path, as a multiple of the even share
	totalTolerance        = 1e-6        // fraction by which rounding may leave a total below the units added
	totalTTLMargin        = time.Second // time for which the counter keeps an interval's total beyond two intervals
	maxTotalTTL           = time.Minute // limit on the time for which the counter keeps an interval's total
)

// intervalPhase returns the offset of a tenant's interval ends. It depends on the tenant's
// key only, so that all gateways agree on it and the tenants' counter calls spread over time.
func (t *tenantState) intervalPhase() Time { return Time(splitMix64(t.key) % uint64(t.interval)) }

// sinceFirstInterval returns the time since the start of the tenant's interval 0, which
// began intervalPhase after the clock's epoch.
func (t *tenantState) sinceFirstInterval(now Time) Time { return now - t.intervalPhase() }

// intervalIndexAt returns the index of the interval that contains a time.
func (t *tenantState) intervalIndexAt(now Time) int64 {
	return int64(t.sinceFirstInterval(now) / t.interval)
}

// intervalKey returns the counter key for the fleet's total of units in an interval, and
// how long the counter keeps that total.
func (t *tenantState) intervalKey(index int64) (key uint64, ttl time.Duration) {
	return splitMix64(t.key^splitMix64(uint64(index))) >> 1, min(2*t.interval+totalTTLMargin, maxTotalTTL)
}

// startIntervalTimer starts the timer for the end of the running interval. The clocks of
// the gateways must agree to within CounterTimeout, the time that the other gateways have to
// add their units before the total is read.
func (g *Gateway) startIntervalTimer(t *tenantState) {
	end := t.intervalPhase() + Time(t.intervalIndex+1)*t.interval
	g.startTimer(end-g.now, func() { g.endInterval(t) })
}

// endInterval starts a tenant's next interval and reports the units of the one that ended,
// unless there are none or the counter cannot serve all reports. It drops the state of an idle
// tenant instead.
func (g *Gateway) endInterval(t *tenantState) {
	index, offered := t.intervalIndex, t.offered
	unreported := t.offered - t.reported
	t.beginInterval(index + 1)
	t.refill(g.now)
	t.intervalsSinceRequest++
	if offered == 0 && g.tenants.canEvict(t) {
		g.tenants.remove(t)
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

// intervalReport adds the units offered here in an ended interval to the fleet's total and
// reads that total CounterTimeout later, when the other gateways have added their units.
type intervalReport struct {
	gateway    *Gateway
	tenant     *tenantState
	key        uint64
	ttl        time.Duration
	offered    float64 // units offered here in the interval
	unreported float64 // part of offered that no spare quota call has added to the counter
	notAdded   float64 // units of an addition that certainly failed
}

func (r *intervalReport) start() {
	g := r.gateway
	if r.unreported > 0 {
		g.addToCounter(r.key, r.unreported, r.ttl, r.onAddReply)
	}
	g.startTimer(g.settings.CounterTimeout, r.readTotal)
}

// onAddReply has readTotal repeat the addition if the reply proves that it failed.
func (r *intervalReport) onAddReply(reply CounterReplied) {
	if reply.neverAdded() {
		r.notAdded = r.unreported
	}
}

// readTotal reads the total and, in the same call, repeats an addition that certainly failed.
func (r *intervalReport) readTotal() {
	r.gateway.addToCounter(r.key, r.notAdded, r.ttl, func(reply CounterReplied) {
		r.tenant.applyIntervalTotal(r.gateway.now, r.offered, reply)
	})
}

// applyIntervalTotal derives the next allocation from an interval's total. The demand stays
// as it was if the counter does not answer or has lost units that were added here.
func (t *tenantState) applyIntervalTotal(now Time, offered float64, reply CounterReplied) {
	t.refill(now)
	t.totalStale = reply.Outcome != Succeeded || reply.Total < offered*(1-totalTolerance)
	if !t.totalStale {
		t.localDemand += demandSmoothingFactor * (offered - t.localDemand)
		t.fleetDemand += demandSmoothingFactor * (reply.Total - t.fleetDemand)
	}
	t.updateAllocation()
}

// updateAllocation sets the allocation from the demand. The token bucket is resized with
// it and keeps its fill level.
func (t *tenantState) updateAllocation() {
	capacityBefore := t.tokenCapacity()
	target, limit := t.targetAllocation()
	t.allocation = min(max(target, minAllocationShare*limit/t.gateways), limit)
	if capacityBefore > 0 {
		t.tokens *= t.tokenCapacity() / capacityBefore
	}
}

// targetAllocation returns the allocation by demand alone, before its bounds apply, and
// the limit that all gateways together share. While the fleet's demand exceeds the quota,
// the quota is divided in proportion to demand; otherwise the allocation is the local demand
// and a part of the quota that the fleet does not use.
func (t *tenantState) targetAllocation() (target, limit float64) {
	quota := t.quota()
	switch {
	case quota == 0: // no quota: the allocation is a fraction of the limit on concurrent attempts
		if t.fleetDemand > 0 {
			return t.localDemand / t.fleetDemand, 1
		}
		return 1 / t.gateways, 1
	case t.usesSharedBucket(): // demand is not measured for such tenants; more than the even share, as other gateways leave some of theirs
		return uncoordinatedMultiple * quota / t.gateways, quota
	case t.fleetDemand > quota:
		return t.localDemand / t.fleetDemand * quota, quota
	}
	spareShare := 1 / t.gateways // an even share while totals are not available
	if !t.totalStale {
		spareShare = math.Sqrt(spareShare) // more than the even share: bursts at different gateways seldom coincide
	}
	return t.localDemand + (quota-t.fleetDemand)*spareShare, quota
}
