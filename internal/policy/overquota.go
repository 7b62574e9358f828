package policy

const (
	estimateSmoothingFactor = 0.05 // weight of one request checked at the counter in an estimate
	initialOverQuotaShare   = 0.3  // initial estimate of the share of requests over quota
	minErrorProbability     = 0.03 // least probability that an uncoordinated decision is wrong; the estimates prove no less
	initialUnitsAtRisk      = 1.0  // initial mean of the units at risk; high, so that gateways that start together do not flood the counter
	minRelativeRisk         = 0.2  // least units at risk, relative to the mean, that are used for the probability of a call
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

// overQuotaModel estimates from requests checked at the counter how often uncoordinated decisions
// are wrong, so that the calls that the counter can serve are spent where most units are at risk of
// a wrong decision. It is as wrong to reject a request within the quota as to forward one over it.
type overQuotaModel struct {
	byPlan          []overQuotaEstimates // by index of the plan
	meanUnitsAtRisk float64              // mean units at risk of a decision, smoothed
}

func newOverQuotaModel(plans int) overQuotaModel {
	model := overQuotaModel{byPlan: make([]overQuotaEstimates, plans), meanUnitsAtRisk: initialUnitsAtRisk}
	for i := range model.byPlan {
		model.byPlan[i] = newOverQuotaEstimates()
	}
	return model
}

// callProbability returns the probability that a decision calls the counter, from its units
// at risk and the share of decisions that may call.
func (m *overQuotaModel) callProbability(unitsAtRisk, callRate float64) float64 {
	probability := min(1, callRate*max(unitsAtRisk/m.meanUnitsAtRisk, minRelativeRisk))
	m.meanUnitsAtRisk += estimateSmoothingFactor * (unitsAtRisk - m.meanUnitsAtRisk)
	return probability
}

// overQuotaProbability is the probability that a request is over quota, as far as is known without
// the shared bucket.
type overQuotaProbability float64

// favorsAdmission reports whether the request is more likely within the quota than over it.
func (p overQuotaProbability) favorsAdmission() bool { return p < 0.5 }

// unitsAtRisk returns the expected units of a wrong decision, if the likelier side is chosen for a
// request of a number of units.
func (p overQuotaProbability) unitsAtRisk(units float64) float64 {
	return units * max(min(float64(p), 1-float64(p)), minErrorProbability)
}
