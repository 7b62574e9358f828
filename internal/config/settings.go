// Package config decodes and checks the configuration file of an edge node and the settings
// object, which is part of the file and of the simulator's messages. Its errors name the key at
// fault, see [KeyError].
//
// The package keeps no state: every function may be called from any goroutine.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"swiftpitch/internal/policy"
)

// MaxBodyBytes is the largest body of a request or of a response, in bytes. Messages with a
// larger body are not forwarded.
const MaxBodyBytes = 64 << 10

// Settings is the settings object. Other keys are ignored, among them the prices, the worth of
// requests and the latency that is aimed at, on which no decision depends. In JSON, durations are
// integers in nanoseconds.
type Settings struct {
	Gateways      int           `json:"nInstances"`
	GatewayIndex  int           `json:"rank"`
	Zones         []string      `json:"localities"`
	DiscoveryMode string        `json:"membershipMode"`
	Classes       []Class       `json:"classes"`
	Plans         []Plan        `json:"tiersOfService"`
	EndpointRules EndpointRules `json:"contract"`
	Accounting    Accounting    `json:"familyInfo"`
	Limits        Limits        `json:"limits"`
}

// Class holds the settings of one class of requests.
type Class struct {
	Name        string        `json:"name"`
	Deadline    time.Duration `json:"deadline"`
	Idempotency Idempotency   `json:"effect"`
	DedupScope  DedupScope    `json:"group"`
	Streaming   bool          `json:"stream"`
	DedupWindow time.Duration `json:"window"`
}

// Plan holds the quota and the hard limit of the tenants that have the plan.
type Plan struct {
	Name               string  `json:"name"`
	Burst              float64 `json:"depth"`
	HardLimitBurst     float64 `json:"ceilingBurst"`
	HardLimitRate      float64 `json:"neverOverRate"`
	HardLimitTolerance float64 `json:"tolerance"`
	MaxConcurrent      int     `json:"concurrency"`
	Rate               float64 `json:"refill"`
}

// EndpointRules describes how endpoints drain, start slowly and fail under overload, and after
// how long without a subscription to discovery a gateway counts as notified of all changes.
type EndpointRules struct {
	SubscriptionTimeout time.Duration `json:"askEvery"`
	SlowStartCapacity   float64       `json:"coldFrom"`
	DrainGrace          time.Duration `json:"drainGrace"`
	OverloadMultiple    float64       `json:"fallMultiple"`
	OverloadDuration    time.Duration `json:"overloadFor"`
	SlowStartDuration   time.Duration `json:"warmUp"`
}

// Accounting describes how the units of requests are counted.
type Accounting struct {
	CounterEnabled      bool          `json:"counter"`
	CounterTimeout      time.Duration `json:"countWait"`
	MaxRequestUnits     float64       `json:"mostUnits"`
	ActualUnitsReported bool          `json:"truedUp"`
}

// Limits holds the features and limits that a site permits.
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

// Idempotency is a [policy.Idempotency] that is decoded from its name.
type Idempotency policy.Idempotency

// DedupScope is a [policy.DedupScope] that is decoded from its name. The empty name stands for
// [policy.DedupFleet].
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

// Decode parses a settings object. It checks only the JSON types and the names of enumerated
// values; [policy.New] checks the other values.
func Decode(text []byte) (*Settings, error) {
	settings := &Settings{}
	if err := json.Unmarshal(text, settings); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	return settings, nil
}
