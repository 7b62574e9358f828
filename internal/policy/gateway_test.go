package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// The tests of this package drive gateways by hand: a rig stands for the caller of one.

const ms = time.Millisecond

// settings describes three gateways with classes of every idempotency: any, by key within a zone, none, and by key
// within the fleet. Its plans have a small quota, a large one, a hard limit, and a limit on concurrent attempts.
func settings() policy.Settings {
	return policy.Settings{
		Seed: 7, Gateways: 3,
		Classes: []policy.Class{
			{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 1},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone,
				DedupWindow: 1500 * ms, PriorityWeight: 2},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.NonIdempotent, PriorityWeight: 2},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupFleet,
				DedupWindow: 1500 * ms, PriorityWeight: 2},
		},
		Plans: []policy.Plan{
			{Rate: 4, Burst: 8, PriorityWeight: 1},
			{Rate: 1000, Burst: 2000, PriorityWeight: 1},
			{Rate: 1000, Burst: 2000, HardLimitRate: 6, HardLimitBurst: 12, HardLimitTolerance: 3, PriorityWeight: 1},
			{MaxConcurrent: 3, PriorityWeight: 1},
		},
		CounterEnabled: true, CounterTimeout: 30 * ms, MaxRequestUnits: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: 2 * time.Second,
		AllowCancel: true, AllowHedging: true, AllowRetryAfter: true, MaxAttempts: 5, MaxRetryAfter: time.Second,
	}
}

// harness drives one gateway by hand.
type harness struct {
	t      *testing.T
	gateway      *policy.Gateway
	now    time.Duration
	timers []timer
	requests int                   // of the last request
	counterCalls []policy.AddToCounter // calls not answered yet
}

// timer is a timer that the gateway asked for and that has not fired.
type timer struct {
	at time.Duration
	id uint64
}

// newHarness returns a rig whose gateway knows a number of endpoints, at a time that suits most tests.
func newHarness(t *testing.T, set policy.Settings, servers int) *harness {
	t.Helper()
	return newHarnessAt(t, 1000*time.Second, set, servers)
}

func newHarnessAt(t *testing.T, now time.Duration, set policy.Settings, servers int) *harness {
	t.Helper()
	h := &harness{t: t, now: now}
	g, err := policy.New(h.now, set)
	if err != nil {
		t.Fatal(err)
	}
	h.gateway = g
	list := policy.EndpointsUpdated{Scope: policy.CachedUpdate}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, testEndpoint(i))
	}
	h.step(list)
	return h
}

func testEndpoint(i int) policy.Endpoint {
	return policy.Endpoint{ID: fmt.Sprint("s", i), Zone: i % 2, Weight: 1}
}

// step hands one event over and keeps the timers and counter calls that come of it.
func (h *harness) step(ev policy.Event) []policy.Action {
	out := h.gateway.Step(h.now, ev, nil)
	for _, a := range out {
		switch a := a.(type) {
		case policy.StartTimer:
			h.timers = append(h.timers, timer{at: h.now + a.After, id: a.TimerID})
		case policy.AddToCounter:
			h.counterCalls = append(h.counterCalls, a)
		}
	}
	return out
}

// advance lets time pass, firing timers; reply answers counter calls, nil leaves them unanswered.
func (h *harness) advance(d time.Duration, reply func(policy.AddToCounter) policy.CounterReplied) (out []policy.Action) {
	for end := h.now + d; ; {
		for len(h.counterCalls) > 0 && reply != nil {
			call := h.counterCalls[0]
			h.counterCalls = h.counterCalls[1:]
			out = append(out, h.step(reply(call))...)
		}
		due, ok := h.nextTimer(end)
		if !ok {
			h.now = end
			return out
		}
		h.now = max(h.now, due.at)
		out = append(out, h.step(policy.TimerFired{TimerID: due.id})...)
	}
}

// nextTimer removes and returns the timer that fires first, if that is by end.
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

// receive hands over a request and returns its id with the actions.
func (h *harness) receive(class, plan int, tenant uint64, units float64) (string, []policy.Action) {
	return h.receiveEvent(policy.RequestReceived{Class: class, Plan: plan, Tenant: tenant,
		Timeout: 2 * time.Second, Units: units, TenantGateways: 3})
}

// receiveEvent hands over a request, which it gives a new id, and returns that with the actions.
func (h *harness) receiveEvent(ev policy.RequestReceived) (string, []policy.Action) {
	h.requests++
	ev.RequestID = fmt.Sprintf("%016x", h.requests)
	return ev.RequestID, h.step(ev)
}

// startedAttempts returns the attempts that actions start.
func startedAttempts(actions []policy.Action) (s []policy.StartAttempt) {
	for _, a := range actions {
		if a, ok := a.(policy.StartAttempt); ok {
			s = append(s, a)
		}
	}
	return s
}

// hasAction reports whether there is an action of some type.
func hasAction[T policy.Action](actions []policy.Action) bool {
	for _, a := range actions {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

// succeed ends an attempt with success, 20 ms after its start by what it says.
func (h *harness) succeed(id string, s policy.StartAttempt) {
	h.step(policy.AttemptEnded{RequestID: id, Endpoint: s.Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true})
}

// succeedAll ends attempts with success and returns how many they were.
func (h *harness) succeedAll(attempts []policy.StartAttempt) int {
	for _, attempt := range attempts {
		h.succeed(attempt.RequestID, attempt)
	}
	return len(attempts)
}

// countAdmitted hands over n requests of one unit and returns how many are countAdmitted.
func (h *harness) countAdmitted(n int, plan int, tenant uint64) (k int) {
	for range n {
		id, actions := h.receive(0, plan, tenant, 1)
		if s := startedAttempts(actions); len(s) == 1 {
			k++
			h.succeed(id, s[0])
		}
	}
	return k
}

// replyWithTotal answers reads with a fixed total and adds with what was added.
func replyWithTotal(total float64) func(policy.AddToCounter) policy.CounterReplied {
	return func(c policy.AddToCounter) policy.CounterReplied {
		if c.Units == 0 {
			return policy.CounterReplied{Key: c.Key, Total: total}
		}
		return policy.CounterReplied{Key: c.Key, Total: c.Units}
	}
}

// replyWithOutcome answers counter calls with an outcome and no total.
func replyWithOutcome(outcome policy.Outcome) func(policy.AddToCounter) policy.CounterReplied {
	return func(c policy.AddToCounter) policy.CounterReplied {
		return policy.CounterReplied{Key: c.Key, Outcome: outcome}
	}
}

// fakeCounter is a counter service that forgets nothing.
type fakeCounter map[uint64]float64

func (n fakeCounter) add(c policy.AddToCounter) policy.CounterReplied {
	n[c.Key] += c.Units
	return policy.CounterReplied{Key: c.Key, Total: n[c.Key]}
}
