// Package settings decodes the settings object that an edge node is started
// with, on the simulator's wire and in a configuration file alike.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"swiftpitch/internal/policy"
)

// Settings is the settings object; what neither program has a use for is left
// out. Spans are nanoseconds.
type Settings struct {
	Gateways      int         `json:"nInstances"`
	GatewayIndex  int         `json:"rank"`
	Zone          int         `json:"locality"`
	Zones         []string    `json:"localities"`
	DiscoveryMode string      `json:"membershipMode"`
	Classes       []Class     `json:"classes"`
	Plans         []Plan      `json:"tiersOfService"`
	Rules         Rules       `json:"contract"`
	Service       Service     `json:"familyInfo"`
	Limits        Limits      `json:"limits"`
	Costs         Costs       `json:"prices"`
	LoadReports   LoadReports `json:"report"`
}

// Class is one kind of request.
type Class struct {
	Name             string        `json:"name"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"deadline"`
	Idempotency      Idempotency   `json:"effect"`
	DedupScope       DedupScope    `json:"group"`
	LateWeight       float64       `json:"lateWorth"`
	Streaming        bool          `json:"stream"`
	PriorityWeight   float64       `json:"value"`
	DedupWindow      time.Duration `json:"window"`
}

// Plan is what a customer may use.
type Plan struct {
	Name               string  `json:"name"`
	Burst              float64 `json:"depth"`
	HardLimitBurst     float64 `json:"ceilingBurst"`
	HardLimitRate      float64 `json:"neverOverRate"`
	HardLimitTolerance float64 `json:"tolerance"`
	MaxConcurrent      int     `json:"concurrency"`
	OverQuotaCost      float64 `json:"excessCost"`
	OverQuotaWeight    float64 `json:"overWorth"`
	PriorityWeight     float64 `json:"worthFactor"`
	Rate               float64 `json:"refill"`
}

// Rules holds the figures of the rules.
type Rules struct {
	SubscriptionTimeout time.Duration `json:"askEvery"`
	SlowStartCapacity   float64       `json:"coldFrom"`
	DrainGrace          time.Duration `json:"drainGrace"`
	OverloadMultiple    float64       `json:"fallMultiple"`
	OverloadDuration    time.Duration `json:"overloadFor"`
	SlowStartDuration   time.Duration `json:"warmUp"`
}

// Service holds the figures of this kind of service.
type Service struct {
	CounterEnabled      bool          `json:"counter"`
	CounterTimeout      time.Duration `json:"countWait"`
	MeterPeriod         time.Duration `json:"meter"`
	MaxRequestUnits     float64       `json:"mostUnits"`
	ActualUnitsReported bool          `json:"truedUp"`
}

// Limits is what the site permits.
type Limits struct {
	AllowCancel       bool          `json:"cancel"`
	DialTimeout       time.Duration `json:"dialTimeout"`
	IdleClose         time.Duration `json:"idleClose"`
	MaxAttempts       int           `json:"maxAttempts"`
	MaxRetryAfter     time.Duration `json:"maxRetryAfter"`
	AllowHealthChecks bool          `json:"probes"`
	AllowRetryAfter   bool          `json:"retryAfter"`
	AllowHedging      bool          `json:"secondCopies"`
}

// Costs holds what is taken off the result.
type Costs struct {
	CrossZone float64 `json:"crossZone"`
}

// LoadReports says how load reports come: piggyback, pull or silent.
type LoadReports struct {
	Channel string `json:"via"`
}

// Idempotency is [policy.Idempotency] by its name on the wire.
type Idempotency policy.Idempotency

// DedupScope is [policy.DedupScope] by its name on the wire.
type DedupScope policy.DedupScope

var (
	effects = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "by_key": policy.IdempotentByKey, "once": policy.NonIdempotent}
	groups  = map[string]policy.DedupScope{"": policy.DedupFleet, "all": policy.DedupFleet, "zone": policy.DedupZone,
		"cell": policy.DedupCell}
)

// UnmarshalText implements [encoding.TextUnmarshaler].
func (e *Idempotency) UnmarshalText(text []byte) error {
	v, ok := effects[string(text)]
	if !ok {
		return fmt.Errorf("unknown effect %q", text)
	}
	*e = Idempotency(v)
	return nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (g *DedupScope) UnmarshalText(text []byte) error {
	v, ok := groups[string(text)]
	if !ok {
		return fmt.Errorf("unknown group %q", text)
	}
	*g = DedupScope(v)
	return nil
}

// Decode reads a settings object.
func Decode(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("malformed setup: %w", err)
	}
	return s, nil
}

// Policy returns what the decision module is told, with the seed of this life.
func (s *Settings) Policy(seed uint64) policy.Settings {
	f, lim, c := &s.Service, &s.Limits, &s.Rules
	set := policy.Settings{
		Seed: seed, GatewayIndex: s.GatewayIndex, Gateways: s.Gateways, Zone: s.Zone,
		MustSubscribe: s.DiscoveryMode == "ask", SubscriptionTimeout: c.SubscriptionTimeout,
		CounterEnabled: f.CounterEnabled, CounterTimeout: f.CounterTimeout, MeterPeriod: f.MeterPeriod, ActualUnitsReported: f.ActualUnitsReported, MaxRequestUnits: f.MaxRequestUnits,
		SlowStartCapacity: c.SlowStartCapacity, SlowStartDuration: c.SlowStartDuration, OverloadMultiple: c.OverloadMultiple, OverloadDuration: c.OverloadDuration,
		AllowCancel: lim.AllowCancel, AllowHealthChecks: lim.AllowHealthChecks, AllowHedging: lim.AllowHedging, AllowRetryAfter: lim.AllowRetryAfter,
		MaxAttempts: lim.MaxAttempts, MaxRetryAfter: lim.MaxRetryAfter, CrossZoneCost: s.Costs.CrossZone,
		LoadReportsInHealthChecks: s.LoadReports.Channel == "pull",
	}
	for _, k := range s.Classes {
		set.Classes = append(set.Classes, policy.Class{LatencyObjective: k.LatencyObjective, Deadline: k.Deadline,
			Idempotency: policy.Idempotency(k.Idempotency), DedupScope: policy.DedupScope(k.DedupScope), DedupWindow: k.DedupWindow,
			LateWeight: k.LateWeight, PriorityWeight: k.PriorityWeight, Streaming: k.Streaming})
	}
	for _, p := range s.Plans {
		set.Plans = append(set.Plans, policy.Plan{Rate: p.Rate, Burst: p.Burst, MaxConcurrent: p.MaxConcurrent,
			HardLimitRate: p.HardLimitRate, HardLimitBurst: p.HardLimitBurst, HardLimitTolerance: p.HardLimitTolerance,
			PriorityWeight: p.PriorityWeight, OverQuotaWeight: p.OverQuotaWeight, OverQuotaCost: p.OverQuotaCost})
	}
	return set
}
