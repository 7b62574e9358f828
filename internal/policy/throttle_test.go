package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// pendingOutcome is the outcome that an attempt in flight will have.
type pendingOutcome struct {
	at    time.Duration
	ended policy.AttemptEnded
}

// deliverOutcomes passes in the outcomes that are due and returns the others.
func (h *harness) deliverOutcomes(pending []pendingOutcome) []pendingOutcome {
	kept := pending[:0]
	for _, outcome := range pending {
		if outcome.at <= h.now {
			h.step(outcome.ended)
		} else {
			kept = append(kept, outcome)
		}
	}
	return kept
}

func TestLossesAtAllEndpointsAreNotShedAsOverload(t *testing.T) {
	// Incident ic48e92: a quarter of the attempts were lost at every endpoint, and the others had their usual
	// latencies. Such losses must not cause requests to be shed, as an overload does.
	h := newHarness(t, testSettings(), 2)
	var pending []pendingOutcome
	rejected := 0
	for i := range 1000 {
		h.advance(20*ms, replyWithTotal(0))
		pending = h.deliverOutcomes(pending)
		id, actions := h.receive(2, 1, 1, 1)
		attempts := startedAttempts(actions)
		if len(attempts) == 0 {
			rejected++
			continue
		}
		ended := policy.AttemptEnded{RequestID: id, Endpoint: attempts[0].Endpoint,
			Outcome: policy.Succeeded, Latency: 100 * ms, RequestDone: true}
		if i%4 == 0 {
			ended.Outcome, ended.Latency, ended.RequestDone = policy.TimedOut, attempts[0].Timeout, false
		}
		pending = append(pending, pendingOutcome{h.now + ended.Latency, ended})
	}
	if rejected > 50 {
		t.Errorf("%d of 1000 requests rejected although answers have their usual latency, want at most 50", rejected)
	}
}

func TestAttemptsInFlightShrinkWithFleetSize(t *testing.T) {
	// Incident i6186b0: many gateways each added a few attempts at the same endpoints. The more gateways, the
	// fewer attempts each may have in flight.
	inFlight := func(gateways int) (attempts int) {
		settings := testSettings()
		settings.Gateways = gateways
		h := newHarness(t, settings, 4)
		for range 200 { // all at the same time, no attempt ends
			_, actions := h.receive(0, 1, 1, 1)
			attempts += len(startedAttempts(actions))
		}
		return attempts
	}
	if few, many := inFlight(3), inFlight(12); many*3 > few*2 {
		t.Errorf("one of 12 gateways has %d attempts in flight, one of 3 has %d; want at most two thirds of that", many, few)
	}
}

func TestThrottleReducesAttemptsWhenAllTimeOut(t *testing.T) {
	// Incident i2861ff: all endpoints were overloaded, and a gateway with few attempts saw no queue.
	attemptsWith := func(lostOfTen int) (attempts int) {
		settings := testSettings()
		settings.AllowHedging, settings.Gateways = false, 100
		h := newHarness(t, settings, 20)
		for i := range 400 {
			h.advance(250*ms, replyWithTotal(0))
			id, actions := h.receive(2, 1, 1, 1)
			for _, attempt := range startedAttempts(actions) {
				attempts++
				if i%10 >= lostOfTen {
					h.succeed(id, attempt)
					continue
				}
				h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint,
					Outcome: policy.TimedOut, Latency: attempt.Timeout})
			}
		}
		return attempts
	}
	if few, most := attemptsWith(2), attemptsWith(10); few < 380 || most > 200 || most == 0 {
		t.Errorf("of 400 requests, %d forwarded when a fifth of the attempts time out, want at least 380; "+
			"%d forwarded when all time out, want 1 to 200", few, most)
	}
}

// Guards against refusals that feed on themselves: after an outage of all endpoints, requests are
// forwarded again once the attempts that failed are no longer recent.
func TestThrottleEndsSoonAfterOutage(t *testing.T) {
	const rate, outage, recovery = 50, 5, 5 // requests per second, and seconds
	settings := testSettings()
	settings.AllowHedging, settings.MaxAttempts = false, 1
	h := newHarness(t, settings, 10)
	h.serveWithLatency(100, 0, 20*ms)
	forwarded := make([]int, outage+recovery+1) // by second
	for i := range rate * len(forwarded) {
		h.advance(time.Second/rate, replyWithTotal(0))
		id, actions := h.receive(0, 1, 1, 1)
		for _, attempt := range startedAttempts(actions) {
			forwarded[i/rate]++
			if i/rate >= outage {
				h.succeed(id, attempt)
				continue
			}
			h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint, Outcome: policy.TimedOut, Latency: time.Second})
		}
	}
	if last := forwarded[outage-1]; last > rate/2 {
		t.Errorf("%d of %d requests forwarded in the last second of the outage, want at most half", last, rate)
	}
	if last := forwarded[outage+recovery]; last < rate*9/10 {
		t.Errorf("forwarded of %d requests in each second: %v; want at least 9 in 10 when an outage of %d s ended %d s ago", rate, forwarded, outage, recovery)
	}
}
