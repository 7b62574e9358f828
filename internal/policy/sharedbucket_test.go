package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// sharedBucketRequest is a request of one unit of a tenant that 100 gateways share: of the quota of 8 an interval,
// one gateway has less than a request.
func sharedBucketRequest(tenant uint64, timeout time.Duration) policy.RequestReceived {
	return policy.RequestReceived{Tenant: tenant, Timeout: timeout, Units: 1, TenantGateways: 100}
}

// isDecided reports whether a request is admitted or rejected by actions, and not held.
func isDecided(actions []policy.Action) bool {
	return len(startedAttempts(actions)) > 0 || hasAction[policy.Reject](actions)
}

func TestSmallSharesAreDecidedByTheSharedBucket(t *testing.T) {
	// Of a quota of 8 an interval one of 100 gateways has less than a request: the total decides, not an allocation.
	decide := func(total float64, timeout time.Duration) (calls, admitted int) {
		set := testSettings()
		set.Plans[0].OverQuotaCost, set.CounterTimeout = 1, 400*ms
		h := newHarness(t, set, 6)
		for i := range 40 {
			_, actions := h.receiveEvent(sharedBucketRequest(uint64(i), timeout))
			if hasAction[policy.AddToCounter](actions) {
				calls++
				if len(startedAttempts(actions)) > 0 && timeout > time.Second {
					t.Error("forwarded before the total was read")
				}
				call := h.lastCounterCall()
				actions = append(actions, h.step(policy.CounterReplied{Key: call.Key, Total: total * call.Units})...)
			}
			admitted += h.succeedAll(startedAttempts(actions))
		}
		return calls, admitted
	}
	if calls, admitted := decide(1, 2*time.Second); calls < 10 || admitted != 40 {
		t.Errorf("%d calls, %d of 40 admitted by an unused quota", calls, admitted)
	}
	if calls, admitted := decide(1000, 2*time.Second); admitted > 40-calls {
		t.Errorf("%d calls, %d of 40 admitted over the quota", calls, admitted)
	}
	if _, admitted := decide(1000, 700*ms); admitted == 0 {
		t.Error("near the client's deadline a request must not wait for the counter")
	}
}

func TestLateRepliesOfTheCounterHoldNoRequest(t *testing.T) {
	// The caller may wait for the counter for longer than CounterTimeout; a request is held no longer than that, and
	// a total that comes later decides it no more.
	h := newHarness(t, testSettings(), 6)
	held := 0
	for i := range 40 {
		_, actions := h.receiveEvent(sharedBucketRequest(uint64(i), 2*time.Second))
		if isDecided(actions) {
			continue
		}
		held++
		call := h.lastCounterCall()
		actions = h.advance(30*ms, nil)
		if !isDecided(actions) {
			t.Fatal("a request is still held after CounterTimeout")
		}
		if actions = h.step(policy.CounterReplied{Key: call.Key, Total: 1}); isDecided(actions) {
			t.Fatal("a request is decided twice")
		}
	}
	if held == 0 {
		t.Error("no request was held at all")
	}
}

func TestNoRequestIsHeldAfterAStall(t *testing.T) {
	// Found on milano big-2: the backlog of a gateway that had stalled was held past the clients' deadlines.
	h := newHarness(t, testSettings(), 6)
	h.advance(time.Second, replyWithTotal(0))
	h.now += 2 * time.Second // events come late
	for i := range 20 {
		_, actions := h.receiveEvent(sharedBucketRequest(uint64(i), time.Second))
		if !isDecided(actions) {
			t.Fatal("a request is held by a gateway that stalls now and then")
		}
	}
}

