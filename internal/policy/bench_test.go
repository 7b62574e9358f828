package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

var benchmarkFleetSizes = []int{16, 200, 1000}

// newBenchmarkGateway returns a gateway with a number of endpoints, none of them warming up.
func newBenchmarkGateway(b *testing.B, endpoints int) (*policy.Gateway, []policy.Endpoint) {
	b.Helper()
	gateway, err := policy.New(time.Hour, testSettings())
	if err != nil {
		b.Fatal(err)
	}
	list := make([]policy.Endpoint, endpoints)
	for i := range list {
		list[i] = policy.Endpoint{ID: fmt.Sprint("s", i), Zone: i % 2, Weight: 1, State: policy.Serving}
	}
	gateway.Step(time.Hour, policy.EndpointsUpdated{Scope: policy.FullUpdate, Endpoints: list}, nil)
	return gateway, list
}

// BenchmarkRequest measures a request with one successful attempt, from its receipt to its end.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			gateway, _ := newBenchmarkGateway(b, endpoints)
			now := time.Duration(time.Hour)
			var actions, more []policy.Action
			b.ReportAllocs()
			for b.Loop() {
				now += 4 * time.Millisecond
				actions = gateway.Step(now, policy.RequestReceived{RequestID: "r", Plan: 1, Tenant: 1,
					Timeout: 2 * time.Second, Units: 1, TenantGateways: 3}, actions[:0])
				for _, action := range actions {
					if attempt, ok := action.(policy.StartAttempt); ok {
						more = gateway.Step(now+time.Millisecond, policy.AttemptEnded{RequestID: "r", Endpoint: attempt.Endpoint,
							Outcome: policy.Succeeded, Latency: time.Millisecond, RequestDone: true}, more[:0])
					}
				}
				for _, action := range actions { // a pending timer would keep its request in memory
					if timer, ok := action.(policy.StartTimer); ok {
						more = gateway.Step(now+time.Millisecond, policy.TimerFired{TimerID: timer.TimerID}, more[:0])
					}
				}
			}
		})
	}
}

// BenchmarkEndpointUpdate measures two updates: one drains an endpoint, one restores it.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, endpoints := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			gateway, list := newBenchmarkGateway(b, endpoints)
			var actions []policy.Action
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				changed := list[i%len(list)]
				for _, state := range []policy.EndpointState{policy.Draining, policy.Serving} {
					changed.State = state
					update := policy.EndpointsUpdated{Scope: policy.IncrementalUpdate, Endpoints: []policy.Endpoint{changed}}
					actions = gateway.Step(time.Hour, update, actions[:0])
				}
				i++
			}
		})
	}
}
