package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

func TestInitialAllocationIsAnEvenShare(t *testing.T) {
	// A burst of 8 units over 3 gateways is 2.67 units each: two requests of one unit.
	if admitted := newHarness(t, testSettings(), 6).countAdmitted(8, 0, 1); admitted < 2 || admitted > 4 {
		t.Errorf("new tenant: %d units admitted at once, want 2 to 4 (a third of the burst of 8)", admitted)
	}
}

// admittedAtSteadyDemand offers 5 units per interval of 2 s for 40 s and returns the units
// admitted over the last 20 s.
func admittedAtSteadyDemand(h *harness, reply replyFunc) (units int) {
	for i := range 100 {
		h.advance(400*ms, reply)
		if admitted := h.countAdmitted(1, 0, 1); i >= 50 {
			units += admitted
		}
	}
	return units
}

func TestAllocationFollowsTheDemandShareOverQuota(t *testing.T) {
	// The quota of an interval is 4·2 = 8 units. Local demand 5 of fleet demand 10: 5/10·8 = 4 per interval, 40 in 20 s.
	if admitted := admittedAtSteadyDemand(newHarness(t, testSettings(), 6), replyWithTotal(10)); admitted < 37 || admitted > 43 {
		t.Errorf("half of the fleet's demand: %d units admitted, want 37 to 43 of the quota of 80", admitted)
	}
	// Local demand 5 of fleet demand 20: 5/20·8 = 2 per interval, above the least allocation of 0.7·8/3 = 1.87; 20 in 20 s.
	if admitted := admittedAtSteadyDemand(newHarness(t, testSettings(), 6), replyWithTotal(20)); admitted < 17 || admitted > 23 {
		t.Errorf("a quarter of the fleet's demand: %d units admitted, want 17 to 23 of the quota of 80", admitted)
	}
}

func TestDemandWithinQuotaIsAdmitted(t *testing.T) {
	if admitted := admittedAtSteadyDemand(newHarness(t, testSettings(), 6), replyWithTotal(6)); admitted < 49 {
		t.Errorf("fleet demand below the quota: %d of 50 offered units admitted, want at least 49", admitted)
	}
}

func TestUnresponsiveOrResetCounterKeepsTheAllocation(t *testing.T) {
	for name, reply := range map[string]replyFunc{
		"unresponsive": replyWithOutcome(policy.TimedOut),
		"reset":        replyWithTotal(0),
	} {
		h := newHarness(t, testSettings(), 6)
		admittedAtSteadyDemand(h, replyWithTotal(20))
		if admitted := admittedAtSteadyDemand(h, reply); admitted > 24 {
			t.Errorf("%s counter: %d units admitted, want at most 24, near the last allocation of 20", name, admitted)
		}
	}
}

func TestReadRepeatsAFailedCounterAdd(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.countAdmitted(2, 0, 1)
	var calls []policy.AddToCounter
	overloaded := replyWithOutcome(policy.Overloaded)
	h.advance(2500*ms, func(call policy.AddToCounter) policy.CounterReplied {
		calls = append(calls, call)
		return overloaded(call)
	})
	if len(calls) != 2 || calls[0].Units != 2 || calls[1] != calls[0] {
		t.Errorf("counter calls %v, want a failed add of 2 units and a read that repeats it", calls)
	}
}

