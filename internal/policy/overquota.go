package policy

const (
	estimateSmoothingFactor = 0.05        // weight of one request checked at the counter in an estimate
	initialOverQuotaShare   = 0.3         // initial estimate of the share of requests over quota
	minOverQuotaLoss        = minCallRate // least expected loss from forwarding a request, as a fraction of its value
	minRelativeRisk         = 0.2         // least value at risk, relative to the mean, that is used for the probability of a call
)

// quotaEvidence is the kind of knowledge that this gateway has of a tenant's quota when a
// request comes. The probability that a request is over quota is estimated for each kind.
type quotaEvidence int

const (
	noQuotaEvidence      quotaEvidence = iota // the tenant's first request handled by admitBySharedBucket; the local tokens suffice for it
	localTokensExhausted                      // no reading of the shared bucket yet; the local tokens do not suffice for the request
	localTokensLeft                           // no reading of the shared bucket yet; the local tokens suffice for the request
	bucketSufficient                          // at its last reading, the shared bucket held the units of the request that made the call
	bucketInsufficient                        // at its last reading, the shared bucket held fewer units than that request needed
	quotaEvidenceKinds                        // number of kinds
)

// overQuotaEstimates holds the estimated share of requests over quota for each kind of
// evidence, over all tenants of a plan.
type overQuotaEstimates [quotaEvidenceKinds]float64

func newOverQuotaEstimates() overQuotaEstimates {
	var estimates overQuotaEstimates
	for kind := range quotaEvidenceKinds {
		estimates[kind] = initialOverQuotaShare
	}
	return estimates
}

// observe updates an estimate with the counter's result for one request.
func (s *overQuotaEstimates) observe(e quotaEvidence, overQuota bool) {
	s[e] *= 1 - estimateSmoothingFactor
	if overQuota {
		s[e] += estimateSmoothingFactor
	}
}

// overQuotaModel estimates from requests checked at the counter what uncoordinated decisions
// risk, so that the calls that the counter can serve are spent where most value is at risk.
type overQuotaModel struct {
	byPlan          []overQuotaEstimates // by index of the plan
	meanValueAtRisk float64              // mean value at risk of a decision, smoothed
}

func newOverQuotaModel(plans int) overQuotaModel {
	model := overQuotaModel{byPlan: make([]overQuotaEstimates, plans), meanValueAtRisk: 1}
	for i := range model.byPlan {
		model.byPlan[i] = newOverQuotaEstimates()
	}
	return model
}

// callProbability returns the probability that a decision calls the counter, from its value
// at risk and the share of decisions that may call.
func (m *overQuotaModel) callProbability(valueAtRisk, callRate float64) float64 {
	probability := min(1, callRate*max(valueAtRisk/m.meanValueAtRisk, minRelativeRisk))
	m.meanValueAtRisk += estimateSmoothingFactor * (valueAtRisk - m.meanValueAtRisk)
	return probability
}

// overQuotaRisk is the risk of forwarding one request without knowing the shared bucket.
type overQuotaRisk struct {
	probability float64 // probability that the request is over quota
	cost        float64 // cost of forwarding it if so, less what it then earns, as a fraction of its value
}

// favorsAdmission reports whether the expected value of forwarding the request exceeds the
// expected cost.
func (o overQuotaRisk) favorsAdmission() bool { return 1-o.probability > o.probability*o.cost }

// valueAtRisk returns the expected loss of an uncoordinated decision: the lesser of those
// from rejecting a request within the quota and from forwarding one over it.
func (o overQuotaRisk) valueAtRisk(r *request) float64 {
	return min(1-o.probability, max(o.probability*o.cost, minOverQuotaLoss)) *
		r.units * r.class.PriorityWeight * r.tenant.plan.PriorityWeight
}
