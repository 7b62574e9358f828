package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// timeOut lets an attempt's timeout pass and ends it without an answer.
func (h *harness) timeOut(id string, number int, attempt policy.StartAttempt) {
	h.advance(attempt.Timeout, replyWithTotal(0))
	h.step(policy.AttemptEnded{RequestID: id, Attempt: number, Endpoint: attempt.Endpoint,
		Outcome: policy.TimedOut, Latency: attempt.Timeout})
}

// attemptsAtFaultyEndpoint offers 400 requests of a class to four endpoints, of which one fails
// each of its attempts in the way of fail. It returns how many attempts that one got of the
// requests after the first hundred.
func attemptsAtFaultyEndpoint(t *testing.T, class int, fail func(*harness, policy.StartAttempt)) (lateAttempts int) {
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
				lateAttempts++
			}
			fail(h, attempt)
		}
	}
	return lateAttempts
}

func TestHangingEndpointIsEjected(t *testing.T) {
	late := attemptsAtFaultyEndpoint(t, 0, func(h *harness, attempt policy.StartAttempt) {
		h.timeOut(attempt.RequestID, 0, attempt)
	})
	if late > 15 {
		t.Errorf("%d of 300 requests still went to an endpoint that answers nothing", late)
	}
}

func TestFastFailingEndpointIsEjected(t *testing.T) {
	late := attemptsAtFaultyEndpoint(t, 2, func(h *harness, attempt policy.StartAttempt) {
		h.step(policy.AttemptEnded{RequestID: attempt.RequestID, Endpoint: attempt.Endpoint,
			Outcome: policy.ServerError, Latency: ms})
	})
	if late > 3 {
		t.Errorf("%d of 300 requests that are not idempotent went to an endpoint that fails them", late)
	}
}

func TestThrottleRecoversAfterAllEndpointsReturn(t *testing.T) {
	// Found on a deployment: after all endpoints had been ejected and had come back, a gateway that
	// had forwarded nothing meanwhile allowed itself nothing.
	h := newHarness(t, testSettings(), 3)
	for range 60 { // nobody answers
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
		t.Errorf("%d of 100 requests forwarded after the endpoints came back", forwarded)
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
		t.Error("with every endpoint silent no attempt starts any more")
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
		t.Errorf("%d health checks, and %d requests to an endpoint that fails them", healthChecks, attemptsAfter)
	}
}
