package main

import (
	"errors"
	"fmt"

	"swiftpitch/internal/policy"
)

// messageEndpointsUpdated is the name of the only event message that refers to an earlier message.
const messageEndpointsUpdated = "BackendsChanged"

// eventDecoders maps the name of a message to the function that converts it to an event. The
// event is nil if the policy ignores such messages.
var eventDecoders = map[string]func(*message) (policy.Event, error){
	"Accept":       decodeRequestReceived,
	"Response":     decodeAttemptEnded,
	"HeadReceived": decodeResponseStarted,
	"Sampled":      decodeHealthCheckDone,
	"ClientLeft":   decodeClientDisconnected,
	"Reminder":     decodeTimerFired,
	"Sum":          decodeCounterReplied,
	"PeerData":     ignoreMessage, // gateways do not exchange data with each other
}

// Enumerated values of the messages.
var (
	updateScopeByName = map[string]policy.UpdateScope{
		"Partial":   policy.IncrementalUpdate,
		"Complete":  policy.FullUpdate,
		"Persisted": policy.CachedUpdate,
		"Error":     policy.FailedUpdate,
	}
	endpointStateByName = map[string]policy.EndpointState{
		"SERVING":  policy.Serving,
		"DRAINING": policy.Draining,
		"DELETED":  policy.Removed,
	}
	outcomeByName = map[string]policy.Outcome{
		"pass":       policy.Succeeded,
		"fault":      policy.ServerError,
		"no_room":    policy.Overloaded,
		"too_slow":   policy.TimedOut,
		"no_route":   policy.ConnectFailed,
		"cut":        policy.ConnectionLost,
		"undone":     policy.Canceled,
		"stale_send": policy.NotSent,
	}
)

// decodeEvent converts a message to an event, which is nil if the policy ignores such messages.
func (a *adapter) decodeEvent(m *message) (policy.Event, error) {
	if m.Name == messageEndpointsUpdated {
		return a.decodeEndpointsUpdated(m)
	}
	decode, ok := eventDecoders[m.Name]
	if !ok {
		return nil, errUnknownMessage
	}
	return decode(m)
}

// decodeEndpointsUpdated takes the endpoints from the list of an earlier Inventory message.
func (a *adapter) decodeEndpointsUpdated(m *message) (policy.Event, error) {
	scope, ok := updateScopeByName[m.Scope]
	if !ok {
		return nil, fmt.Errorf("unknown scope %q", m.Scope)
	}
	if scope == policy.FailedUpdate {
		return policy.EndpointsUpdated{Scope: scope}, nil
	}
	endpoints, ok := a.endpointListByNumber[m.ListNumber]
	if !ok {
		return nil, fmt.Errorf("no earlier Inventory message has page %d", m.ListNumber)
	}
	return policy.EndpointsUpdated{Scope: scope, Endpoints: endpoints}, nil
}

func decodeRequestReceived(m *message) (policy.Event, error) {
	if m.RequestID == "" || m.Timeout < 0 || m.Units < 0 {
		return nil, errors.New("xid is missing, or ttl or quotaUnits is negative")
	}
	return policy.RequestReceived{
		RequestID:      m.RequestID,
		Class:          m.Class,
		Plan:           m.Plan,
		Tenant:         m.Tenant,
		Timeout:        m.Timeout,
		Units:          m.Units,
		TenantGateways: int(m.TenantGateways),
	}, nil
}

func decodeAttemptEnded(m *message) (policy.Event, error) {
	outcome, err := m.outcome()
	if err != nil {
		return nil, err
	}
	return policy.AttemptEnded{
		RequestID:   m.RequestID,
		Attempt:     m.Attempt,
		Endpoint:    m.EndpointID,
		Outcome:     outcome,
		Latency:     m.Latency,
		RequestDone: m.RequestDone,
		ActualUnits: m.ActualUnits,
		Report:      m.loadReport(),
	}, nil
}

func decodeResponseStarted(m *message) (policy.Event, error) {
	return policy.ResponseStarted{
		RequestID: m.RequestID,
		Attempt:   m.Attempt,
		Endpoint:  m.EndpointID,
		Latency:   m.Latency,
	}, nil
}

func decodeHealthCheckDone(m *message) (policy.Event, error) {
	outcome, err := m.outcome()
	if err != nil {
		return nil, err
	}
	return policy.HealthCheckDone{
		Endpoint: m.EndpointID,
		Outcome:  outcome,
		Latency:  m.Latency,
		Report:   m.loadReport(),
	}, nil
}

func decodeClientDisconnected(m *message) (policy.Event, error) {
	return policy.ClientDisconnected{RequestID: m.RequestID}, nil
}

func decodeTimerFired(m *message) (policy.Event, error) {
	return policy.TimerFired{TimerID: m.TimerID}, nil
}

func decodeCounterReplied(m *message) (policy.Event, error) {
	outcome, err := m.outcome()
	if err != nil {
		return nil, err
	}
	return policy.CounterReplied{Key: m.CounterKey, Outcome: outcome, Total: m.CounterTotal}, nil
}

func ignoreMessage(*message) (policy.Event, error) { return nil, nil }

// outcome returns the outcome that a message reports.
func (m *message) outcome() (policy.Outcome, error) {
	outcome, ok := outcomeByName[m.Outcome]
	if !ok {
		return 0, fmt.Errorf("unknown result %q", m.Outcome)
	}
	return outcome, nil
}

// loadReport returns the load report of a message, empty if it has none.
func (m *message) loadReport() policy.LoadReport {
	if m.LoadReport == nil {
		return policy.LoadReport{}
	}
	return policy.LoadReport{
		InFlight:    m.LoadReport.InFlight,
		QueueLength: m.LoadReport.QueueLength,
		Utilization: m.LoadReport.Utilization,
		LatencyMS:   m.LoadReport.LatencyMS,
	}
}

// endpoints returns the endpoints that a message lists.
func (m *message) endpoints() ([]policy.Endpoint, error) {
	endpoints := make([]policy.Endpoint, 0, len(m.Endpoints))
	for _, entry := range m.Endpoints {
		state, ok := endpointStateByName[entry.State]
		if !ok || entry.ID == "" {
			return nil, fmt.Errorf("server %q with state %q: no ID or unknown state", entry.ID, entry.State)
		}
		endpoints = append(endpoints, policy.Endpoint{
			ID:        entry.ID,
			Zone:      entry.Zone,
			Cell:      entry.Cell,
			Weight:    entry.Weight,
			StartedAt: entry.StartedAt,
			State:     state,
		})
	}
	return endpoints, nil
}
