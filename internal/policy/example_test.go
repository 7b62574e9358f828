package policy_test

import (
	"fmt"
	"time"

	"swiftpitch/internal/policy"
)

// A gateway is told of an endpoint, then of a request, and then of the success of its attempt.
func Example() {
	now := 10 * time.Second // since an epoch that all gateways share
	gateway, err := policy.New(now, policy.Settings{
		Gateways: 2, MaxAttempts: 2,
		Classes: []policy.Class{{Deadline: 2 * time.Second}},
		Plans:   []policy.Plan{{Rate: 5, Burst: 10}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []policy.Action
	actions = gateway.Step(now, policy.EndpointsUpdated{Scope: policy.FullUpdate,
		Endpoints: []policy.Endpoint{{ID: "10.0.0.1:80"}}}, actions[:0])
	actions = gateway.Step(now, policy.RequestReceived{RequestID: "r1", Tenant: 7, Timeout: 2 * time.Second,
		Units: 1, TenantGateways: 2}, actions[:0])
	for _, action := range actions {
		if attempt, ok := action.(policy.StartAttempt); ok {
			fmt.Println("forward", attempt.RequestID, "to", attempt.Endpoint)
		}
	}
	now += 40 * time.Millisecond
	actions = gateway.Step(now, policy.AttemptEnded{RequestID: "r1", Endpoint: "10.0.0.1:80", Outcome: policy.Succeeded,
		Latency: 40 * time.Millisecond, RequestDone: true}, actions[:0])
	fmt.Println(len(actions), "actions left")
	// Output:
	// forward r1 to 10.0.0.1:80
	// 0 actions left
}
