package policy

import "time"

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

func (StartAttempt) action() {}

func (CancelAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (AddToCounter) action() {}

func (StartTimer) action() {}

func (CheckHealth) action() {}

func (WatchEndpoints) action() {}
