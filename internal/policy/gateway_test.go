package policy_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"swiftpitch/internal/policy"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings describes three gateways before keyed, repeatable and once classes.
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
	serial int
	counts []policy.AddToCounter // calls not answered yet
}

type timer struct {
	at     time.Duration
	cookie uint64
}

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
			r.timers = append(r.timers, timer{r.now + a.After, a.TimerID})
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
			c := r.counts[0]
			r.counts = r.counts[1:]
			out = append(out, r.step(reply(c))...)
		}
		next := -1
		for i, t := range r.timers {
			if t.at <= end && (next < 0 || t.at < r.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			r.now = end
			return out
		}
		t := r.timers[next]
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.now = max(r.now, t.at)
		out = append(out, r.step(policy.TimerFired{TimerID: t.cookie})...)
	}
}

// arrive brings a request and returns its id with the actions.
func (r *rig) arrive(class, plan int, customer uint64, units float64) (string, []policy.Action) {
	r.serial++
	id := fmt.Sprintf("%016x", r.serial)
	return id, r.step(policy.RequestReceived{RequestID: id, Class: class, Plan: plan, Tenant: customer,
		Timeout: 2 * time.Second, Units: units, TenantGateways: 3})
}

func sent(as []policy.Action) (s []policy.StartAttempt) {
	for _, a := range as {
		if a, ok := a.(policy.StartAttempt); ok {
			s = append(s, a)
		}
	}
	return s
}

func has[T policy.Action](as []policy.Action) bool {
	for _, a := range as {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

// pass answers an attempt at once.
func (r *rig) pass(id string, s policy.StartAttempt) {
	r.step(policy.AttemptEnded{RequestID: id, Endpoint: s.Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true})
}

// admitted brings n requests of one unit and counts those sent on.
func (r *rig) admitted(n int, plan int, customer uint64) (k int) {
	for range n {
		id, as := r.arrive(0, plan, customer, 1)
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

// numbers is a counter service that forgets nothing.
type numbers map[uint64]float64

func (n numbers) add(c policy.AddToCounter) policy.CounterReplied {
	n[c.Key] += c.Units
	return policy.CounterReplied{Key: c.Key, Total: n[c.Key]}
}

func TestBadSettings(t *testing.T) {
	for name, spoil := range map[string]func(*policy.Settings){
		"no gateways":   func(s *policy.Settings) { s.Gateways = 0 },
		"rank":          func(s *policy.Settings) { s.GatewayIndex = 3 },
		"no classes":    func(s *policy.Settings) { s.Classes = nil },
		"no plans":      func(s *policy.Settings) { s.Plans = nil },
		"negative rate": func(s *policy.Settings) { s.Plans[0].Rate = -1 },
		"no attempts":   func(s *policy.Settings) { s.MaxAttempts = 0 },
	} {
		set := settings()
		spoil(&set)
		if _, err := policy.New(0, set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestRandomSequences feeds legal random events and checks the answers with an oracle of its own.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(30) {
		a, b := play(t, seed), play(t, seed)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

type try struct {
	server string
	at     time.Duration
	ends   time.Duration
	state  int // 0 out, 1 never ran, 2 may have run
}

type fate struct {
	class    int
	deadline time.Duration
	tries    []*try
	over     bool
}

func play(t *testing.T, seed uint64) (all []policy.Action) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := settings()
	set.AllowCancel, set.AllowHedging = seed%2 == 0, seed%3 != 0
	r := newRig(t, set, 5)
	fates, order := map[string]*fate{}, []string{}
	zone := map[string]int{}
	for i := range 5 {
		zone[server(i).ID] = server(i).Zone
	}
	drained := ""
	check := func(as []policy.Action) {
		all = append(all, as...)
		for _, a := range as {
			switch a := a.(type) {
			case policy.StartAttempt:
				f := fates[a.RequestID]
				out := 0
				for _, tr := range f.tries {
					if tr.state == 0 {
						out++
					}
					if tr.state == 1 || set.Classes[f.class].Idempotency == policy.Idempotent {
						continue
					}
					c := set.Classes[f.class]
					if c.Idempotency == policy.NonIdempotent || r.now > tr.at+c.DedupWindow ||
						c.DedupScope == policy.DedupZone && zone[tr.server] != zone[a.Endpoint] {
						t.Fatalf("seed %d: class %d sent again to %s after %+v", seed, f.class, a.Endpoint, *tr)
					}
				}
				if f.over || a.Endpoint == drained || len(f.tries) >= set.MaxAttempts || out > 1 || out > 0 && !set.AllowHedging {
					t.Fatalf("seed %d: send of %s to %s is not allowed", seed, a.RequestID, a.Endpoint)
				}
				ends := f.deadline
				if a.Timeout > 0 {
					ends = min(ends, r.now+a.Timeout)
				}
				f.tries = append(f.tries, &try{server: a.Endpoint, at: r.now, ends: ends})
			case policy.Reject:
				f := fates[a.RequestID]
				for _, tr := range f.tries {
					c := set.Classes[f.class]
					if tr.state != 1 && (c.Idempotency == policy.NonIdempotent || c.Idempotency == policy.IdempotentByKey && c.DedupScope != policy.DedupFleet) {
						t.Fatalf("seed %d: class %d refused after it may have run", seed, f.class)
					}
				}
				if f.over {
					t.Fatalf("seed %d: two answers", seed)
				}
				f.over = true
			case policy.Fail:
				if fates[a.RequestID].over {
					t.Fatalf("seed %d: two answers", seed)
				}
				fates[a.RequestID].over = true
			case policy.CancelAttempt:
				if !set.AllowCancel {
					t.Fatalf("seed %d: cancel is not allowed", seed)
				}
			}
		}
	}
	for i := range 1500 {
		check(r.run(time.Duration(rng.IntN(30))*ms, totals(float64(rng.IntN(20)))))
		if i == 700 {
			s := server(3)
			s.State, drained = policy.Draining, s.ID
			check(r.step(policy.EndpointsUpdated{Scope: policy.IncrementalUpdate, Endpoints: []policy.Endpoint{s}}))
		}
		r.serial++
		id := fmt.Sprintf("%016x", r.serial)
		patience := time.Duration(500+rng.IntN(1500)) * ms
		fates[id] = &fate{class: rng.IntN(4), deadline: r.now + patience}
		order = append(order, id)
		check(r.step(policy.RequestReceived{RequestID: id, Class: fates[id].class, Plan: rng.IntN(4), Tenant: uint64(rng.IntN(6)),
			Timeout: patience, Units: float64(1 + rng.IntN(3)), TenantGateways: 3}))
		for _, id := range order {
			f := fates[id]
			for n := 0; n < len(f.tries); n++ {
				tr := f.tries[n]
				if tr.state != 0 || r.now < tr.ends && rng.IntN(8) > 0 {
					continue
				}
				ev := policy.AttemptEnded{RequestID: id, Attempt: n, Endpoint: tr.server, Outcome: policy.TimedOut, Latency: r.now - tr.at}
				if r.now < tr.ends {
					ev.Outcome = policy.Outcome(rng.IntN(6))
				}
				tr.state = 2
				if ev.Outcome == policy.Overloaded || ev.Outcome == policy.ConnectFailed {
					tr.state = 1
				}
				if ev.Outcome == policy.Succeeded && !f.over {
					f.over = true
				}
				ev.RequestDone = f.over
				check(r.step(ev))
			}
		}
	}
	for _, id := range order {
		if f := fates[id]; !f.over && r.now > f.deadline+50*ms {
			t.Fatalf("seed %d: %s got no answer", seed, id)
		}
	}
	return all
}
