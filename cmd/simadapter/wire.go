package main

import (
	"encoding/json"
	"time"

	"swiftpitch/internal/policy"
)

// Names of the messages that the adapter handles itself. decode.go has the names of the messages
// that are converted to events.
const (
	messageRound     = "Round"     // begins a batch and sets the time
	messageGo        = "Go"        // ends a batch
	messageInventory = "Inventory" // defines a numbered list of endpoints
	messageStart     = "Start"     // starts an instance
	messagePowerOff  = "PowerOff"  // ends an instance
)

// message is a message of the simulator of any kind. A single type lets each line be parsed only
// once; fields that a message does not have stay zero. Durations are in nanoseconds.
type message struct {
	Name           string          `json:"msg"`
	InstanceID     *int            `json:"nodeId"`
	Time           *int64          `json:"simTime"`
	Seed           uint64          `json:"entropy"`
	Settings       json.RawMessage `json:"setup"`
	ListNumber     int             `json:"page"`
	Endpoints      []endpoint      `json:"rows"`
	Scope          string          `json:"scope"`
	RequestID      string          `json:"xid"`
	Class          int             `json:"priority"`
	Plan           int             `json:"terms"`
	Tenant         uint64          `json:"account"`
	Timeout        time.Duration   `json:"ttl"`
	Units          float64         `json:"quotaUnits"`
	TenantGateways float64         `json:"spread"`
	Attempt        int             `json:"hop"`
	EndpointID     string          `json:"server"`
	Outcome        string          `json:"result"`
	Latency        time.Duration   `json:"lag"`
	RequestDone    bool            `json:"terminal"`
	ActualUnits    float64         `json:"trueUnits"`
	LoadReport     *loadReport     `json:"telemetry"`
	TimerID        uint64          `json:"cookie"`
	CounterKey     uint64          `json:"entryName"`
	CounterTotal   float64         `json:"reading"`
}

// loadReport is a [policy.LoadReport] on the wire.
type loadReport struct {
	InFlight    *float64 `json:"rif"`
	QueueLength *float64 `json:"q"`
	Utilization *float64 `json:"busy"`
	LatencyMS   *float64 `json:"lat_ms"`
}

// endpoint is a [policy.Endpoint] on the wire.
type endpoint struct {
	ID        string      `json:"server"`
	Weight    float64     `json:"nominal"`
	Cell      int         `json:"cluster"`
	StartedAt policy.Time `json:"born"`
	Zone      int         `json:"zone"`
	State     string      `json:"state"`
}

// endLine ends the reply to a batch.
const endLine = `{"msg":"End"}` + "\n"

// replyHeader holds the first fields of each line of a reply, except the last line.
type replyHeader struct {
	Name       string `json:"msg"`
	InstanceID int    `json:"nodeId"`
}

// The wire forms of the actions. The order of the fields is the order in the JSON text.
type (
	startAttemptReply struct {
		replyHeader
		RequestID  string        `json:"xid,omitempty"`
		EndpointID string        `json:"server,omitempty"`
		Timeout    time.Duration `json:"tryFor,omitempty"`
	}
	cancelAttemptReply struct {
		replyHeader
		RequestID string `json:"xid,omitempty"`
		Attempt   int    `json:"hop"`
	}
	rejectReply struct {
		replyHeader
		RequestID  string        `json:"xid,omitempty"`
		RetryAfter time.Duration `json:"holdOff,omitempty"`
	}
	failReply struct {
		replyHeader
		RequestID string `json:"xid,omitempty"`
	}
	addToCounterReply struct {
		replyHeader
		CounterKey uint64        `json:"entryName"`
		Units      float64       `json:"qty"`
		TTL        time.Duration `json:"lives,omitempty"`
	}
	startTimerReply struct {
		replyHeader
		After   time.Duration `json:"span"`
		TimerID uint64        `json:"cookie"`
	}
	checkHealthReply struct {
		replyHeader
		EndpointID string `json:"server,omitempty"`
	}
	watchEndpointsReply struct {
		replyHeader
		Enable bool `json:"enable"`
	}
)
