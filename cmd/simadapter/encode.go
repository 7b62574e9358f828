package main

import (
	"encoding/json"
	"fmt"

	"swiftpitch/internal/policy"
)

// appendAction appends the wire form of an action to a reply, as one line.
func appendAction(reply []byte, instanceID int, action policy.Action) ([]byte, error) {
	form, err := wireForm(instanceID, action)
	if err != nil {
		return reply, err
	}
	text, err := json.Marshal(form)
	if err != nil {
		return reply, err
	}
	reply = append(reply, text...)
	return append(reply, '\n'), nil
}

// wireForm returns the value whose JSON text is the wire form of an action.
func wireForm(instanceID int, action policy.Action) (any, error) {
	header := func(name string) replyHeader {
		return replyHeader{Name: name, InstanceID: instanceID}
	}
	switch action := action.(type) {
	case policy.StartAttempt:
		return &startAttemptReply{header("Dispatch"), action.RequestID, action.Endpoint, action.Timeout}, nil
	case policy.CancelAttempt:
		return &cancelAttemptReply{header("Cancel"), action.RequestID, action.Attempt}, nil
	case policy.Reject:
		return &rejectReply{header("Busy"), action.RequestID, action.RetryAfter}, nil
	case policy.Fail:
		return &failReply{header("DropRequest"), action.RequestID}, nil
	case policy.AddToCounter:
		return &addToCounterReply{header("Tally"), action.Key, action.Units, action.TTL}, nil
	case policy.StartTimer:
		return &startTimerReply{header("SetTimer"), action.After, action.TimerID}, nil
	case policy.CheckHealth:
		return &checkHealthReply{header("Probe"), action.Endpoint}, nil
	case policy.WatchEndpoints:
		return &watchEndpointsReply{header("Tail"), true}, nil
	default:
		return nil, fmt.Errorf("no wire form for action %T", action)
	}
}
