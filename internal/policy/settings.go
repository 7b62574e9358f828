package policy

import "time"

// Idempotency says what a repeat of a request of some class may do.
type Idempotency int

// DedupScope names the servers that drop repeats of a keyed request.
type DedupScope int

const (
	Idempotent      Idempotency = iota // any number of attempts does no harm
	IdempotentByKey                    // repeats are dropped inside a group of servers for a while
	NonIdempotent                      // must never run twice
)

const (
	DedupFleet DedupScope = iota // every server
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns full worth
	Deadline         time.Duration // how long a client waits over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // Keyed only
	DedupWindow      time.Duration // Keyed only: how long repeats are dropped
	LateWeight       float64       // share of the worth earned between aim and deadline
	PriorityWeight   float64
	Streaming        bool
}

// Plan is what a customer may use, counted over all gateways together.
type Plan struct {
	Rate               float64 // units per second that refill the quota; 0: none
	Burst              float64 // units that the quota's store holds
	MaxConcurrent      int     // attempts out at once; 0: no such cap
	HardLimitRate      float64 // units per second of the hard ceiling; 0: none
	HardLimitBurst     float64 // units that the ceiling's store holds
	HardLimitTolerance float64 // units by which that store may go below zero
	PriorityWeight     float64 // factor on the worth
	OverQuotaWeight    float64 // share of the worth that a request beyond the quota earns
	OverQuotaCost      float64 // share of the worth that sending it beyond the quota costs
}

// Settings is what a gateway is told when it starts. All fields are facts about
// the deployment; none of them tunes a decision.
type Settings struct {
	Seed                uint64 // of this life's random numbers
	GatewayIndex        int    // number of this gateway, from 0
	Gateways            int    // how many there are
	Zone                int    // where this gateway stands
	Classes             []Class
	Plans               []Plan
	MustSubscribe       bool          // discovery sends nothing unless subscribed to
	SubscriptionTimeout time.Duration // without a subscription for this long, counts as told
	CounterEnabled      bool          // the counter service may be called
	CounterTimeout      time.Duration // a counter call without an answer ends after this
	MeterPeriod         time.Duration // period of the late meter; 0: none
	ActualUnitsReported bool          // true units come with the answer
	MaxRequestUnits     float64       // the most units that one request counts

	SlowStartCapacity float64       // a server starts with this share of its capacity or more
	SlowStartDuration time.Duration // and is warm after this
	OverloadMultiple  float64       // more than this times its present capacity
	OverloadDuration  time.Duration // for this long makes a cold server fall over

	AllowCancel               bool
	AllowHealthChecks         bool
	AllowHedging              bool // two attempts of one request may be out at once
	AllowRetryAfter           bool // clients are told how long to hold off
	MaxAttempts               int
	MaxRetryAfter             time.Duration // the longest advice that clients heed
	CrossZoneCost             float64       // price of an attempt that leaves the zone
	LoadReportsInHealthChecks bool          // load reports come with probes only
}
