package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

func TestNonIdempotentRequestFailsOnceItMayHaveRun(t *testing.T) {
	for _, outcome := range []policy.Outcome{policy.ServerError, policy.ConnectionLost, policy.TimedOut, policy.Canceled} {
		h := newHarness(t, testSettings(), 6)
		id, actions := h.receive(2, 1, 1, 1)
		actions = h.step(policy.AttemptEnded{RequestID: id, Endpoint: startedAttempts(actions)[0].Endpoint, Outcome: outcome, Latency: ms})
		if len(startedAttempts(actions)) > 0 || hasAction[policy.Reject](actions) || !hasAction[policy.Fail](actions) {
			t.Errorf("outcome %d: actions %v, want Fail without an attempt or Reject", outcome, actions)
		}
	}
	for _, outcome := range []policy.Outcome{policy.Overloaded, policy.ConnectFailed} {
		h := newHarness(t, testSettings(), 6)
		id, actions := h.receive(2, 1, 1, 1)
		actions = h.step(policy.AttemptEnded{RequestID: id, Endpoint: startedAttempts(actions)[0].Endpoint, Outcome: outcome, Latency: ms})
		if len(startedAttempts(actions)) != 1 {
			t.Errorf("outcome %d: actions %v, want a retry because the request never ran", outcome, actions)
		}
	}
}

func TestIdempotentByKeyRetryStaysInZone(t *testing.T) {
	zones := map[string]int{}
	for i := range 6 {
		zones[testEndpoint(i).ID] = testEndpoint(i).Zone
	}
	for seed := range uint64(20) {
		settings := testSettings()
		settings.Seed = seed
		h := newHarness(t, settings, 6)
		id, actions := h.receive(1, 1, 1, 1)
		first := startedAttempts(actions)[0].Endpoint
		actions = h.step(policy.AttemptEnded{RequestID: id, Endpoint: first, Outcome: policy.ServerError, Latency: ms})
		for _, attempt := range startedAttempts(actions) {
			if zones[attempt.Endpoint] != zones[first] {
				t.Fatalf("seed %d: retry of a request that may have run at %s went to %s in another zone", seed, first, attempt.Endpoint)
			}
		}
		if hasAction[policy.Reject](actions) {
			t.Fatalf("seed %d: rejected although a retry in another zone may run the request twice", seed)
		}
	}
}

func TestNoHedgeOrCancelAfterResponseStarted(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Streaming = true
	h := newHarness(t, settings, 6)
	id, actions := h.receive(0, 1, 1, 1)
	first := startedAttempts(actions)[0]
	if first.Timeout != 0 {
		t.Errorf("attempt of a streaming class has timeout %v, want none", first.Timeout)
	}
	h.step(policy.ResponseStarted{RequestID: id, Endpoint: first.Endpoint, Latency: 20 * ms})
	if actions := h.advance(10*time.Second, replyWithTotal(0)); len(startedAttempts(actions)) > 0 {
		t.Error("hedged attempt although the response has started")
	}
	if actions := h.step(policy.ClientDisconnected{RequestID: id}); hasAction[policy.CancelAttempt](actions) {
		t.Error("attempt canceled although its response has started")
	}
}

func TestNoHedgedAttemptAtHighUtilization(t *testing.T) {
	for _, c := range []struct {
		utilization float64
		hedges      bool
	}{{0.3, true}, {0.95, false}} {
		h := newHarness(t, testSettings(), 6)
		for range 100 {
			h.advance(10*ms, replyWithTotal(0))
			id, actions := h.receive(0, 1, 1, 1)
			for _, attempt := range startedAttempts(actions) {
				h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms,
					RequestDone: true, Report: policy.LoadReport{Utilization: &c.utilization}})
			}
		}
		if _, actions := h.receive(0, 1, 1, 1); len(startedAttempts(actions)) != 1 {
			t.Fatalf("utilization %v: request not forwarded", c.utilization)
		}
		if hedged := len(startedAttempts(h.advance(400*ms, replyWithTotal(0)))) > 0; hedged != c.hedges {
			t.Errorf("utilization %v: hedged attempt started: %v, want %v", c.utilization, hedged, c.hedges)
		}
	}
}

// Covers each wait in which the client may disconnect: for a hedged attempt, for a retry, and
// for the counter's reply, which may succeed, fail or never come.
func TestNoAttemptAfterClientDisconnects(t *testing.T) {
	for _, allowCancel := range []bool{true, false} {
		settings := testSettings()
		settings.AllowCancel = allowCancel
		h := newHarness(t, settings, 8)
		id, actions := h.receive(0, 1, 1, 1)
		attempts := startedAttempts(actions)
		if len(attempts) != 1 {
			t.Fatalf("attempts %v, want one", attempts)
		}
		expectNoAttempt(t, h.step(policy.ClientDisconnected{RequestID: id}))
		expectNoAttempt(t, h.advance(time.Second, replyWithTotal(0))) // long enough for a hedged attempt to start
		expectNoAttempt(t, h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempts[0].Endpoint,
			Outcome: policy.Overloaded, Latency: time.Second, RequestDone: true}))
		expectNoAttempt(t, h.advance(time.Second, replyWithTotal(0)))
	}
	const noReply policy.Outcome = -1
	for _, outcome := range []policy.Outcome{policy.Succeeded, policy.Overloaded, policy.TimedOut, noReply} {
		settings := testSettings()
		h := newHarness(t, settings, 8)
		id := h.receiveUntilHeld()
		expectNoAttempt(t, h.step(policy.ClientDisconnected{RequestID: id}))
		reply := func(call policy.AddToCounter) policy.CounterReplied {
			return policy.CounterReplied{Key: call.Key, Outcome: outcome, Total: max(call.Units, 0)}
		}
		if outcome == noReply {
			reply = nil
		}
		expectNoAttempt(t, h.advance(5*time.Second, reply))
	}
}

func expectNoAttempt(t *testing.T, actions []policy.Action) {
	t.Helper()
	if attempts := startedAttempts(actions); len(attempts) > 0 {
		t.Errorf("attempts %v after the client disconnected, want none", attempts)
	}
}

// receiveUntilHeld passes in requests of tenants with a small quota, some of which call the
// counter, until a request is held for the counter's reply. It returns that request's ID.
func (h *harness) receiveUntilHeld() string {
	h.t.Helper()
	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		actions := h.step(policy.RequestReceived{RequestID: id, Tenant: uint64(i), Timeout: 2 * time.Second,
			Units: 1, TenantGateways: 60})
		attempts := startedAttempts(actions)
		if len(attempts) == 0 && hasAction[policy.AddToCounter](actions) {
			return id
		}
		for _, attempt := range attempts {
			h.succeed(id, attempt)
		}
	}
	h.t.Fatal("none of 100 requests is held for the counter")
	return ""
}
