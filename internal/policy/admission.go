package policy

// requestReceived admits a request and starts its first attempt, holds it for a counter
// call, or rejects it at once.
func (g *Gateway) requestReceived(ev RequestReceived) {
	if !g.validIndices(ev) {
		g.emit(Fail{RequestID: ev.RequestID})
		return
	}
	t := g.tenant(ev)
	if t == nil {
		g.rejectNewTenant(ev)
		return
	}
	t.refill(g.now)
	r := g.newRequest(ev, t)
	g.requests[r.id] = r
	if g.settings.CounterEnabled && t.usesSharedBucket() {
		g.admitBySharedBucket(r, &g.overQuota.byPlan[ev.Plan])
		return
	}
	t.offered += ev.Units
	if t.admits(ev.Units) {
		g.decide(r, true)
		return
	}
	if t.withinLimits(ev.Units) && g.requestSpareQuota(r) {
		return
	}
	g.decide(r, false)
}

// rejectNewTenant rejects a request of a tenant for whose state there is no room. The state of an
// idle tenant is dropped after an interval.
func (g *Gateway) rejectNewTenant(ev RequestReceived) {
	g.rejectWithDelay(ev.RequestID, g.settings.Plans[ev.Plan].allocationInterval())
}

// validIndices reports whether the settings contain the request's class and plan.
func (g *Gateway) validIndices(ev RequestReceived) bool {
	return ev.Class >= 0 && ev.Class < len(g.settings.Classes) &&
		ev.Plan >= 0 && ev.Plan < len(g.settings.Plans)
}

func (g *Gateway) newRequest(ev RequestReceived, t *tenantState) *request {
	return &request{
		id:         ev.RequestID,
		classIndex: ev.Class,
		class:      &g.settings.Classes[ev.Class],
		tenant:     t,
		units:      ev.Units,
		deadline:   g.now + ev.Timeout,
	}
}

// heldRequest is a request whose decision waits for the reply to a counter call until the
// call's timer fires.
type heldRequest struct {
	request *request
	waiting bool // the decision waits for the reply or the timer
}

// release ends the wait and reports whether the request must still be decided. It returns
// true at most once, and never after the client disconnected.
func (h *heldRequest) release() bool {
	undecided := h.waiting && !h.request.done
	h.waiting = false
	return undecided
}

// decide forwards an admitted request or rejects it. A forwarded request is charged to this
// gateway's share of the hard limit.
func (g *Gateway) decide(r *request, admitted bool) {
	if g.forwardOrReject(r, admitted) {
		r.tenant.hardLimit.take(r.units)
	}
}

// forwardOrReject starts an admitted request's first attempt if an endpoint has capacity
// for it, and otherwise rejects the request. It reports whether the request was forwarded.
func (g *Gateway) forwardOrReject(r *request, admitted bool) bool {
	if !admitted {
		g.rejectOrFail(r, g.admissionDelay(r.tenant, r.units))
		return false
	}
	if g.throttle.shouldShed(g.now) {
		g.rejectOrFail(r, g.queueDelay(0))
		return false
	}
	ep, expectedLatency := g.balancer.pick(g.now, r)
	if ep == nil {
		g.rejectOrFail(r, g.endpointDelay())
		return false
	}
	if g.isTooLate(r, expectedLatency) {
		g.rejectOrFail(r, g.queueDelay(expectedLatency))
		return false
	}
	if r.tenant.plan.Rate > 0 {
		r.tenant.tokens = max(r.tenant.tokens-r.units, 0)
	}
	g.retryBudget.deposit()
	g.startAttempt(r, ep, expectedLatency)
	return true
}
