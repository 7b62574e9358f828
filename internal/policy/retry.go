package policy

const (
	maxAttempts           = 4    // limit for one request, even if Settings.MaxAttempts is higher
	retryTokensPerRequest = 0.2  // retry tokens that each first attempt adds
	maxRetryTokens        = 20.0 // retry tokens that the budget can hold
)

// retryBudget limits retries and hedged attempts to a share of the first attempts, so that
// they cannot multiply the load on endpoints that already fail. Each of them costs one token.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens / 2} }

// deposit adds the tokens for one first attempt.
func (b *retryBudget) deposit() { b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest) }

// allows reports whether the budget has a token for one more attempt.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// withdraw takes the token for one more attempt. The caller must have checked allows.
func (b *retryBudget) withdraw() { b.tokens-- }

// retry starts another attempt, a retry or a hedged one, if the class, the time left, the
// retry budget and the endpoints allow it, and reports whether it did.
func (g *Gateway) retry(r *request) bool {
	if !g.mayRetry(r) || g.throttle.shouldShed(g.now) {
		return false
	}
	ep, expectedLatency := g.balancer.pick(g.now, r)
	if ep == nil || g.isTooLate(r, expectedLatency) {
		return false
	}
	g.retryBudget.withdraw()
	g.startAttempt(r, ep, expectedLatency)
	return true
}

// mayRetry reports whether another attempt of r may start, leaving aside conditions that
// depend on the endpoint.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= min(maxAttempts, g.settings.MaxAttempts) {
		return false
	}
	if !g.retryBudget.allows() || g.now >= r.deadline {
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
