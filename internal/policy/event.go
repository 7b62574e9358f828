package policy

import "time"

// Time is a reading of the caller's clock: the time since an epoch that all
// gateways share. It never goes backwards.
type Time = time.Duration

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// EndpointState is what discovery says of a server.
type EndpointState int

// UpdateScope says how a [EndpointsUpdated] event relates to the list known so far.
type UpdateScope int

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

func (EndpointsUpdated) event() {}

func (RequestReceived) event() {}

func (AttemptEnded) event() {}

func (ResponseStarted) event() {}

func (HealthCheckDone) event() {}

func (ClientDisconnected) event() {}

func (CounterReplied) event() {}

func (TimerFired) event() {}
