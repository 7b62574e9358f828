package policy

import "time"

// Time is a reading of the caller's clock: the time since an epoch that all gateways
// share. It never goes backwards.
type Time = time.Duration

// Outcome is how an attempt, a health check or a call to the counter ended.
type Outcome int

// The outcomes. [Outcome.NeverRan] reports which of them prove that the request did not run.
const (
	Succeeded      Outcome = iota // answered with success
	ServerError                   // answered with an error
	Overloaded                    // rejected without being run
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection, or not sent completely, so it never ran
	ConnectionLost                // the connection gave no complete and valid answer; the request may have run
	Canceled                      // canceled by this gateway
	NotSent                       // not sent by the caller: no time or attempts left, or the request is done or the endpoint removed
)

// NeverRan reports whether the outcome of an attempt proves that the endpoint did not run
// the request. After any other outcome the request may have run.
func (o Outcome) NeverRan() bool {
	switch o {
	case Overloaded, ConnectFailed, NotSent:
		return true
	default:
		return false
	}
}

// EndpointState is the lifecycle state that discovery reports for an endpoint.
type EndpointState int

// The states of an endpoint.
const (
	Serving  EndpointState = iota // accepts requests
	Draining                      // finishes the requests that it has and accepts no more
	Removed                       // no longer exists
)

// UpdateScope tells how an [EndpointsUpdated] event relates to the list known so far.
type UpdateScope int

// The scopes of an update.
const (
	IncrementalUpdate UpdateScope = iota // only the entries that changed
	FullUpdate                           // the complete list
	CachedUpdate                         // the complete list that the gateway starts with, known from before its start; may be stale
	FailedUpdate                         // no list: the call to discovery failed
)

// Event is an input to the gateway. The caller passes it to [Gateway.Step].
type Event interface{ event() }

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	Weight    float64 // relative size, if discovery knows it
	StartedAt Time    // when its process last started; 0: long ago
	State     EndpointState
}

// LoadReport is an endpoint's report of its own load. Fields that it does not report are
// nil.
type LoadReport struct {
	InFlight    *float64 // requests in progress
	QueueLength *float64 // requests waiting
	Utilization *float64 // share of its capacity in use, 0 to 1
	LatencyMS   *float64 // typical latency in milliseconds
}

// EndpointsUpdated is an update of the endpoint list by discovery.
type EndpointsUpdated struct {
	Scope     UpdateScope
	Endpoints []Endpoint // the caller must not modify them afterwards
}

// RequestReceived is a client's complete request. It gets exactly one final answer, unless
// the client disconnects first. It does not tell whether the client has sent the request before:
// every try has the same claim to the tenant's quota, and is part of its demand.
type RequestReceived struct {
	RequestID      string
	Class          int // index into [Settings.Classes]
	Plan           int // index into [Settings.Plans]
	Tenant         uint64
	Timeout        time.Duration // until the client gives up on this request
	Units          float64       // units that it takes from the quota and the hard limit
	TenantGateways int           // number of gateways that receive the tenant's requests
}

// AttemptEnded reports how an attempt ended. There is exactly one for each attempt.
type AttemptEnded struct {
	RequestID   string
	Attempt     int // number of the attempt, from 0
	Endpoint    string
	Outcome     Outcome
	Latency     time.Duration // since the attempt was started
	RequestDone bool          // the request is done, by this outcome or earlier
	ActualUnits float64       // units actually used; 0: not reported
	Report      LoadReport
}

// ResponseStarted reports that the response of an attempt has begun to stream to the client.
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

// ClientDisconnected reports that the client of a request has disconnected. The request
// needs no answer.
type ClientDisconnected struct{ RequestID string }

// CounterReplied is the result of one [AddToCounter] action. Replies for the same key come
// in the order of the calls.
type CounterReplied struct {
	Key     uint64
	Outcome Outcome
	Total   float64 // the counter's total after the addition, if Outcome is Succeeded
}

// TimerFired reports that the timer of a [StartTimer] action has expired.
type TimerFired struct{ TimerID uint64 }

func (EndpointsUpdated) event()   {}
func (RequestReceived) event()    {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (HealthCheckDone) event()    {}
func (ClientDisconnected) event() {}
func (CounterReplied) event()     {}
func (TimerFired) event()         {}
