package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// The tests of this package drive gateways through a harness, which acts as the caller of
// [policy.Gateway.Step] in simulated time.

const ms = time.Millisecond

// testSettings returns settings for three gateways. The classes are, in order: idempotent, idempotent by key within a
// zone, not idempotent, and idempotent by key within the fleet. The plans have, in order: a small quota, a large quota,
// a large quota with a hard limit, and only a limit on concurrent attempts.
func testSettings() policy.Settings {
	return policy.Settings{
		Seed: 7, Gateways: 3,
		Classes: []policy.Class{
			{Deadline: 2 * time.Second, Idempotency: policy.Idempotent},
			{Deadline: 3 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone,
				DedupWindow: 1500 * ms},
			{Deadline: 3 * time.Second, Idempotency: policy.NonIdempotent},
			{Deadline: 3 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupFleet,
				DedupWindow: 1500 * ms},
		},
		Plans: []policy.Plan{
			{Rate: 4, Burst: 8},
			{Rate: 1000, Burst: 2000},
			{Rate: 1000, Burst: 2000, HardLimitRate: 6, HardLimitBurst: 12, HardLimitTolerance: 3},
			{MaxConcurrent: 3},
		},
		CounterEnabled: true, CounterTimeout: 30 * ms, MaxRequestUnits: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: 2 * time.Second,
		AllowCancel: true, AllowHedging: true, AllowRetryAfter: true, MaxAttempts: 5, MaxRetryAfter: time.Second,
	}
}

// harness drives one gateway in simulated time.
type harness struct {
	t            *testing.T
	gateway      *policy.Gateway
	now          time.Duration
	timers       []timer
	requests     int                   // number of requests passed in so far
	counterCalls []policy.AddToCounter // calls that have no reply yet
}

// timer is a timer of the gateway that has not fired yet.
type timer struct {
	at time.Duration
	id uint64
}

// newHarness returns a harness whose gateway starts with a number of endpoints, at an
// arbitrary time.
func newHarness(t *testing.T, settings policy.Settings, endpoints int) *harness {
	t.Helper()
	return newHarnessAt(t, 1000*time.Second, settings, endpoints)
}

// newHarnessAt is like [newHarness], but starts the gateway at the given time.
func newHarnessAt(t *testing.T, now time.Duration, settings policy.Settings, endpoints int) *harness {
	t.Helper()
	gateway, err := policy.New(now, settings)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, gateway: gateway, now: now}
	list := policy.EndpointsUpdated{Scope: policy.CachedUpdate}
	for i := range endpoints {
		list.Endpoints = append(list.Endpoints, testEndpoint(i))
	}
	h.step(list)
	return h
}

// testEndpoint returns endpoint number i, whose ID is "s0" for 0. Even numbers are in zone 0, odd
// ones in zone 1.
func testEndpoint(i int) policy.Endpoint {
	return policy.Endpoint{ID: fmt.Sprint("s", i), Zone: i % 2, Weight: 1}
}

// step passes one event to the gateway. It records the timers and counter calls that result.
func (h *harness) step(event policy.Event) []policy.Action {
	actions := h.gateway.Step(h.now, event, nil)
	for _, action := range actions {
		switch action := action.(type) {
		case policy.StartTimer:
			h.timers = append(h.timers, timer{at: h.now + action.After, id: action.TimerID})
		case policy.AddToCounter:
			h.counterCalls = append(h.counterCalls, action)
		}
	}
	return actions
}

// replyFunc acts as the counter service: it returns the reply to a call.
type replyFunc func(policy.AddToCounter) policy.CounterReplied

// advance lets time pass, firing timers, and returns the resulting actions. It answers counter
// calls at once with reply; if reply is nil, calls get no reply.
func (h *harness) advance(d time.Duration, reply replyFunc) (actions []policy.Action) {
	for end := h.now + d; ; {
		for len(h.counterCalls) > 0 && reply != nil {
			call := h.counterCalls[0]
			h.counterCalls = h.counterCalls[1:]
			actions = append(actions, h.step(reply(call))...)
		}
		due, ok := h.nextTimer(end)
		if !ok {
			h.now = end
			return actions
		}
		h.now = max(h.now, due.at)
		actions = append(actions, h.step(policy.TimerFired{TimerID: due.id})...)
	}
}

