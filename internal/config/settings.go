// Package config decodes and checks what an edge node is started with: the settings object,
// which the simulator's wire and the configuration file share, and the configuration file
// itself. Its errors name the key at fault, see [KeyError].
//
// Nothing here keeps state: every function may be called from any goroutine.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"swiftpitch/internal/policy"
)

// MaxBodyBytes is the largest body of a request or of a response, in bytes. Longer ones are
// not passed on.
const MaxBodyBytes = 64 << 10

// Settings is the settings object. Keys that neither program has a use for are left out and
// ignored. On the wire and in the file durations are nanoseconds.
type Settings struct {
	Gateways      int           `json:"nInstances"`
	GatewayIndex  int           `json:"rank"`
	Zone          int           `json:"locality"`
	Zones         []string      `json:"localities"`
	DiscoveryMode string        `json:"membershipMode"`
	Classes       []Class       `json:"classes"`
	Plans         []Plan        `json:"tiersOfService"`
	EndpointRules EndpointRules `json:"contract"`
	Accounting    Accounting    `json:"familyInfo"`
	Limits        Limits        `json:"limits"`
	Costs         Costs         `json:"prices"`
	LoadReports   LoadReports   `json:"report"`
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

// Plan is the quota and the hard limit of a tenant.
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

// EndpointRules holds the figures of the service's rules: how discovery, draining and slow start
// behave.
type EndpointRules struct {
	SubscriptionTimeout time.Duration `json:"askEvery"`
	SlowStartCapacity   float64       `json:"coldFrom"`
	DrainGrace          time.Duration `json:"drainGrace"`
	OverloadMultiple    float64       `json:"fallMultiple"`
	OverloadDuration    time.Duration `json:"overloadFor"`
	SlowStartDuration   time.Duration `json:"warmUp"`
}

// Accounting holds the figures of this kind of service.
type Accounting struct {
	CounterEnabled      bool          `json:"counter"`
	CounterTimeout      time.Duration `json:"countWait"`
	MeterPeriod         time.Duration `json:"meter"`
	MaxRequestUnits     float64       `json:"mostUnits"`
	ActualUnitsReported bool          `json:"truedUp"`
}

// Limits is what the site permits.
type Limits struct {
	AllowCancel         bool          `json:"cancel"`
	DialTimeout         time.Duration `json:"dialTimeout"`
	EndpointIdleTimeout time.Duration `json:"idleClose"`
	MaxAttempts         int           `json:"maxAttempts"`
	MaxRetryAfter       time.Duration `json:"maxRetryAfter"`
	AllowHealthChecks   bool          `json:"probes"`
	AllowRetryAfter     bool          `json:"retryAfter"`
	AllowHedging        bool          `json:"secondCopies"`
}

// Costs holds what an attempt can cost.
type Costs struct {
	CrossZone float64 `json:"crossZone"`
}

// LoadReports says how load reports come: "piggyback", "pull" or "silent".
type LoadReports struct {
	Channel string `json:"via"`
}

// Idempotency is a [policy.Idempotency] that is decoded from its name.
type Idempotency policy.Idempotency

// DedupScope is a [policy.DedupScope] that is decoded from its name; an empty name is the
// whole fleet.
type DedupScope policy.DedupScope

var idempotencyByName = map[string]policy.Idempotency{
	"repeatable": policy.Idempotent,
	"by_key":     policy.IdempotentByKey,
	"once":       policy.NonIdempotent,
}

var dedupScopeByName = map[string]policy.DedupScope{
	"":     policy.DedupFleet,
	"all":  policy.DedupFleet,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// UnmarshalText implements [encoding.TextUnmarshaler]. Its error is a [*KeyError] that wraps
// [ErrUnknownValue].
func (i *Idempotency) UnmarshalText(text []byte) error {
	value, ok := idempotencyByName[string(text)]
	if !ok {
		return unknownValueError("effect", text)
	}
	*i = Idempotency(value)
	return nil
}

// UnmarshalText implements [encoding.TextUnmarshaler]. Its error is a [*KeyError] that wraps
// [ErrUnknownValue].
func (d *DedupScope) UnmarshalText(text []byte) error {
	value, ok := dedupScopeByName[string(text)]
	if !ok {
		return unknownValueError("group", text)
	}
	*d = DedupScope(value)
	return nil
}

// Decode reads a settings object. It checks the form alone: whether the values make sense is
// for [policy.New] to say.
func Decode(text []byte) (*Settings, error) {
	settings := &Settings{}
	if err := json.Unmarshal(text, settings); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	return settings, nil
}
