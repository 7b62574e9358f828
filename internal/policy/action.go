package policy

import "time"

// Action is an instruction that the caller of [Gateway.Step] carries out.
type Action interface{ action() }

// StartAttempt starts an attempt of a request. The attempts of a request are numbered
// from 0 in the order of these actions. The caller answers each with one [AttemptEnded]
// event.
type StartAttempt struct {
	RequestID string
	Endpoint  string
	Timeout   time.Duration // 0: until the client gives up
}

// CancelAttempt stops waiting for an attempt; it ends as [Canceled].
type CancelAttempt struct {
	RequestID string
	Attempt   int
}

// Reject is a final answer after which the client may safely retry: the request never ran,
// or it is idempotent, or every endpoint drops its duplicates within the class's DedupWindow.
type Reject struct {
	RequestID  string
	RetryAfter time.Duration // how long the client should wait before a retry; 0: unspecified
}

// Fail is a final answer that leaves open whether the request has run.
type Fail struct{ RequestID string }

// AddToCounter adds Units to a total at the counter service and reads the new total. The
// caller answers it with one [CounterReplied] event.
type AddToCounter struct {
	Key   uint64        // identifies the total; below 1<<63
	Units float64       // 0 only reads; may be negative
	TTL   time.Duration // how long the counter service keeps the total
}

// StartTimer asks for a [TimerFired] event once After has passed.
type StartTimer struct {
	After   time.Duration
	TimerID uint64
}

// CheckHealth starts a health check of an endpoint. The caller answers it with one
// [HealthCheckDone] event.
type CheckHealth struct{ Endpoint string }

// WatchEndpoints subscribes at discovery to all further changes of the endpoint list.
type WatchEndpoints struct{}

func (StartAttempt) action()   {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (AddToCounter) action()   {}
func (StartTimer) action()     {}
func (CheckHealth) action()    {}
func (WatchEndpoints) action() {}
