package policy

import "time"

// Action is something that the caller of [Gateway.Step] carries out.
type Action interface{ action() }

// StartAttempt starts an attempt of a request. The attempts of a request are numbered
// from 0 in the order of these actions. Each is owed one [AttemptEnded] event.
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

// Reject is a final answer: the request had no effect, and a retry is harmless.
type Reject struct {
	RequestID  string
	RetryAfter time.Duration // when the client should retry; 0: not said
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ RequestID string }

// AddToCounter adds Units to a number at the counter service and reads its total. It
// is owed one [CounterReplied] event.
type AddToCounter struct {
	Key   uint64        // the number's name, below 1<<63
	Units float64       // 0 only reads; may be negative
	TTL   time.Duration // how long the counter keeps the number
}

// StartTimer asks for a [TimerFired] event once After has passed.
type StartTimer struct {
	After   time.Duration
	TimerID uint64
}

// CheckHealth asks an endpoint whether it serves. It is owed one [HealthCheckDone]
// event.
type CheckHealth struct{ Endpoint string }

// WatchEndpoints asks discovery for every change from now on.
type WatchEndpoints struct{}

func (StartAttempt) action()   {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (AddToCounter) action()   {}
func (StartTimer) action()     {}
func (CheckHealth) action()    {}
func (WatchEndpoints) action() {}
