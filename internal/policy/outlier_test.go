package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// timeOut lets an attempt's timeout pass and then ends the attempt as timed out.
func (h *harness) timeOut(id string, number int, attempt policy.StartAttempt) {
	h.advance(attempt.Timeout, replyWithTotal(0))
	h.step(policy.AttemptEnded{RequestID: id, Attempt: number, Endpoint: attempt.Endpoint,
		Outcome: policy.TimedOut, Latency: attempt.Timeout})
}

// attemptsAtFaultyEndpoint sends 400 requests of a class to four endpoints. Attempts at the
// endpoint s1 end by fail, the others succeed. It returns the number of attempts at s1 from
// the requests after the first hundred.
func attemptsAtFaultyEndpoint(t *testing.T, class int, fail func(*harness, policy.StartAttempt)) (attempts int) {
	t.Helper()
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings, 4)
	for i := range 400 {
		h.advance(20*ms, replyWithTotal(0))
		id, actions := h.receive(class, 1, 1, 1)
		for _, attempt := range startedAttempts(actions) {
			if attempt.Endpoint != "s1" {
				h.succeed(id, attempt)
				continue
			}
			if i > 100 {
				attempts++
			}
			fail(h, attempt)
		}
	}
	return attempts
}

func TestHangingEndpointIsEjected(t *testing.T) {
	attempts := attemptsAtFaultyEndpoint(t, 0, func(h *harness, attempt policy.StartAttempt) {
		h.timeOut(attempt.RequestID, 0, attempt)
	})
	if attempts > 15 {
		t.Errorf("%d of 300 requests went to an endpoint that times out, want at most 15", attempts)
	}
}

func TestFastFailingEndpointIsEjected(t *testing.T) {
	attempts := attemptsAtFaultyEndpoint(t, 2, func(h *harness, attempt policy.StartAttempt) {
		h.step(policy.AttemptEnded{RequestID: attempt.RequestID, Endpoint: attempt.Endpoint,
			Outcome: policy.ServerError, Latency: ms})
	})
	if attempts > 3 {
		t.Errorf("%d of 300 non-idempotent requests went to an endpoint that fails them, want at most 3", attempts)
	}
}

func TestThrottleRecoversAfterAllEndpointsReturn(t *testing.T) {
	// Guards against a failure seen in a deployment: after all endpoints had been ejected and had
	// recovered, the throttle of a gateway that had forwarded nothing meanwhile shed every request.
	h := newHarness(t, testSettings(), 3)
	for range 60 { // all attempts time out
		h.advance(50*ms, replyWithTotal(0))
		id, actions := h.receive(0, 1, 1, 1)
		for number, attempt := range startedAttempts(actions) {
			h.timeOut(id, number, attempt)
		}
	}
	h.advance(20*time.Second, replyWithTotal(0))
	forwarded := 0
	for range 100 {
		h.advance(50*ms, replyWithTotal(0))
		id, actions := h.receive(0, 1, 2, 1)
		for _, attempt := range startedAttempts(actions) {
			h.succeed(id, attempt)
			forwarded++
		}
	}
	if forwarded < 50 {
		t.Errorf("%d of 100 requests forwarded after the endpoints recovered, want at least 50", forwarded)
	}
}

func TestAttemptsContinueWhenAllEndpointsHang(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	attempts := 0
	for i := range 200 {
		h.advance(50*ms, replyWithTotal(0))
		id, actions := h.receive(0, 1, 1, 1)
		for number, attempt := range startedAttempts(actions) {
			if i > 100 {
				attempts++
			}
			h.timeOut(id, number, attempt)
		}
	}
	if attempts == 0 {
		t.Error("no attempt starts any more while all endpoints time out")
	}
}

func TestHealthCheckPrecedesRecoveryTrial(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging, settings.AllowHealthChecks = false, true
	h := newHarness(t, settings, 4)
	healthChecks, attemptsAfter := 0, 0
	for range 300 {
		h.advance(20*ms, replyWithTotal(0))
		id, actions := h.receive(0, 1, 1, 1)
		for _, action := range actions {
			if check, ok := action.(policy.CheckHealth); ok {
				healthChecks++
				h.step(policy.HealthCheckDone{Endpoint: check.Endpoint, Outcome: policy.TimedOut})
			}
		}
		for _, attempt := range startedAttempts(actions) {
			if attempt.Endpoint != "s1" {
				h.succeed(id, attempt)
				continue
			}
			if healthChecks > 0 {
				attemptsAfter++
			}
			h.timeOut(id, 0, attempt)
		}
	}
	if healthChecks == 0 || attemptsAfter > 0 {
		t.Errorf("%d health checks, want some; %d attempts at an endpoint after its failed health checks, want none",
			healthChecks, attemptsAfter)
	}
}

// Guards against endpoints that stay ejected for good: a request that the throttle sheds must not
// count as a recovery trial, which would never end.
func TestShedRequestIsNoRecoveryTrial(t *testing.T) {
	const hangsUntil, failsUntil, requests = 300, 400, 1500
	for seed := range uint64(20) {
		settings := testSettings()
		settings.MaxAttempts, settings.Seed = 1, seed
		h := newHarness(t, settings, 4)
		recovered := 0
		for i := range requests {
			h.advance(20*ms, replyWithTotal(0))
			id, actions := h.receive(0, 1, 1, 1)
			for _, attempt := range startedAttempts(actions) {
				switch {
				case attempt.Endpoint == "s1" && i < hangsUntil:
					h.step(policy.AttemptEnded{RequestID: id, Endpoint: "s1", Outcome: policy.TimedOut, Latency: time.Second})
				case i >= hangsUntil && i < failsUntil: // so many failures that some requests are shed
					h.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint, Outcome: policy.TimedOut, Latency: time.Second})
				default:
					h.succeed(id, attempt)
					if attempt.Endpoint == "s1" && i >= failsUntil {
						recovered++
					}
				}
			}
		}
		if recovered < 50 {
			t.Errorf("seed %d: %d attempts at one of 4 endpoints that all serve again, of %d requests; want at least 50", seed, recovered, requests-failsUntil)
		}
	}
}

// Guards against endpoints that stay ejected for good: a request that is rejected for lack of time
// after the choice of an endpoint must not count as a recovery trial.
func TestRejectedRequestIsNoRecoveryTrial(t *testing.T) {
	const hangsUntil, steps = 600, 1500
	for seed := range uint64(10) {
		settings := testSettings()
		settings.MaxAttempts, settings.Seed = 1, seed
		h := newHarness(t, settings, 4)
		recovered := 0
		for i := range steps {
			h.advance(10*ms, replyWithTotal(0))
			id, actions := h.receive(0, 1, 1, 1)
			h.advance(10*ms, replyWithTotal(0))
			_, rejected := h.receiveEvent(policy.RequestReceived{Plan: 1, Tenant: 1, Timeout: ms, Units: 1, TenantGateways: 3})
			h.succeedAll(startedAttempts(rejected))
			for _, attempt := range startedAttempts(actions) {
				if attempt.Endpoint == "s1" && i < hangsUntil {
					h.step(policy.AttemptEnded{RequestID: id, Endpoint: "s1", Outcome: policy.TimedOut, Latency: time.Second})
					continue
				}
				h.succeed(id, attempt)
				if attempt.Endpoint == "s1" {
					recovered++
				}
			}
		}
		if recovered < 50 {
			t.Errorf("seed %d: %d attempts at one of 4 endpoints that all serve again, of %d requests; want at least 50", seed, recovered, steps-hangsUntil)
		}
	}
}
