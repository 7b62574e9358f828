package policy

// usableQuotaShare is the part of the quota up to which a gateway whose allocation is
// used up may use what the others leave.
const usableQuotaShare = 0.8

// spareQuotaCall asks the counter for the running total of the interval, to admit one
// request by quota that the other gateways have left so far. It adds what was offered
// here up to then; the end of the interval adds the rest.
type spareQuotaCall struct {
	gateway  *Gateway
	held     heldRequest
	interval int64   // index of the interval that was running at the call
	elapsed  Time    // of that interval at the call
	offered  float64 // units offered here in the interval, all of them added after the call
	added    float64 // units added by the call
}

// requestSpareQuota asks for spare quota where the allocation is used up though the
// tenant is not known to exceed its quota. It reports whether the request is held for
// the reply; if not, nothing was done.
func (g *Gateway) requestSpareQuota(r *request) bool {
	t := r.tenant
	if !g.settings.CounterEnabled || !t.mayHaveSpareQuota(g.now) {
		return false
	}
	if !g.counterBudget.allows(g.rng.Float64()) {
		return false
	}
	if g.stalls.recentlyStalled(g.now) || r.deadline-g.now < 2*g.settings.CounterTimeout {
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

// mayHaveSpareQuota reports whether nothing known speaks against quota that is left in
// the running interval. A late timer may not have ended that interval yet.
func (t *tenantState) mayHaveSpareQuota(now Time) bool {
	return t.plan.Rate != 0 && !t.totalStale && t.fleetDemand <= t.quota() &&
		t.lastOverQuotaInterval != t.intervalIndex && t.intervalIndexAt(now) == t.intervalIndex
}

// onTimeout rejects the request when the counter did not reply in time.
func (c *spareQuotaCall) onTimeout() {
	if c.held.release() {
		c.gateway.decide(c.held.request, false)
	}
}

// onReply grants the request its units, and the allocation its part of what is left.
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
// by its running total. Gateways that have allocation left have reported nothing yet of
// this interval: their last demand stands for it.
func (c *spareQuotaCall) spareQuota(total float64) float64 {
	t := c.held.request.tenant
	elapsed := float64(c.elapsed) / float64(t.interval)
	othersUse := max(total-c.offered, (t.fleetDemand-t.localDemand)*elapsed)
	return usableQuotaShare*t.quota() - c.offered - othersUse
}
