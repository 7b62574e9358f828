package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// BenchmarkRequestOver1000Endpoints measures a request from receipt to its answer, in
// which the balancer examines every endpoint.
func BenchmarkRequestOver1000Endpoints(b *testing.B) {
	const endpoints = 1000
	set := settings()
	set.AllowHedging, set.CounterEnabled = false, false
	now := 1000 * time.Second
	gateway, err := policy.New(now, set)
	if err != nil {
		b.Fatal(err)
	}
	update := policy.EndpointsUpdated{Scope: policy.FullUpdate}
	for i := range endpoints {
		update.Endpoints = append(update.Endpoints, policy.Endpoint{ID: fmt.Sprint("s", i), Zone: i % 2, Weight: 1})
	}
	actions := gateway.Step(now, update, nil)
	received := policy.RequestReceived{RequestID: "request", Plan: 1, Tenant: 1, Timeout: 2 * time.Second,
		Units: 1, TenantGateways: 3}
	b.ReportAllocs()
	for b.Loop() {
		now += 20 * ms
		actions = gateway.Step(now, received, actions[:0])
		if len(sent(actions)) != 1 {
			b.Fatalf("not forwarded: %v", actions)
		}
		for _, action := range actions {
			started, ok := action.(policy.StartAttempt)
			if !ok {
				continue
			}
			gateway.Step(now, policy.AttemptEnded{RequestID: received.RequestID, Endpoint: started.Endpoint,
				Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true}, nil)
		}
	}
}
