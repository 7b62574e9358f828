// Package logic decides, for one gateway of a metered service, which requests to
// admit, where to send them, and how to answer them. It does no I/O and reads no
// clock: the caller hands each event to [Gateway.Step] with the time at which it
// happened and carries out the actions that come back, in their order.
//
// This file is the whole interface; the decisions are in logic.go and place.go.
package policy

import "time"

// Time is a reading of the caller's clock: the time since an epoch that all
// gateways share. It never goes backwards.
type Time = time.Duration

// Idempotency says what a repeat of a request of some class may do.
type Idempotency int

// DedupScope names the servers that drop repeats of a keyed request.
type DedupScope int

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// EndpointState is what discovery says of a server.
type EndpointState int

// UpdateScope says how a [EndpointsUpdated] event relates to the list known so far.
type UpdateScope int

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

const (
	Succeeded      Outcome = iota // served
	ServerError                   // an error came back; it may have run
	Overloaded                    // turned away unseen
	TimedOut                      // no answer in time; it may have run
	ConnectFailed                 // no connection; it never ran
	ConnectionLost                // the connection broke; it may have run
	Canceled                      // cancelled; it may have run
	NotSent                       // not sent: the request was over or had used up its attempts
)

const (
	Serving  EndpointState = iota // takes work
	Draining                      // finishes its work; send nothing new
	Removed                       // gone
)

const (
	IncrementalUpdate UpdateScope = iota // only the entries that changed
	FullUpdate                           // the whole list
	CachedUpdate                         // the whole list as the gateway last had it; may be stale
	FailedUpdate                         // asking for the list failed
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

// Event is something that happened to the gateway.
type Event interface{ event() }

// Endpoint is one entry of a server list.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	Weight    float64 // relative size, where the registry knows it
	StartedAt Time    // last start; 0: long ago
	State     EndpointState
}

// LoadReport is the load that a server tells of itself; nil values were not told.
type LoadReport struct {
	InFlight, QueueLength, Utilization, LatencyMS *float64
}

type (
	// EndpointsUpdated is news from discovery.
	EndpointsUpdated struct {
		Scope     UpdateScope
		Endpoints []Endpoint
	}
	// RequestReceived is a client's request; it is owed exactly one final answer.
	RequestReceived struct {
		RequestID      string
		Class, Plan    int
		Tenant         uint64
		Timeout        time.Duration // until the client gives up on this try
		Units          float64
		TenantGateways int  // gateways through which the customer's requests come
		IsRetry        bool // marked by the client as a repeat
	}
	// AttemptEnded is the outcome of one attempt.
	AttemptEnded struct {
		RequestID   string
		Attempt     int
		Endpoint    string
		Outcome     Outcome
		Latency     time.Duration
		RequestDone bool    // the request is over, by this outcome or before it
		ActualUnits float64 // where units are trued up; else 0
		RateUsed    int     // 1 + percent of the rate used; 0: not told
		Report      LoadReport
	}
	// ResponseStarted tells that an attempt's answer has begun to flow to the client.
	ResponseStarted struct {
		RequestID string
		Attempt   int
		Endpoint  string
		Latency   time.Duration
	}
	// HealthCheckDone is the result of a probe.
	HealthCheckDone struct {
		Endpoint string
		Outcome  Outcome
		Latency  time.Duration
		Report   LoadReport
	}
	// ClientDisconnected tells that the client is gone: nothing more is owed.
	ClientDisconnected struct{ RequestID string }
	// CounterReplied answers one Count.
	CounterReplied struct {
		Key     uint64
		Outcome Outcome
		Total   float64
	}
	// TimerFired is a timer that ran out.
	TimerFired struct{ TimerID uint64 }
)

func (EndpointsUpdated) event()   {}
func (RequestReceived) event()    {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (HealthCheckDone) event()    {}
func (ClientDisconnected) event() {}
func (CounterReplied) event()     {}
func (TimerFired) event()         {}

// Action is something the caller carries out.
type Action interface{ action() }

type (
	// StartAttempt starts an attempt of a request; attempts are numbered from 0.
	StartAttempt struct {
		RequestID, Endpoint string
		Timeout             time.Duration // 0: until the client gives up
	}
	// CancelAttempt stops waiting for one attempt.
	CancelAttempt struct {
		RequestID string
		Attempt   int
	}
	// Reject is a final answer: turned away, trying again is harmless.
	Reject struct {
		RequestID  string
		RetryAfter time.Duration // advice to the client; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ RequestID string }
	// AddToCounter adds Units to a number of the counter service and reads the total.
	AddToCounter struct {
		Key   uint64 // below 1<<63
		Units float64
		TTL   time.Duration
	}
	// StartTimer asks for a Woke event after a while.
	StartTimer struct {
		After   time.Duration
		TimerID uint64
	}
	// CheckHealth checks a server.
	CheckHealth struct{ Endpoint string }
	// WatchEndpoints asks discovery for changes from now on.
	WatchEndpoints struct{}
)

func (StartAttempt) action()   {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (AddToCounter) action()   {}
func (StartTimer) action()     {}
func (CheckHealth) action()    {}
func (WatchEndpoints) action() {}
