package policy

import "time"

// Time is a reading of the caller's clock: the time since an epoch that all gateways
// share. It never goes backwards.
type Time = time.Duration

// Outcome is how an attempt, a health check or a call to the counter ended.
type Outcome int

// The outcomes. Those of which it says so prove that the request never ran; after any
// other the endpoint may have run it.
const (
	Succeeded      Outcome = iota // answered with success
	ServerError                   // answered with an error
	Overloaded                    // rejected before it was run; it never ran
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection; it never ran
	ConnectionLost                // the connection broke under the request
	Canceled                      // canceled by this gateway
	NotSent                       // never sent, as the request was done or had used up its attempts
)

// NeverRan reports whether an attempt with this outcome proves that its endpoint did not
// run the request. After any other outcome it may have run.
func (o Outcome) NeverRan() bool {
	switch o {
	case Overloaded, ConnectFailed, NotSent:
		return true
	default:
		return false
	}
}

// EndpointState is what discovery says of an endpoint.
type EndpointState int

// The states of an endpoint.
const (
	Serving  EndpointState = iota // takes new work
	Draining                      // finishes its work and takes nothing new
	Removed                       // no longer exists
)

// UpdateScope says how an [EndpointsUpdated] event relates to the list known so far.
type UpdateScope int

// The scopes of an update.
const (
	IncrementalUpdate UpdateScope = iota // only the entries that changed
	FullUpdate                           // the complete list
	CachedUpdate                         // the complete list as the gateway last had it; may be stale
	FailedUpdate                         // no list: the call to discovery failed
)

// Event is something that happened to the gateway. The caller hands it to
// [Gateway.Step].
type Event interface{ event() }

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	Weight    float64 // relative size, where the registry knows it
	StartedAt Time    // its last start; 0: long ago
	State     EndpointState
}

// LoadReport is the load that an endpoint reports of itself. A nil value was not
// reported.
type LoadReport struct {
	InFlight    *float64 // requests in progress
	QueueLength *float64 // requests that wait
	Utilization *float64 // share of its capacity in use, 0 to 1
	LatencyMS   *float64 // usual latency in milliseconds
}

// EndpointsUpdated is an update from discovery.
type EndpointsUpdated struct {
	Scope     UpdateScope
	Endpoints []Endpoint // the caller may not change them afterwards
}

// RequestReceived is a client's complete request. The gateway owes it exactly one
// final answer, unless the client disconnects first.
type RequestReceived struct {
	RequestID      string
	Class          int // index into [Settings.Classes]
	Plan           int // index into [Settings.Plans]
	Tenant         uint64
	Timeout        time.Duration // until the client gives up on this request
	Units          float64       // what it counts against quota and hard limit
	TenantGateways int           // gateways through which the tenant's requests come
	IsRetry        bool          // marked by the client as a retry
}

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	RequestID   string
	Attempt     int // number of the attempt, from 0
	Endpoint    string
	Outcome     Outcome
	Latency     time.Duration // since the attempt was started
	RequestDone bool          // the request is done, by this outcome or before it
	ActualUnits float64       // units really used, where endpoints report them; else 0
	RateUsed    int           // 1 + percent of the plan's rate in use; 0: not reported
	Report      LoadReport
}

// ResponseStarted says that the answer of an attempt began to flow to the client.
type ResponseStarted struct {
	RequestID string
	Attempt   int
	Endpoint  string
	Latency   time.Duration // since the attempt was started
}

// HealthCheckDone is the result of a [CheckHealth] action.
type HealthCheckDone struct {
	Endpoint string
	Outcome  Outcome
	Latency  time.Duration
	Report   LoadReport
}

// ClientDisconnected says that a request's client is gone and is owed nothing more.
type ClientDisconnected struct{ RequestID string }

// CounterReplied is the result of one [AddToCounter] action. Calls for the same key
// are answered in their order.
type CounterReplied struct {
	Key     uint64
	Outcome Outcome
	Total   float64 // the counter's total after the addition, if Outcome is Succeeded
}

// TimerFired says that the timer of a [StartTimer] action ran out.
type TimerFired struct{ TimerID uint64 }

func (EndpointsUpdated) event()   {}
func (RequestReceived) event()    {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (HealthCheckDone) event()    {}
func (ClientDisconnected) event() {}
func (CounterReplied) event()     {}
func (TimerFired) event()         {}