// Guards against spending a share of the hard limit twice when a gateway restarts: an incarnation
// (run of its process) must not use what an earlier one may have spent. Nothing that the counter
// replies shows that there was no earlier one, as it may have lost its totals.
func TestHardLimitHoldsAcrossRestarts(t *testing.T) {
	counter, counterDownOnce := fakeCounter{}, fakeCounter{}
	for name, reply := range map[string]func(incarnation int) replyFunc{
		"counter keeps its totals": func(int) replyFunc { return counter.add },
		"counter is down once": func(incarnation int) replyFunc {
			if incarnation == 3 {
				return replyWithOutcome(policy.Overloaded)
			}
			return counterDownOnce.add
		},
		"counter loses its totals before each restart": func(int) replyFunc { return fakeCounter{}.add },
	} {
		units := 0
		for incarnation := range 5 {
			h := newHarnessAt(t, time.Duration(1000+2*incarnation)*time.Second, testSettings(), 6)
			for range 20 {
				units += h.countAdmitted(2, 2, 9)
				h.advance(100*ms, reply(incarnation))
			}
		}
		// The share of one of three gateways over 10 s: a third of burst and tolerance, and of the rate.
		if most := 5 + 2*10; units > most {
			t.Errorf("%s: %d units admitted over five incarnations, want at most this gateway's share of %d", name, units, most)
		}
		if units == 0 {
			t.Errorf("%s: no units admitted over five incarnations, want some", name)
		}
	}
}

// Guards the time without the burst of the hard limit after a start: a share refills at its rate from
// the start of the gateway on, not from a tenant's first request, and then holds its whole burst.
func TestHardLimitShareFillsAfterStart(t *testing.T) {
	// The share of one of three gateways is 4.9 units, which refill at 1.96 a second, in 2.5 s.
	for _, test := range []struct {
		uptime      time.Duration
		least, most int
	}{{0, 0, 0}, {1100 * ms, 2, 2}, {2500 * ms, 4, 5}, {time.Minute, 4, 5}} {
		h := newHarness(t, testSettings(), 6)
		h.advance(test.uptime, fakeCounter{}.add)
		if units := h.countAdmitted(20, 2, 9); units < test.least || units > test.most {
			t.Errorf("%v after the start: %d units admitted at once, want %d to %d", test.uptime, units, test.least, test.most)
		}
	}
}

// Guards the demand that the gateways report: the units of rejected tries are part of it, whether
// or not the client has sent the request before.
func TestRejectedTriesAddDemand(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	if admitted := h.countAdmitted(5, 0, 1); admitted < 2 || admitted > 4 {
		t.Fatalf("%d of 5 units admitted, want 2 to 4 (a third of the burst of 8)", admitted)
	}
	reported := 0.0
	h.advance(2500*ms, func(call policy.AddToCounter) policy.CounterReplied {
		reported += call.Units
		return replyWithTotal(5)(call)
	})
	if reported != 5 {
		t.Errorf("%v units of demand reported, want all 5 that were offered", reported)
	}
}

func TestFailingCounterIsCalledLess(t *testing.T) {
	// A counter that gets more calls than it can serve fails all of them, so the gateway must call it less.
	calls := func(outcome policy.Outcome) (count int) {
		h := newHarness(t, testSettings(), 6)
		for range 100 {
			h.advance(400*ms, func(call policy.AddToCounter) policy.CounterReplied {
				count++
				return policy.CounterReplied{Key: call.Key, Outcome: outcome, Total: 3}
			})
			h.countAdmitted(1, 0, 1)
		}
		return count
	}
	succeeding, overloaded := calls(policy.Succeeded), calls(policy.Overloaded)
	if overloaded*2 > succeeding || overloaded == 0 {
		t.Errorf("%d calls in 40 s if all fail and %d if all succeed, want at least one and at most half as many if they fail", overloaded, succeeding)
	}
}

func TestLimitOnConcurrentAttempts(t *testing.T) {
	// A limit of 3 concurrent attempts over 3 gateways allows one in flight at each.
	h := newHarness(t, testSettings(), 6)
	id, actions := h.receive(0, 3, 5, 1)
	first := startedAttempts(actions)
	if _, actions := h.receive(0, 3, 5, 1); len(first) != 1 || !hasAction[policy.Reject](actions) {
		t.Fatalf("first request started %d attempts, second request got actions %v, want 1 attempt and a rejection", len(first), actions)
	}
	h.succeed(id, first[0])
	if _, actions := h.receive(0, 3, 5, 1); len(startedAttempts(actions)) != 1 {
		t.Error("request rejected though no attempt is in flight")
	}
}

