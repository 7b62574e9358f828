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

// rig drives one gateway by hand.
type rig struct {
	t      *testing.T
	g      *policy.Gateway
	now    time.Duration
	timers []timer
	serial int                   // of the last request
	counts []policy.AddToCounter // calls not answered yet
}

// timer is a timer that the gateway asked for and that has not fired.
type timer struct {
	at time.Duration
	id uint64
}

// newRig returns a rig whose gateway knows a number of endpoints, at a time that suits most tests.
func newRig(t *testing.T, set policy.Settings, servers int) *rig {
	t.Helper()
	return rigAt(t, 1000*time.Second, set, servers)
}

func rigAt(t *testing.T, now time.Duration, set policy.Settings, servers int) *rig {
	t.Helper()
	r := &rig{t: t, now: now}
	g, err := policy.New(r.now, set)
	if err != nil {
		t.Fatal(err)
	}
	r.g = g
	list := policy.EndpointsUpdated{Scope: policy.CachedUpdate}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, server(i))
	}
	r.step(list)
	return r
}

func server(i int) policy.Endpoint {
	return policy.Endpoint{ID: fmt.Sprint("s", i), Zone: i % 2, Weight: 1}
}

// step hands one event over and keeps the timers and counter calls that come of it.
func (r *rig) step(ev policy.Event) []policy.Action {
	out := r.g.Step(r.now, ev, nil)
	for _, a := range out {
		switch a := a.(type) {
		case policy.StartTimer:
			r.timers = append(r.timers, timer{at: r.now + a.After, id: a.TimerID})
		case policy.AddToCounter:
			r.counts = append(r.counts, a)
		}
	}
	return out
}

// run lets time pass, firing timers; reply answers counter calls, nil leaves them unanswered.
func (r *rig) run(d time.Duration, reply func(policy.AddToCounter) policy.CounterReplied) (out []policy.Action) {
	for end := r.now + d; ; {
		for len(r.counts) > 0 && reply != nil {
			call := r.counts[0]
			r.counts = r.counts[1:]
			out = append(out, r.step(reply(call))...)
		}
		due, ok := r.nextTimer(end)
		if !ok {
			r.now = end
			return out
		}
		r.now = max(r.now, due.at)
		out = append(out, r.step(policy.TimerFired{TimerID: due.id})...)
	}
}

// nextTimer removes and returns the timer that fires first, if that is by end.
func (r *rig) nextTimer(end time.Duration) (due timer, ok bool) {
	next := -1
	for i, candidate := range r.timers {
		if candidate.at <= end && (next < 0 || candidate.at < r.timers[next].at) {
			next = i
		}
	}
	if next < 0 {
		return timer{}, false
	}
	due = r.timers[next]
	r.timers = append(r.timers[:next], r.timers[next+1:]...)
	return due, true
}

// arrive hands over a request and returns its id with the actions.
func (r *rig) arrive(class, plan int, tenant uint64, units float64) (string, []policy.Action) {
	return r.receive(policy.RequestReceived{Class: class, Plan: plan, Tenant: tenant,
		Timeout: 2 * time.Second, Units: units, TenantGateways: 3})
}

// receive hands over a request, which it gives a new id, and returns that with the actions.
func (r *rig) receive(ev policy.RequestReceived) (string, []policy.Action) {
	r.serial++
	ev.RequestID = fmt.Sprintf("%016x", r.serial)
	return ev.RequestID, r.step(ev)
}

// sent returns the attempts that actions start.
func sent(as []policy.Action) (s []policy.StartAttempt) {
	for _, a := range as {
		if a, ok := a.(policy.StartAttempt); ok {
			s = append(s, a)
		}
	}
	return s
}

// has reports whether there is an action of some type.
func has[T policy.Action](as []policy.Action) bool {
	for _, a := range as {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

// pass ends an attempt with success, 20 ms after its start by what it says.
func (r *rig) pass(id string, s policy.StartAttempt) {
	r.step(policy.AttemptEnded{RequestID: id, Endpoint: s.Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true})
}

// passAll ends attempts with success and returns how many they were.
func (r *rig) passAll(attempts []policy.StartAttempt) int {
	for _, attempt := range attempts {
		r.pass(attempt.RequestID, attempt)
	}
	return len(attempts)
}

// admitted hands over n requests of one unit and returns how many are admitted.
func (r *rig) admitted(n int, plan int, tenant uint64) (k int) {
	for range n {
		id, as := r.arrive(0, plan, tenant, 1)
		if s := sent(as); len(s) == 1 {
			k++
			r.pass(id, s[0])
		}
	}
	return k
}

// totals answers reads with a fixed total and adds with what was added.
func totals(total float64) func(policy.AddToCounter) policy.CounterReplied {
	return func(c policy.AddToCounter) policy.CounterReplied {
		if c.Units == 0 {
			return policy.CounterReplied{Key: c.Key, Total: total}
		}
		return policy.CounterReplied{Key: c.Key, Total: c.Units}
	}
}

// failing answers counter calls with an outcome and no total.
func failing(outcome policy.Outcome) func(policy.AddToCounter) policy.CounterReplied {
	return func(c policy.AddToCounter) policy.CounterReplied {
		return policy.CounterReplied{Key: c.Key, Outcome: outcome}
	}
}

// numbers is a counter service that forgets nothing.
type numbers map[uint64]float64

func (n numbers) add(c policy.AddToCounter) policy.CounterReplied {
	n[c.Key] += c.Units
	return policy.CounterReplied{Key: c.Key, Total: n[c.Key]}
}
