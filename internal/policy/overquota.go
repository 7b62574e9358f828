package policy

const (
	estimateSmoothingFactor = 0.05        // weight of one counted request in an estimate
	initialOverQuotaShare   = 0.3         // share of first attempts taken to be over quota at first
	minOverQuotaLoss        = minCallRate // least loss that a request over quota is taken to cost
	minRelativeRisk         = 0.2         // least weight of the value at risk in the probability of a call
)

// evidence is what this gateway knows of a tenant's quota when a request comes. A
// request's chance to be over quota is estimated for each kind of evidence by itself,
// with retries apart: they mostly follow a rejection.
type evidence int

const (
	noEvidence           evidence = iota // the tenant's first request here
	localTokensExhausted                 // this gateway's part of the quota is used up
	localTokensLeft                      // it is not
	bucketSufficient                     // the shared bucket had the units when last read
	bucketInsufficient                   // it had not
	evidenceKinds                        // the number of kinds
)

// forRetry returns the evidence of the same kind for a retry.
func (e evidence) forRetry() evidence { return e + evidenceKinds }

// overQuotaEstimates are the estimated shares of requests over quota by evidence, over
// all tenants of a plan.
type overQuotaEstimates [2 * evidenceKinds]float64

func newOverQuotaEstimates() overQuotaEstimates {
	var estimates overQuotaEstimates
	for kind := range evidenceKinds {
		estimates[kind] = initialOverQuotaShare
		estimates[kind.forRetry()] = 1 - initialOverQuotaShare
	}
	return estimates
}

// observe takes the counter's word on one request into account.
func (s *overQuotaEstimates) observe(e evidence, overQuota bool) {
	s[e] *= 1 - estimateSmoothingFactor
	if overQuota {
		s[e] += estimateSmoothingFactor
	}
}

// overQuotaModel tells by the outcomes of counted requests what uncoordinated decisions
// risk, so that the calls that the counter can serve go where most is at stake.
type overQuotaModel struct {
	byPlan          []overQuotaEstimates
	meanValueAtRisk float64 // mean value at risk in a decision
}

func newOverQuotaModel(plans int) overQuotaModel {
	model := overQuotaModel{byPlan: make([]overQuotaEstimates, plans), meanValueAtRisk: 1}
	for i := range model.byPlan {
		model.byPlan[i] = newOverQuotaEstimates()
	}
	return model
}

// callProbability returns with what probability a decision calls the counter, by the
// value at risk in it and the rate at which the counter may be called.
func (m *overQuotaModel) callProbability(valueAtRisk, callRate float64) float64 {
	probability := min(1, callRate*max(valueAtRisk/m.meanValueAtRisk, minRelativeRisk))
	m.meanValueAtRisk += estimateSmoothingFactor * (valueAtRisk - m.meanValueAtRisk)
	return probability
}

// overQuotaRisk are the odds of one decision that does not know the shared bucket.
type overQuotaRisk struct {
	probability float64 // probability that the request is over quota
	cost        float64 // what forwarding it then costs, as a share of its value
}

// favorsAdmission reports whether forwarding the request is expected to gain more than
// it costs.
func (o overQuotaRisk) favorsAdmission() bool { return 1-o.probability > o.probability*o.cost }

// valueAtRisk returns the value that an uncoordinated decision loses at most: that of a
// request which was rejected within the quota, or forwarded over it.
func (o overQuotaRisk) valueAtRisk(r *request) float64 {
	return min(1-o.probability, max(o.probability*o.cost, minOverQuotaLoss)) *
		r.units * r.class.PriorityWeight * r.tenant.plan.PriorityWeight
}
