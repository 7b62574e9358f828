package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// sharedBucketRequest returns a request of one unit of a tenant whose requests come through 100 gateways: of the
// quota of 8 units per interval, the share of one gateway is less than a request.
func sharedBucketRequest(tenant uint64, timeout time.Duration) policy.RequestReceived {
	return policy.RequestReceived{Tenant: tenant, Timeout: timeout, Units: 1, TenantGateways: 100}
}

// isDecided reports whether actions admit or reject a request, which is otherwise held.
func isDecided(actions []policy.Action) bool {
	return len(startedAttempts(actions)) > 0 || hasAction[policy.Reject](actions)
}

func TestSharedBucketDecidesForSmallShares(t *testing.T) {
	// The total at the counter decides, not an allocation, if a gateway's share of the quota is less than a request.
	decide := func(total float64, timeout time.Duration) (calls, admitted int) {
		settings := testSettings()
		settings.CounterTimeout = 400 * ms
		h := newHarness(t, settings, 6)
		for i := range 40 {
			_, actions := h.receiveEvent(sharedBucketRequest(uint64(i), timeout))
			if hasAction[policy.AddToCounter](actions) {
				calls++
				if len(startedAttempts(actions)) > 0 && timeout > time.Second {
					t.Errorf("request %d forwarded before the reply to its counter call", i)
				}
				call := h.lastCounterCall()
				actions = append(actions, h.step(policy.CounterReplied{Key: call.Key, Total: total * call.Units})...)
			}
			admitted += h.succeedAll(startedAttempts(actions))
		}
		return calls, admitted
	}
	if calls, admitted := decide(1, 2*time.Second); calls < 10 || admitted != 40 {
		t.Errorf("unused quota: %d calls and %d of 40 requests admitted, want at least 10 and all 40", calls, admitted)
	}
	if calls, admitted := decide(1000, 2*time.Second); admitted > 40-calls {
		t.Errorf("quota used up: %d calls and %d of 40 requests admitted, want at most %d, those without a call", calls, admitted, 40-calls)
	}
	if _, admitted := decide(1000, 500*ms); admitted == 0 {
		t.Error("client deadline near: no request admitted, want some decided without waiting for the counter")
	}
}

func TestRequestIsHeldNoLongerThanCounterTimeout(t *testing.T) {
	// A counter call may take longer than CounterTimeout. A request is held no longer than that, and a total that comes
	// later does not decide it again.
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
			t.Fatalf("request %d still held after CounterTimeout", i)
		}
		if actions = h.step(policy.CounterReplied{Key: call.Key, Total: 1}); isDecided(actions) {
			t.Fatalf("request %d decided again by a late reply", i)
		}
	}
	if held == 0 {
		t.Error("no request held, want some")
	}
}

func TestNoRequestIsHeldAfterAStall(t *testing.T) {
	// After a stall, a gateway works through a backlog of old requests. Holding these for counter calls would take them
	// past the deadlines of their clients.
	h := newHarness(t, testSettings(), 6)
	h.advance(time.Second, replyWithTotal(0))
	h.now += 2 * time.Second // no event is handled in this time
	for i := range 20 {
		_, actions := h.receiveEvent(sharedBucketRequest(uint64(i), time.Second))
		if !isDecided(actions) {
			t.Fatalf("request %d held after a stall, want it decided at once", i)
		}
	}
}

// admittedByFleet offers a tenant's requests of one unit through a number of gateways for 40 s, at a multiple of the
// quota of 4 units per second, and returns the units admitted. The gateways share a counter that rejects a share of
// their calls.
func admittedByFleet(t *testing.T, gateways int, demandMultiple float64, rejectedShare float64) (units float64) {
	t.Helper()
	settings := testSettings()
	settings.Gateways = gateways
	rng := rand.New(rand.NewPCG(3, uint64(gateways)))
	var harnesses []*harness
	for i := range gateways {
		settings.GatewayIndex, settings.Seed = i, uint64(i)
		harnesses = append(harnesses, newHarness(t, settings, 6))
	}
	counter, now := fakeCounter{}, 1000*time.Second
	reply := func(call policy.AddToCounter) policy.CounterReplied {
		if rng.Float64() < rejectedShare {
			return policy.CounterReplied{Key: call.Key, Outcome: policy.Overloaded}
		}
		return counter.add(call)
	}
	for i := range int(160 * demandMultiple) {
		at := 1000*time.Second + time.Duration(float64(i)/(4*demandMultiple)*1e9)
		for now < at { // in steps shorter than CounterTimeout, so that all gateways add their units before any reads the total
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

func TestFleetHoldsQuotaForAnyNumberOfGateways(t *testing.T) {
	// The burst of 8 units is far below one request per gateway at the largest fleets. 40 s at 4 units per second and
	// the burst are 168 units; half of that on top is the tolerance for uncoordinated decisions at gateways that know
	// nothing about the tenant yet.
	for _, gateways := range []int{1, 3, 100, 277} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			if admitted := admittedByFleet(t, gateways, 3, 0); admitted < 120 || admitted > 252 {
				t.Errorf("demand of 3 times the quota: %v units admitted, want 120 to 252, near the quota of 168", admitted)
			}
			if admitted := admittedByFleet(t, gateways, 0.4, 0); admitted < 50 {
				t.Errorf("demand of 0.4 times the quota: %v of 64 units admitted, want at least 50", admitted)
			}
		})
	}
}

func TestFleetRoughlyHoldsQuotaWhenCounterRejectsMostCalls(t *testing.T) {
	for _, gateways := range []int{3, 100} {
		if admitted := admittedByFleet(t, gateways, 3, 0.8); admitted < 80 || admitted > 420 {
			t.Errorf("%d gateways: %v of 480 units admitted, want 80 to 420, where the quota is 168", gateways, admitted)
		}
	}
}

func TestSharedBucketIsChargedActualUnits(t *testing.T) {
	for actualUnits, want := range map[float64]float64{1: 1, 3: 3} {
		settings := testSettings()
		settings.ActualUnitsReported = true
		// largestTotal returns the largest total at the counter after one request, which is that of the tenant's bucket.
		largestTotal := func(end func(h *harness, counter fakeCounter, attempts []policy.StartAttempt)) float64 {
			h, counter := newHarness(t, settings, 6), fakeCounter{}
			h.receiveEvent(sharedBucketRequest(1, 2*time.Second))
			end(h, counter, startedAttempts(h.advance(ms, counter.add)))
			maxTotal := 0.0
			for _, total := range counter {
				maxTotal = max(maxTotal, total)
			}
			return maxTotal
		}
		settled := largestTotal(func(h *harness, counter fakeCounter, attempts []policy.StartAttempt) {
			for _, attempt := range attempts {
				h.step(policy.AttemptEnded{RequestID: attempt.RequestID, Endpoint: attempt.Endpoint, Outcome: policy.Succeeded,
					Latency: 20 * ms, RequestDone: true, ActualUnits: actualUnits})
			}
			h.advance(ms, counter.add)
		})
		// The first reading adds what had refilled beyond the burst to the total. The total without a settlement
		// is therefore the baseline.
		unsettled := largestTotal(func(*harness, fakeCounter, []policy.StartAttempt) {})
		if got := settled - unsettled + 1; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("a request charged 1 unit that used %v took %v units from the bucket, want %v", actualUnits, got, want)
		}
	}
}
