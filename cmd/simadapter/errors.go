package main

import (
	"errors"
	"fmt"
)

var (
	errInputEndsInBatch = errors.New("input ends inside a batch")
	errWrongBatchState  = errors.New("unexpected here, a batch begins with Round and ends with Go")
	errNoInstanceID     = errors.New("nodeId is missing")
	errUnknownMessage   = errors.New("unknown message")
)

// lineError reports an invalid line of the input.
type lineError struct {
	Line int // from 1
	Err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *lineError) Unwrap() error { return e.Err }

// messageError reports an invalid message, or one that cannot be handled.
type messageError struct {
	Name string // of the message
	Err  error
}

func (e *messageError) Error() string { return e.Name + ": " + e.Err.Error() }

func (e *messageError) Unwrap() error { return e.Err }

// notRunningError reports a message for an instance that was never started or was powered off.
type notRunningError struct{ InstanceID int }

func (e *notRunningError) Error() string {
	return fmt.Sprintf("instance %d is not running", e.InstanceID)
}
