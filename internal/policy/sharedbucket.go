package policy

// minLocalShare is the fraction of the largest request below which a gateway's even share
// of an interval's quota is too small for an allocation: whether a gateway gets a request
// in an interval is then a matter of chance.
const minLocalShare = 0.8

// usesSharedBucket reports whether this gateway's share of the quota is too small for an
// allocation, so that the tenant's bucket at the counter admits requests.
func (t *tenantState) usesSharedBucket() bool {
	largest := t.maxRequestUnits
	if largest == 0 {
		largest = t.largestRequest
	}
	return t.plan.Rate > 0 && t.quota() < minLocalShare*largest*t.gateways
}

// admitBySharedBucket decides a request of a tenant whose quota gives this gateway less
// than about one request an interval, see minLocalShare. Before the request is forwarded,
// one call adds its units to those that all gateways took in the running epoch, see
// bucketEpochLength. The total tells how many tokens are left in the tenant's bucket, where
// unused tokens remain from interval to interval. The units are subtracted again unless the
// request was forwarded and the bucket held them.
//
// Calls are made at random, with a probability that grows with the units at risk and with
// the share of decisions for which the counter can serve a call. The other decisions, and
// those that cannot wait for the reply, are uncoordinated: they depend on this gateway's
// share of the quota and on how often the plan's requests that were checked at the counter
// were over quota. If the counter is slow to answer, fewer calls are made and held requests
// are decided before the reply, so that more decisions are uncoordinated; these may forward
// requests over the quota and reject requests within it.
func (g *Gateway) admitBySharedBucket(r *request, estimates *overQuotaEstimates) {
	t := r.tenant
	if t.sharedBucket.hasReading() && t.sharedBucket.tokensAt(g.now, t.plan) < r.units-unitTolerance {
		g.decide(r, false) // since the reading, other gateways can only have taken tokens
		return
	}
	kind := t.evidenceFor(r)
	t.sharedBucketUsed = true
	overQuota := overQuotaProbability(estimates[kind])
	callProbability := g.overQuota.callProbability(overQuota.unitsAtRisk(r.units), g.counterBudget.callRate)
	callsCounter := g.rng.Float64() < callProbability
	waitsForReply := callsCounter && g.mayWaitForCounter(r)
	if !waitsForReply {
		g.decideUncoordinated(r, overQuota)
	}
	if !callsCounter {
		return
	}
	call := &sharedBucketCall{
		gateway:   g,
		held:      heldRequest{request: r, waiting: waitsForReply},
		evidence:  kind,
		estimates: estimates,
		overQuota: overQuota,
		epoch:     t.bucketEpoch(g.now),
		units:     r.units / callProbability,
	}
	call.start()
}

// evidenceFor returns the kind of evidence on which a request's estimate is based.
func (t *tenantState) evidenceFor(r *request) quotaEvidence {
	switch {
	case t.sharedBucket.hasReading() && t.sharedBucket.sufficient:
		return bucketSufficient
	case t.sharedBucket.hasReading():
		return bucketInsufficient
	case t.tokens < r.units-unitTolerance:
		return localTokensExhausted
	case t.sharedBucketUsed:
		return localTokensLeft
	}
	return noQuotaEvidence
}

// decideUncoordinated decides a request without the counter's total: by the probability that it is
// over quota, the local tokens and the limits.
func (g *Gateway) decideUncoordinated(r *request, overQuota overQuotaProbability) {
	g.decide(r, overQuota.favorsAdmission() && r.tenant.admits(r.units))
}

// decideBySharedBucket forwards a request that the shared bucket granted and the limit on
// concurrent attempts allows, or rejects it. This gateway's share of the hard limit is kept
// for uncoordinated decisions: the request is neither limited by it nor charged to it.
func (g *Gateway) decideBySharedBucket(r *request, granted bool) {
	g.forwardOrReject(r, granted && r.tenant.withinConcurrencyLimit())
}

// sharedBucketCall takes units from a tenant's shared bucket for one request. The request
// either waits for the reply or was decided before the call.
type sharedBucketCall struct {
	gateway   *Gateway
	held      heldRequest
	evidence  quotaEvidence
	estimates *overQuotaEstimates
	overQuota overQuotaProbability
	epoch     int64
	units     float64 // units to take: the request's, scaled up for the requests that made no call
}

func (c *sharedBucketCall) start() {
	g := c.gateway
	if c.held.waiting { // the reply may come later than the request can wait
		g.startTimer(g.settings.CounterTimeout, c.onTimeout)
	}
	g.addToCounter(c.key(), c.units, bucketTTL, c.onReply)
}

func (c *sharedBucketCall) key() uint64 { return c.held.request.tenant.bucketKey(c.epoch) }

// onTimeout decides the request without the counter, which did not reply in time.
func (c *sharedBucketCall) onTimeout() {
	if c.held.release() {
		c.gateway.decideUncoordinated(c.held.request, c.overQuota)
	}
}

// onReply decides the request by the tokens in the bucket, unless it was decided before, and
// updates the estimates. It returns the units to the bucket unless the request was forwarded
// and the bucket held them.
func (c *sharedBucketCall) onReply(reply CounterReplied) {
	g, r := c.gateway, c.held.request
	t := r.tenant
	t.refill(g.now)
	undecided := c.held.release()
	if reply.Outcome != Succeeded {
		if undecided {
			g.decideUncoordinated(r, c.overQuota)
		}
		return
	}
	tokens := g.applyBucketTotal(t, c.epoch, reply.Total-c.units)
	sufficient := tokens >= r.units-unitTolerance
	t.sharedBucket.sufficient = sufficient
	c.estimates.observe(c.evidence, !sufficient)
	if undecided {
		g.decideBySharedBucket(r, sufficient)
	}
	if sufficient && len(r.attempts) > 0 {
		t.sharedBucket.take(c.units)
		r.chargedToSharedBucket = true
		return
	}
	g.addToCounter(c.key(), -c.units, bucketTTL, ignoreReply)
}
