package policy

import "time"

// Idempotency says what a further attempt of a request may do.
type Idempotency int

// The kinds of idempotency, the least delicate first.
const (
	Idempotent      Idempotency = iota // any number of attempts does no harm
	IdempotentByKey                    // duplicates are dropped within a scope and a window
	NonIdempotent                      // must never run twice
)

// DedupScope names the endpoints that drop duplicates of a request with an
// idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // every endpoint
	DedupZone                    // the endpoints of one zone
	DedupCell                    // the endpoints of one cell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the whole priority weight
	Deadline         time.Duration // how long a client waits over all its retries
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentByKey only
	DedupWindow      time.Duration // for IdempotentByKey only: how long duplicates are dropped
	LateWeight       float64       // share of the weight earned between objective and deadline
	PriorityWeight   float64       // what an answer is worth, relative to other classes
	Streaming        bool          // the answer flows to the client as it comes
}

// Plan is what a tenant may use, counted over all gateways together. Quota and hard
// limit are token buckets.
type Plan struct {
	Rate               float64 // units per second that refill the quota; 0: no quota
	Burst              float64 // units that the quota's bucket holds
	MaxConcurrent      int     // attempts in flight at once; 0: no limit
	HardLimitRate      float64 // units per second that refill the hard limit; 0: no hard limit
	HardLimitBurst     float64 // units that the hard limit's bucket holds
	HardLimitTolerance float64 // units by which that bucket may go below zero
	PriorityWeight     float64 // factor on the class's priority weight
	OverQuotaWeight    float64 // share of the weight that a request beyond the quota earns
	OverQuotaCost      float64 // share of the weight that forwarding it beyond the quota costs
}

// Settings is what a gateway is told when it starts. All fields are facts about the
// deployment; none of them tunes a decision.
type Settings struct {
	Seed                uint64 // of all randomness of this incarnation
	GatewayIndex        int    // number of this gateway, from 0
	Gateways            int    // size of the fleet
	Zone                int    // zone of this gateway
	Classes             []Class
	Plans               []Plan
	MustSubscribe       bool          // discovery sends nothing without a subscription
	SubscriptionTimeout time.Duration // after this long without one, changes count as notified
	CounterEnabled      bool          // the counter service may be called
	CounterTimeout      time.Duration // a call to the counter without an answer ends after this
	MeterPeriod         time.Duration // period of the delayed usage meter; 0: none
	ActualUnitsReported bool          // answers report the units really used
	MaxRequestUnits     float64       // the most units that one request counts; 0: not known

	SlowStartCapacity float64       // share of its capacity that an endpoint has at its start
	SlowStartDuration time.Duration // until it has all of it
	OverloadMultiple  float64       // a warming-up endpoint fails under this times its capacity
	OverloadDuration  time.Duration // if that lasts for this long

	AllowCancel               bool          // attempts may be canceled
	AllowHealthChecks         bool          // endpoints may be asked for their health
	AllowHedging              bool          // two attempts of a request may be in flight at once
	AllowRetryAfter           bool          // clients heed Retry-After
	MaxAttempts               int           // of one request
	MaxRetryAfter             time.Duration // the longest Retry-After that clients heed
	CrossZoneCost             float64       // cost of an attempt that leaves the zone
	LoadReportsInHealthChecks bool          // load reports come with health checks only
}
