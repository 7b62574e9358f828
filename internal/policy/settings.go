package policy

import "time"

// Idempotency tells whether a request may run more than once.
type Idempotency int

// The kinds of idempotency, from the least to the most restrictive.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // endpoints drop duplicates within a scope and a time window
	NonIdempotent                      // must not run twice
)

// DedupScope tells which endpoints recognize duplicates of a request that has an
// idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // every endpoint
	DedupZone                    // the endpoints of one zone
	DedupCell                    // the endpoints of one cell
)

// Class describes one class of requests.
type Class struct {
	Deadline    time.Duration // how long a client waits in total, over all its retries
	Idempotency Idempotency
	DedupScope  DedupScope    // for IdempotentByKey only
	DedupWindow time.Duration // for IdempotentByKey only: how long duplicates are dropped
	Streaming   bool          // the response is streamed to the client
}

// Plan holds the limits of a tenant, which apply to all gateways together. Quota and hard
// limit are token buckets.
type Plan struct {
	Rate               float64 // units per second that refill the quota; 0: no quota
	Burst              float64 // units that the quota's bucket holds
	MaxConcurrent      int     // attempts in flight at once; 0: no limit
	HardLimitRate      float64 // units per second that refill the hard limit; 0: no hard limit
	HardLimitBurst     float64 // units that the hard limit's bucket holds
	HardLimitTolerance float64 // units by which the hard limit's bucket may go below zero
}

// Settings describes the deployment to a gateway when it starts. All fields are facts about
// the deployment; none is a tuning parameter, and none tells what an operator pays or earns.
type Settings struct {
	Seed                uint64 // for all random numbers of this incarnation (one run of the gateway's process)
	GatewayIndex        int    // number of this gateway, from 0
	Gateways            int    // number of gateways in the fleet
	MaxTenants          int    // tenants whose state may be kept at a time; 0: no limit
	Classes             []Class
	Plans               []Plan
	MustSubscribe       bool          // discovery sends no changes without a subscription
	SubscriptionTimeout time.Duration // after this long without a subscription, the gateway counts as notified of changes, so a failed subscription is retried sooner
	CounterEnabled      bool          // the counter service may be called
	CounterTimeout      time.Duration // a counter call without a reply ends after this
	ActualUnitsReported bool          // responses report the units actually used
	MaxRequestUnits     float64       // most units that one request can take; 0: unknown

	SlowStartCapacity float64       // share of its full capacity that an endpoint has when it starts
	SlowStartDuration time.Duration // from an endpoint's start until it has its full capacity
	OverloadMultiple  float64       // load, in multiples of its current capacity, that overloads a warming-up endpoint
	OverloadDuration  time.Duration // how long such a load must last to make the endpoint fail

	AllowCancel       bool          // attempts may be canceled
	AllowHealthChecks bool          // endpoints may be health-checked
	AllowHedging      bool          // two attempts of a request may be in flight at once
	AllowRetryAfter   bool          // clients honor Retry-After
	MaxAttempts       int           // most attempts of one request
	MaxRetryAfter     time.Duration // longest Retry-After that clients honor
}
