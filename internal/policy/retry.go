package policy

const (
	maxAttempts           = 4    // attempts of one request, whatever the settings allow
	retryTokensPerRequest = 0.2  // retries that each first attempt pays for
	maxRetryTokens        = 20.0 // retries that may be saved up
)

// retryBudget limits retries and hedged attempts to a share of first attempts, so that
// they cannot multiply the load on endpoints that already fail.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens / 2} }

// deposit credits one first attempt.
func (b *retryBudget) deposit() { b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest) }

// allows reports whether one more attempt can be paid for.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// withdraw pays for one further attempt. The caller has made sure that the budget allows it.
func (b *retryBudget) withdraw() { b.tokens-- }

// retry starts a further attempt if the class, the time left, the retry budget and the
// endpoints allow it, and reports whether it did.
func (g *Gateway) retry(r *request) bool {
	if !g.mayRetry(r) {
		return false
	}
	ep, expectedLatency := g.balancer.pick(g.now, r)
	if ep == nil || g.throttle.shouldShed(g.now, r, ep, expectedLatency) {
		return false
	}
	g.retryBudget.withdraw()
	g.startAttempt(r, ep, expectedLatency)
	return true
}

// mayRetry reports whether a further attempt of r may start, as far as that does not
// depend on the endpoint.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= min(maxAttempts, g.settings.MaxAttempts) {
		return false
	}
	if !g.retryBudget.allows() || g.now >= r.objectiveAt {
		return false
	}
	switch r.inFlight() {
	case 0:
		return true
	case 1:
		return g.settings.AllowHedging
	default:
		return false
	}
}
