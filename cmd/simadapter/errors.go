package main

import (
	"errors"
	"fmt"
)

var (
	errInputEndsInBatch = errors.New("input ends inside a batch")
	errWrongBatchState  = errors.New("out of place")
	errNoInstanceID     = errors.New("no nodeId")
	errUnknownMessage   = errors.New("unknown message")
)

// lineError is a fault in one line of the input.
type lineError struct {
	Line int // from 1
	Err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *lineError) Unwrap() error { return e.Err }

// messageError is a fault in a message that is in its place.
type messageError struct {
	Name string // of the message
	Err  error
}

func (e *messageError) Error() string { return e.Name + ": " + e.Err.Error() }

func (e *messageError) Unwrap() error { return e.Err }

// notRunningError is a message to an instance that was never started, or was powered off.
type notRunningError struct{ InstanceID int }

func (e *notRunningError) Error() string {
	return fmt.Sprintf("instance %d was never started", e.InstanceID)
}