// admittedByFleet offers a tenant's requests of one unit, at times the quota of 4 a second, through a number of
// gateways for 40 s before a shared counter, which rejects a part of their calls, and returns the units admitted.
func admittedByFleet(t *testing.T, gateways int, times float64, rejected float64) (units float64) {
	t.Helper()
	set := testSettings()
	set.Gateways, set.Plans[0].OverQuotaCost = gateways, 1
	rng := rand.New(rand.NewPCG(3, uint64(gateways)))
	var harnesses []*harness
	for i := range gateways {
		set.GatewayIndex, set.Seed = i, uint64(i)
		harnesses = append(harnesses, newHarness(t, set, 6))
	}
	counter, now := fakeCounter{}, 1000*time.Second
	reply := func(call policy.AddToCounter) policy.CounterReplied {
		if rng.Float64() < rejected {
			return policy.CounterReplied{Key: call.Key, Outcome: policy.Overloaded}
		}
		return counter.add(call)
	}
	for i := range int(160 * times) {
		at := 1000*time.Second + time.Duration(float64(i)/(4*times)*1e9)
		for now < at { // in steps shorter than CounterTimeout, so that adds come before reads
			now = min(now+20*ms, at)
			for _, h := range harnesses {
				if h.now < now {
					h.advance(now-h.now, reply)
				}
			}
		}
		h := harnesses[rng.IntN(gateways)]
		_, actions := h.receiveEvent(policy.RequestReceived{Tenant: 1, Timeout: 2 * time.Second, Units: 1, TenantGateways: gateways})
		actions = append(actions, h.advance(ms, reply)...)
		units += float64(h.succeedAll(startedAttempts(actions)))
	}
	return units
}

func TestFleetKeepsTheQuotaOverAnyNumberOfGateways(t *testing.T) {
	// The burst of 8 is far below the largest numbers. 40 s at 4 units a second and the burst are 168 units; half
	// more is for uncoordinated decisions, at gateways that know nothing of the tenant yet.
	for _, gateways := range []int{1, 3, 100, 277} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			if k := admittedByFleet(t, gateways, 3, 0); k < 120 || k > 252 {
				t.Errorf("%v units admitted where the quota is 168", k)
			}
			if k := admittedByFleet(t, gateways, 0.4, 0); k < 50 {
				t.Errorf("%v of 64 units admitted well inside the quota", k)
			}
		})
	}
}

func TestCounterThatRejectsMostCalls(t *testing.T) {
	for _, gateways := range []int{3, 100} {
		if k := admittedByFleet(t, gateways, 3, 0.8); k < 80 || k > 420 {
			t.Errorf("%d gateways: %v units of 480 admitted where the quota is 168", gateways, k)
		}
	}
}

func TestActualUnitsSettleTheSharedBucket(t *testing.T) {
	for units, want := range map[float64]float64{1: 1, 3: 3} {
		set := testSettings()
		set.ActualUnitsReported, set.Plans[0].OverQuotaCost = true, 1
		// largest returns the largest total of the counter, which holds the bucket, after one request.
		largest := func(end func(h *harness, counter fakeCounter, attempts []policy.StartAttempt)) float64 {
			h, counter := newHarness(t, set, 6), fakeCounter{}
			h.receiveEvent(sharedBucketRequest(1, 2*time.Second))
			end(h, counter, startedAttempts(h.advance(ms, counter.add)))
			maxTotal := 0.0
			for _, total := range counter {
				maxTotal = max(maxTotal, total)
			}
			return maxTotal
		}
		settled := largest(func(h *harness, counter fakeCounter, attempts []policy.StartAttempt) {
			for _, attempt := range attempts {
				h.step(policy.AttemptEnded{RequestID: attempt.RequestID, Endpoint: attempt.Endpoint, Outcome: policy.Succeeded,
					Latency: 20 * ms, RequestDone: true, ActualUnits: units})
			}
			h.advance(ms, counter.add)
		})
		// The total also holds what had refilled a full bucket before the request.
		unsettled := largest(func(*harness, fakeCounter, []policy.StartAttempt) {})
		if got := settled - unsettled + 1; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("an estimate of 1 that truly was %v took %v units of the bucket", units, got)
		}
	}
}