func TestAllocationIsChargedActualUnits(t *testing.T) {
	// A third of the burst of 8 is 2.67 units; a request that was charged 1 unit and used 3 leaves none of it.
	for actualUnits, want := range map[float64]int{1: 1, 3: 0} {
		settings := testSettings()
		settings.ActualUnitsReported = true
		h := newHarness(t, settings, 6)
		id, actions := h.receive(0, 0, 1, 1)
		h.step(policy.AttemptEnded{RequestID: id, Endpoint: startedAttempts(actions)[0].Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true,
			ActualUnits: actualUnits})
		if admitted := h.countAdmitted(1, 0, 1); admitted != want {
			t.Errorf("after a request of %v actual units: %d requests admitted, want %d", actualUnits, admitted, want)
		}
	}
}

func TestLateAddRepliesKeepTheAllocation(t *testing.T) {
	// The replies to adds time out although the counter added the units, and the reads return the total.
	h := newHarness(t, testSettings(), 6)
	admitted := admittedAtSteadyDemand(h, func(call policy.AddToCounter) policy.CounterReplied {
		if call.Units > 0 {
			return policy.CounterReplied{Key: call.Key, Outcome: policy.TimedOut}
		}
		return policy.CounterReplied{Key: call.Key, Total: 20}
	})
	if admitted < 14 || admitted > 24 {
		t.Errorf("a quarter of the fleet's demand: %d units admitted, want 14 to 24 of the quota of 80", admitted)
	}
}

func TestQuotaIsSplitEvenlyWithoutCounter(t *testing.T) {
	settings := testSettings()
	settings.CounterEnabled = false
	h := newHarness(t, settings, 6)
	units := 0
	for range 200 { // 20 s: a third of 4 units per second and of the burst of 8
		h.advance(100*ms, nil)
		units += h.countAdmitted(1, 0, 1)
	}
	if len(h.counterCalls) > 0 || units < 25 || units > 31 {
		t.Errorf("%d units admitted with %d counter calls, want 25 to 31 and none", units, len(h.counterCalls))
	}
}

func TestExhaustedAllocationUsesSpareQuota(t *testing.T) {
	// If the allocation is used up while the demand at other gateways was low, one call finds out whether they left quota.
	for _, test := range []struct {
		name   string
		others float64 // units that other gateways added to the running total
		reply  policy.Outcome
		want   bool
	}{
		{"other gateways used none", 0, policy.Succeeded, true},
		{"other gateways used all", 100, policy.Succeeded, false},
		{"counter does not respond", 0, policy.TimedOut, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.Plans[0] = policy.Plan{Rate: 10, Burst: 20}
			h, counter := newHarness(t, settings, 6), fakeCounter{}
			for range 40 { // well under the quota, also by the totals
				h.countAdmitted(1, 0, 9)
				h.advance(500*ms, counter.add)
			}
			call := callForSpareQuota(t, h)
			actions := h.step(policy.CounterReplied{Key: call.Key, Outcome: test.reply, Total: counter.add(call).Total + test.others})
			if got := len(startedAttempts(actions)) > 0; got != test.want {
				t.Errorf("held request admitted: %v, want %v", got, test.want)
			}
		})
	}
}

// callForSpareQuota hands over requests until one is held for a counter call, and returns that call.
func callForSpareQuota(t *testing.T, h *harness) policy.AddToCounter {
	t.Helper()
	for i := 0; ; i++ {
		_, actions := h.receive(0, 0, 9, 1)
		if h.succeedAll(startedAttempts(actions)) > 0 && i < 40 {
			continue
		}
		if hasAction[policy.Reject](actions) || !hasAction[policy.AddToCounter](actions) {
			t.Fatalf("request %d got actions %v, want it held for a counter call", i, actions)
		}
		return h.lastCounterCall()
	}
}
