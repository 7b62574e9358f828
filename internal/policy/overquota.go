package policy

const (
	estimateGain     = 0.05        // weight of one counted request in an estimate
	initialOverQuota = 0.3         // share of first attempts taken to be over quota at first
	minLossOverQuota = minCallRate // least loss that a request over quota is taken to cost
	minRelativeRisk  = 0.2         // least weight of the value at risk in the probability of a call
)

// evidence is what this gateway knows of a tenant's quota when a request comes. A
// request's chance to be over quota is estimated for each kind of evidence by itself,
// with retries apart: they mostly follow a rejection.
type evidence int

const (
	noEvidence       evidence = iota // the tenant's first request here
	localShareEmpty                  // this gateway's part of the quota is used up
	localShareLeft                   // it is not
	bucketSufficient                 // the shared bucket had the units when last read
	bucketShort                      // it had not
	evidenceKinds                    // the number of kinds
)

// forRetry returns the evidence of the same kind for a retry.
func (e evidence) forRetry() evidence { return e + evidenceKinds }

// overQuotaEstimates are the estimated shares of requests over quota by evidence, over
// all tenants of a plan.
type overQuotaEstimates [2 * evidenceKinds]float64

func newOverQuotaEstimates() overQuotaEstimates {
	var estimates overQuotaEstimates
	for kind := range evidenceKinds {
		estimates[kind] = initialOverQuota
		estimates[kind.forRetry()] = 1 - initialOverQuota
	}
	return estimates
}

// observe takes the counter's word on one request into account.
func (s *overQuotaEstimates) observe(e evidence, overQuota bool) {
	s[e] *= 1 - estimateGain
	if overQuota {
		s[e] += estimateGain
	}
}

// overQuotaModel tells by the outcomes of counted requests what uncoordinated decisions
// risk, so that the calls that the counter can serve go where most is at stake.
type overQuotaModel struct {
	byPlan   []overQuotaEstimates
	meanRisk float64 // mean value at risk in a decision
}

func newOverQuotaModel(plans int) overQuotaModel {
	model := overQuotaModel{byPlan: make([]overQuotaEstimates, plans), meanRisk: 1}
	for i := range model.byPlan {
		model.byPlan[i] = newOverQuotaEstimates()
	}
	return model
}

// callProbability returns with what probability a decision calls the counter, by the
// value at risk in it and the rate at which the counter may be called.
func (m *overQuotaModel) callProbability(risk, callRate float64) float64 {
	probability := min(1, callRate*max(risk/m.meanRisk, minRelativeRisk))
	m.meanRisk += estimateGain * (risk - m.meanRisk)
	return probability
}

// overQuotaOdds are the odds of one decision that does not know the shared bucket.
type overQuotaOdds struct {
	overQuota float64 // probability that the request is over quota
	cost      float64 // what forwarding it then costs, as a share of its value
}

// favorAdmission reports whether forwarding the request is expected to gain more than
// it costs.
func (o overQuotaOdds) favorAdmission() bool { return 1-o.overQuota > o.overQuota*o.cost }

// risk returns the value that an uncoordinated decision loses at most: that of a
// request which was rejected within the quota, or forwarded over it.
func (o overQuotaOdds) risk(r *request) float64 {
	return min(1-o.overQuota, max(o.overQuota*o.cost, minLossOverQuota)) *
		r.units * r.class.PriorityWeight * r.tenant.plan.PriorityWeight
}
