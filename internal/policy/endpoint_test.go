package policy_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

func TestDrainingEndpointGetsNoAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	draining := testEndpoint(0)
	draining.State = policy.Draining
	h.step(policy.EndpointsUpdated{Scope: policy.IncrementalUpdate, Endpoints: []policy.Endpoint{draining}})
	for range 50 {
		id, actions := h.receive(0, 1, 1, 1)
		for _, attempt := range startedAttempts(actions) {
			if attempt.Endpoint == "s0" {
				t.Fatal("attempt at s0, which is draining")
			}
			h.succeed(id, attempt)
		}
	}
}

// Guards against unbounded memory use of a long-running gateway whose endpoints are replaced
// by ones with new IDs.
func TestRemovedEndpointsFreeTheirMemory(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	replace := func(from, to int) {
		for i := from; i < to; i++ {
			removed := policy.Endpoint{ID: fmt.Sprint("n", i-1), State: policy.Removed}
			added := policy.Endpoint{ID: fmt.Sprint("n", i), Weight: 1}
			h.step(policy.EndpointsUpdated{Scope: policy.IncrementalUpdate, Endpoints: []policy.Endpoint{removed, added}})
		}
	}
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	replace(0, 100)
	before := heap()
	replace(100, 3000)
	if after := heap(); after > before+200_000 {
		t.Errorf("%d removed endpoints still take %d bytes, want at most 200000", 2900, after-before)
	}
	runtime.KeepAlive(h)
}

func TestSubscribesToDiscoveryIfRequired(t *testing.T) {
	settings := testSettings()
	settings.MustSubscribe, settings.SubscriptionTimeout = true, 8*time.Second
	gateway, err := policy.New(0, settings)
	if err != nil {
		t.Fatal(err)
	}
	actions := gateway.Step(0, policy.EndpointsUpdated{Scope: policy.CachedUpdate}, nil)
	if !hasAction[policy.WatchEndpoints](actions) {
		t.Error("no WatchEndpoints action at the start")
	}
	actions = gateway.Step(time.Second, policy.EndpointsUpdated{Scope: policy.FailedUpdate}, nil)
	if len(actions) == 0 {
		t.Fatal("no timer for a new subscription after a failed update")
	}
	retry := actions[len(actions)-1].(policy.StartTimer)
	actions = gateway.Step(time.Second+retry.After, policy.TimerFired{TimerID: retry.TimerID}, nil)
	if !hasAction[policy.WatchEndpoints](actions) {
		t.Error("no WatchEndpoints action when the timer fires after a failed update")
	}
}
