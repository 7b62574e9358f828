package config

import "swiftpitch/internal/policy"

// DiscoveryPolled is the [Settings.DiscoveryMode] in which discovery is one service for the
// whole fleet and sends updates only on request. The edge node polls it; the policy must
// subscribe.
const DiscoveryPolled = "ask"

// Policy returns the settings for [policy.New]. The seed is that of the random numbers of this
// run of the node.
func (s *Settings) Policy(seed uint64) policy.Settings {
	settings := policy.Settings{
		Seed:                seed,
		GatewayIndex:        s.GatewayIndex,
		Gateways:            s.Gateways,
		MustSubscribe:       s.DiscoveryMode == DiscoveryPolled,
		SubscriptionTimeout: s.EndpointRules.SubscriptionTimeout,
		CounterEnabled:      s.Accounting.CounterEnabled,
		CounterTimeout:      s.Accounting.CounterTimeout,
		ActualUnitsReported: s.Accounting.ActualUnitsReported,
		MaxRequestUnits:     s.Accounting.MaxRequestUnits,
		SlowStartCapacity:   s.EndpointRules.SlowStartCapacity,
		SlowStartDuration:   s.EndpointRules.SlowStartDuration,
		OverloadMultiple:    s.EndpointRules.OverloadMultiple,
		OverloadDuration:    s.EndpointRules.OverloadDuration,
		AllowCancel:         s.Limits.AllowCancel,
		AllowHealthChecks:   s.Limits.AllowHealthChecks,
		AllowHedging:        s.Limits.AllowHedging,
		AllowRetryAfter:     s.Limits.AllowRetryAfter,
		MaxAttempts:         s.Limits.MaxAttempts,
		MaxRetryAfter:       s.Limits.MaxRetryAfter,
	}
	for _, class := range s.Classes {
		settings.Classes = append(settings.Classes, class.policy())
	}
	for _, plan := range s.Plans {
		settings.Plans = append(settings.Plans, plan.policy())
	}
	return settings
}

func (c *Class) policy() policy.Class {
	return policy.Class{
		Deadline:    c.Deadline,
		Idempotency: policy.Idempotency(c.Idempotency),
		DedupScope:  policy.DedupScope(c.DedupScope),
		DedupWindow: c.DedupWindow,
		Streaming:   c.Streaming,
	}
}

func (p *Plan) policy() policy.Plan {
	return policy.Plan{
		Rate:               p.Rate,
		Burst:              p.Burst,
		MaxConcurrent:      p.MaxConcurrent,
		HardLimitRate:      p.HardLimitRate,
		HardLimitBurst:     p.HardLimitBurst,
		HardLimitTolerance: p.HardLimitTolerance,
	}
}