// lastCounterCall returns the latest counter call that has no reply yet.
func (h *harness) lastCounterCall() policy.AddToCounter {
	return h.counterCalls[len(h.counterCalls)-1]
}

// nextTimer removes and returns the timer that fires first, if it fires by end.
func (h *harness) nextTimer(end time.Duration) (due timer, ok bool) {
	next := -1
	for i, candidate := range h.timers {
		if candidate.at <= end && (next < 0 || candidate.at < h.timers[next].at) {
			next = i
		}
	}
	if next < 0 {
		return timer{}, false
	}
	due = h.timers[next]
	h.timers = append(h.timers[:next], h.timers[next+1:]...)
	return due, true
}

// receive passes in a request and returns its ID and the actions.
func (h *harness) receive(class, plan int, tenant uint64, units float64) (string, []policy.Action) {
	return h.receiveEvent(policy.RequestReceived{Class: class, Plan: plan, Tenant: tenant,
		Timeout: 2 * time.Second, Units: units, TenantGateways: 3})
}

// receiveEvent passes in a request under a new ID, and returns the ID and the actions.
func (h *harness) receiveEvent(event policy.RequestReceived) (string, []policy.Action) {
	h.requests++
	event.RequestID = fmt.Sprintf("%016x", h.requests)
	return event.RequestID, h.step(event)
}

// startedAttempts returns the attempts that are started by actions.
func startedAttempts(actions []policy.Action) (attempts []policy.StartAttempt) {
	for _, action := range actions {
		if attempt, ok := action.(policy.StartAttempt); ok {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// hasAction reports whether there is an action of type T.
func hasAction[T policy.Action](actions []policy.Action) bool {
	for _, action := range actions {
		if _, ok := action.(T); ok {
			return true
		}
	}
	return false
}

// succeed ends a request's first attempt with success and a latency of 20 ms.
func (h *harness) succeed(id string, attempt policy.StartAttempt) {
	h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint, Outcome: policy.Succeeded,
		Latency: 20 * ms, RequestDone: true})
}

// succeedAll ends attempts with success and returns their number.
func (h *harness) succeedAll(attempts []policy.StartAttempt) int {
	for _, attempt := range attempts {
		h.succeed(attempt.RequestID, attempt)
	}
	return len(attempts)
}

// countAdmitted passes in n requests of one unit and returns how many are admitted.
func (h *harness) countAdmitted(n int, plan int, tenant uint64) (admitted int) {
	for range n {
		id, actions := h.receive(0, plan, tenant, 1)
		if attempts := startedAttempts(actions); len(attempts) == 1 {
			admitted++
			h.succeed(id, attempts[0])
		}
	}
	return admitted
}

// replyWithTotal replies to reads with a fixed total and to additions with the units added.
func replyWithTotal(total float64) replyFunc {
	return func(call policy.AddToCounter) policy.CounterReplied {
		if call.Units == 0 {
			return policy.CounterReplied{Key: call.Key, Total: total}
		}
		return policy.CounterReplied{Key: call.Key, Total: call.Units}
	}
}

// replyWithOutcome replies to counter calls with an outcome and no total.
func replyWithOutcome(outcome policy.Outcome) replyFunc {
	return func(call policy.AddToCounter) policy.CounterReplied {
		return policy.CounterReplied{Key: call.Key, Outcome: outcome}
	}
}

// fakeCounter is a counter service: totals by key, which never expire.
type fakeCounter map[uint64]float64

// add adds the units of a call and returns the new total.
func (totals fakeCounter) add(call policy.AddToCounter) policy.CounterReplied {
	totals[call.Key] += call.Units
	return policy.CounterReplied{Key: call.Key, Total: totals[call.Key]}
}
