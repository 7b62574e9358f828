package edge

import (
	"testing"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// endpointRecorder records when the policy is told that endpoints started.
type endpointRecorder struct {
	policyGateway
	startedAt map[string]policy.Time
}

// Step implements policyGateway.
func (r endpointRecorder) Step(now policy.Time, event policy.Event, out []policy.Action) []policy.Action {
	if event, ok := event.(policy.EndpointsUpdated); ok {
		for _, endpoint := range event.Endpoints {
			r.startedAt[endpoint.ID] = endpoint.StartedAt
		}
	}
	return r.policyGateway.Step(now, event, out)
}

// Guards against a cold endpoint that is taken for a warm one, or a warm one that is taken for a
// cold one for an hour, when wall clocks are stepped after the node's start: its own, those of the
// other machines, or all. The start of an endpoint that is reported again stays the same.
func TestSteppedClockKeepsSlowStart(t *testing.T) {
	const age = 5 * time.Second // of the new endpoint's process
	for _, test := range []struct {
		name              string
		ownStep, peerStep time.Duration
		minAge, maxAge    time.Duration // that the policy may see
	}{
		{"no step", 0, 0, age, age + testsupport.MaxWait},
		{"all an hour ahead", time.Hour, time.Hour, age, age + testsupport.MaxWait},
		{"all an hour back", -time.Hour, -time.Hour, age, age + testsupport.MaxWait},
		{"all three seconds back", -3 * time.Second, -3 * time.Second, age, age + testsupport.MaxWait},
		{"own an hour ahead", time.Hour, 0, age, age + testsupport.MaxWait},
		{"own an hour back", -time.Hour, 0, age, age + testsupport.MaxWait},
		{"the others an hour ahead", 0, time.Hour, 0, age + testsupport.MaxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startNode(t, testConfig(t))
			recorder := endpointRecorder{policyGateway: h.node.gateway, startedAt: map[string]policy.Time{}}
			h.node.mu.Lock()
			h.node.gateway = recorder
			h.node.clock.wall = func() time.Time { return time.Now().Add(test.ownStep) }
			h.node.mu.Unlock()
			list := discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "s-9", HostPort: "127.0.0.1:9", Zone: "a",
				Lifecycle: discovery.Serving, StartedAtMS: time.Now().Add(test.peerStep - age).UnixMilli()}}}
			h.node.applyList(list, policy.IncrementalUpdate)
			startedAt := recorder.startedAt["s-9"]
			if got := h.node.clock.now() - startedAt; got < test.minAge || got > test.maxAge {
				t.Errorf("the endpoint has an age of %v, want %v to %v", got, test.minAge, test.maxAge)
			}
			h.node.clock.wall = time.Now
			h.node.applyList(list, policy.IncrementalUpdate)
			if again := recorder.startedAt["s-9"]; again != startedAt {
				t.Errorf("reported again, the start moves by %v", again-startedAt)
			}
		})
	}
}
