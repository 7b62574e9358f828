package policy

import "time"

// retryAfterResolution is the resolution of Retry-After, to which it is rounded up: a client that
// comes back a moment early is rejected again.
const retryAfterResolution = time.Millisecond

// rejectWithDelay rejects a request whose reason for the rejection is expected to last for a delay.
// The client is told to wait that long, up to the longest wait that clients honor, if they honor any.
func (g *Gateway) rejectWithDelay(requestID string, delay time.Duration) {
	reject := Reject{RequestID: requestID}
	if g.settings.AllowRetryAfter {
		roundedUp := delay.Truncate(retryAfterResolution) + retryAfterResolution
		reject.RetryAfter = min(roundedUp, g.settings.MaxRetryAfter)
	}
	g.emit(reject)
}

// admissionDelay returns after how long the tenant's quota and limits are expected to allow a
// request that they do not allow now, if no other request of the tenant comes first.
func (g *Gateway) admissionDelay(t *tenantState, units float64) time.Duration {
	delay := t.quotaDelay(g.now, units)
	if t.plan.HardLimitRate > 0 {
		delay = max(delay, t.hardLimit.delay(units, t.usesSharedBucket()))
	}
	if !t.withinConcurrencyLimit() { // the attempts in flight have started at any time within a mean latency
		delay = max(delay, g.latencies.meanLatency/float64(t.inFlight))
	}
	return seconds(delay)
}

// quotaDelay returns the seconds until the tenant's bucket at the counter holds the units of a
// request, or that of the allocation if the former is not known. If the bucket holds them now, the
// fleet is likely over the quota, and the delay is the time in which the quota gains them.
func (t *tenantState) quotaDelay(now Time, units float64) float64 {
	if t.plan.Rate == 0 {
		return 0
	}
	tokens, rate := t.tokens, t.planShare()*t.plan.Rate
	if t.sharedBucket.hasReading() {
		tokens, rate = t.sharedBucket.tokensAt(now, t.plan), t.plan.Rate
	}
	if tokens >= units-unitTolerance {
		return units / t.plan.Rate
	}
	return (units - tokens) / rate
}

// delay returns the seconds until the share holds the units of a request.
func (s *hardLimitShare) delay(units float64, sharedBucket bool) float64 {
	return max(units-s.tokens, 0) / s.refillRate(sharedBucket)
}

// endpointDelay returns after how long an endpoint may take attempts again if none does now: when the
// next recovery trial is due, or the longest wait that clients honor if nothing tells it.
func (g *Gateway) endpointDelay() time.Duration {
	delay := g.settings.MaxRetryAfter
	for _, ep := range g.endpoints.list {
		if ep.listed && ep.ejected {
			delay = min(delay, max(ep.nextTrialAt-g.now, 0))
		}
	}
	return delay
}

// queueDelay returns after how long the work is expected to be done that endpoints have now, where
// expectedLatency is the expected latency in seconds at the best endpoint, 0 if that is not known.
func (g *Gateway) queueDelay(expectedLatency float64) time.Duration {
	return seconds(max(expectedLatency, g.latencies.meanLatency))
}
