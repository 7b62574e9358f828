package policy

// minLocalShare is the part of the largest request below which a gateway's even share
// of an interval's quota is too small to allocate: what it would get is all chance.
const minLocalShare = 0.8

// usesSharedBucket reports whether this gateway's part of the quota is too small for an
// allocation, so that requests are admitted by the tenant's bucket at the counter.
func (t *tenantState) usesSharedBucket() bool {
	largest := t.maxRequestUnits
	if largest == 0 {
		largest = t.largestRequest
	}
	return t.plan.Rate > 0 && t.quota() < minLocalShare*largest*t.gateways
}

// admitBySharedBucket decides a request of a tenant of whose quota less than a few
// requests an interval fall to this gateway. One call adds the request's units to what
// the tenant's gateways took in this epoch before the request is forwarded, and the sum
// tells what is left in the bucket, which carries over from interval to interval; what
// was not forwarded is taken off again.
//
// When the counter cannot serve all calls, those that are made are drawn by the value
// at risk. The other decisions are uncoordinated: they go by this gateway's part of the
// quota and by what became of the plan's counted requests. This could harm where the
// counter is slow to answer.
func (g *Gateway) admitBySharedBucket(r *request, estimates *overQuotaEstimates) {
	t := r.tenant
	if t.sharedBucket.known() && t.sharedBucket.tokensAt(g.now, t.plan) < r.units-unitTolerance {
		g.decide(r, false) // the other gateways can only have taken more
		return
	}
	kind := t.evidenceFor(r)
	t.sharedBucketUsed = true
	risk := overQuotaRisk{probability: estimates[kind], cost: t.plan.OverQuotaCost - t.plan.OverQuotaWeight}
	probability := g.overQuota.callProbability(risk.valueAtRisk(r), g.counterBudget.rate)
	calls := g.rng.Float64() < probability
	waits := calls && !g.stalls.recentlyStalled(g.now) && r.deadline-g.now > 2*g.settings.CounterTimeout
	if !waits {
		g.decideUncoordinated(r, risk)
	}
	if !calls {
		return
	}
	call := &sharedBucketCall{
		gateway:   g,
		held:      heldRequest{request: r, waiting: waits},
		evidence:  kind,
		estimates: estimates,
		risk:      risk,
		epoch:     t.bucketEpoch(g.now),
		units:     r.units / probability,
	}
	call.start()
}

// evidenceFor returns what is known of the tenant's quota for a request.
func (t *tenantState) evidenceFor(r *request) evidence {
	kind := noEvidence
	switch {
	case t.sharedBucket.known() && t.sharedBucket.sufficient:
		kind = bucketSufficient
	case t.sharedBucket.known():
		kind = bucketInsufficient
	case t.tokens < r.units-unitTolerance:
		kind = localTokensExhausted
	case t.sharedBucketUsed:
		kind = localTokensLeft
	}
	if r.isRetry {
		return kind.forRetry()
	}
	return kind
}

// decideUncoordinated decides a request without the counter.
func (g *Gateway) decideUncoordinated(r *request, risk overQuotaRisk) {
	t := r.tenant
	hasTokens := risk.cost <= 0 || t.tokens >= r.units-unitTolerance
	g.decide(r, risk.favorsAdmission() && hasTokens && t.withinLimits(r.units))
}

// decideBySharedBucket decides a request by the shared bucket. This gateway's share of the
// hard limit is kept for uncoordinated decisions: it neither binds the request nor is
// it charged.
func (g *Gateway) decideBySharedBucket(r *request, granted bool) {
	g.forwardOrReject(r, granted && r.tenant.withinConcurrencyLimit())
}

// sharedBucketCall takes units from a tenant's shared bucket for one request, which
// either waits for the reply or was decided before the call.
type sharedBucketCall struct {
	gateway   *Gateway
	held      heldRequest
	evidence  evidence
	estimates *overQuotaEstimates
	risk      overQuotaRisk
	epoch     int64
	units     float64 // the request's own, and those of the requests that made no call
}

func (c *sharedBucketCall) start() {
	g := c.gateway
	if c.held.waiting { // the reply may come later than is good for the request
		g.startTimer(g.settings.CounterTimeout, c.onTimeout)
	}
	g.addToCounter(c.key(), c.units, bucketTTL, c.onReply)
}

func (c *sharedBucketCall) key() uint64 { return c.held.request.tenant.bucketKey(c.epoch) }

// onTimeout decides the request when the counter did not reply in time.
func (c *sharedBucketCall) onTimeout() {
	if c.held.release() {
		c.gateway.decideUncoordinated(c.held.request, c.risk)
	}
}

// onReply decides the request by what the bucket holds, learns from it, and returns the
// units unless the request was forwarded and the bucket held them.
func (c *sharedBucketCall) onReply(reply CounterReplied) {
	g, r := c.gateway, c.held.request
	t := r.tenant
	t.refill(g.now)
	undecided := c.held.release()
	if reply.Outcome != Succeeded {
		if undecided {
			g.decideUncoordinated(r, c.risk)
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
