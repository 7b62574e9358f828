package policy

// usableQuotaShare is the fraction of the quota up to which a gateway whose allocation is
// used up may use quota that the other gateways leave.
const usableQuotaShare = 0.8

// spareQuotaCall reads the running total of the interval from the counter, to admit one
// request from quota that the other gateways have left so far. It adds the units offered
// here up to then; the end of the interval adds the rest.
type spareQuotaCall struct {
	gateway  *Gateway
	held     heldRequest
	interval int64   // index of the interval that was running at the call
	elapsed  Time    // time since the start of that interval at the call
	offered  float64 // units offered here in the interval up to the call; the total in the reply includes them
	added    float64 // units that the call adds, which no earlier call has added
}

// requestSpareQuota holds a request that the allocation does not admit and asks for spare
// quota, unless the tenant is known to exceed its quota, the counter has no call to spare or
// the request cannot wait for one. It reports whether the request is held for the reply; if
// not, nothing was done.
func (g *Gateway) requestSpareQuota(r *request) bool {
	t := r.tenant
	if !g.settings.CounterEnabled || !t.mayHaveSpareQuota(g.now) {
		return false
	}
	if !g.counterBudget.allows(g.rng.Float64()) {
		return false
	}
	if !g.mayWaitForCounter(r) {
		return false
	}
	call := &spareQuotaCall{
		gateway:  g,
		held:     heldRequest{request: r, waiting: true},
		interval: t.intervalIndex,
		elapsed:  t.sinceFirstInterval(g.now) % t.interval,
		offered:  t.offered,
		added:    t.offered - t.reported,
	}
	t.reported = t.offered
	g.startTimer(g.settings.CounterTimeout, call.onTimeout)
	key, ttl := t.intervalKey(call.interval)
	g.addToCounter(key, call.added, ttl, call.onReply)
	return true
}

// mayHaveSpareQuota reports whether the running interval may have quota left, as far as
// known. It is false for an interval that is over but was not ended yet by a late timer.
func (t *tenantState) mayHaveSpareQuota(now Time) bool {
	return t.plan.Rate != 0 && !t.totalStale && t.fleetDemand <= t.quota() &&
		t.lastOverQuotaInterval != t.intervalIndex && t.intervalIndexAt(now) == t.intervalIndex
}

// onTimeout rejects the request, as the counter did not reply in time.
func (c *spareQuotaCall) onTimeout() {
	if c.held.release() {
		c.gateway.decide(c.held.request, false)
	}
}

// onReply decides the request. If the quota has units left, it adds the request's units and
// this gateway's share of the rest to the allocation's tokens.
func (c *spareQuotaCall) onReply(reply CounterReplied) {
	g, r := c.gateway, c.held.request
	t := r.tenant
	t.refill(g.now)
	if reply.neverAdded() && t.intervalIndex == c.interval {
		t.reported -= c.added
	}
	spare := c.spareQuota(reply.Total)
	granted := reply.Outcome == Succeeded && spare >= 0
	if granted {
		t.tokens = min(t.tokens+r.units+spare/t.gateways, max(t.tokenCapacity(), r.units))
	} else if reply.Outcome == Succeeded {
		t.lastOverQuotaInterval = c.interval
	}
	if c.held.release() {
		g.decide(r, granted && t.withinLimits(r.units))
	}
}

// spareQuota returns the units that the fleet has left of the interval's usable quota,
// by its running total; below 0 if it has used more. Gateways with allocation left have
// reported nothing for this interval yet, so their last demand is assumed to continue.
func (c *spareQuotaCall) spareQuota(total float64) float64 {
	t := c.held.request.tenant
	elapsed := float64(c.elapsed) / float64(t.interval)
	othersUse := max(total-c.offered, (t.fleetDemand-t.localDemand)*elapsed)
	return usableQuotaShare*t.quota() - c.offered - othersUse
}
