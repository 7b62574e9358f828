package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// answerAfter ends a request's only attempt with success after a latency.
func (h *harness) answerAfter(latency time.Duration, attempt policy.StartAttempt) {
	h.advance(latency, replyWithTotal(0))
	h.step(policy.AttemptEnded{RequestID: attempt.RequestID, Endpoint: attempt.Endpoint, Outcome: policy.Succeeded,
		Latency: latency, RequestDone: true})
}

// serveWithLatency serves n requests of a class, one after the other, each with the same latency.
func (h *harness) serveWithLatency(n, class int, latency time.Duration) {
	for range n {
		_, actions := h.receive(class, 1, 1, 1)
		for _, attempt := range startedAttempts(actions) {
			h.answerAfter(latency, attempt)
		}
	}
}

// Guards the time that an attempt may take: all that the client has, whatever the class.
func TestAttemptMayTakeTimeThatClientHas(t *testing.T) {
	for class := range testSettings().Classes {
		for _, timeout := range []time.Duration{300 * ms, 1900 * ms} {
			h := newHarness(t, testSettings(), 4)
			_, actions := h.receiveEvent(policy.RequestReceived{Class: class, Plan: 1, Tenant: 1, Timeout: timeout, Units: 1, TenantGateways: 3})
			attempts := startedAttempts(actions)
			if len(attempts) != 1 || attempts[0].Timeout != timeout {
				t.Errorf("class %d: attempts %v, want one with the client's %v", class, attempts, timeout)
			}
		}
	}
}

// Guards refusals by the time that the caller has: at the same moment, behind the same work, a request
// with little time left is rejected and one with more time is not.
func TestRejectionFollowsTimeLeft(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings, 2)
	h.serveWithLatency(200, 0, 100*ms)
	for range 10 { // work ahead: five requests at each endpoint
		h.receive(0, 1, 1, 1)
	}
	for _, test := range []struct {
		timeout  time.Duration
		admitted bool
	}{{150 * ms, false}, {1900 * ms, true}, {150 * ms, false}} {
		_, actions := h.receiveEvent(policy.RequestReceived{Plan: 1, Tenant: 1, Timeout: test.timeout, Units: 1, TenantGateways: 3})
		if admitted := len(startedAttempts(actions)) == 1; admitted != test.admitted {
			t.Errorf("%v left behind ten requests of 100 ms at two endpoints: admitted %v, want %v", test.timeout, admitted, test.admitted)
		}
	}
}

// Guards against giving up while the client still waits: an idempotent request whose attempt fails late
// gets another one.
func TestRetryWhileClientWaits(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings, 4)
	h.serveWithLatency(50, 0, 20*ms)
	id, actions := h.receive(0, 1, 1, 1)
	first := startedAttempts(actions)[0]
	h.advance(1500*ms, replyWithTotal(0))
	actions = h.step(policy.AttemptEnded{RequestID: id, Endpoint: first.Endpoint, Outcome: policy.ServerError, Latency: 1500 * ms})
	attempts := startedAttempts(actions)
	if len(attempts) != 1 || attempts[0].Timeout != 500*ms {
		t.Errorf("attempts %v with 500 ms left, want one with that time", attempts)
	}
}

// Guards when a hedged attempt starts: once the first one takes longer than most answers do.
func TestHedgeDelayFollowsLatencies(t *testing.T) {
	for _, latency := range []time.Duration{10 * ms, 100 * ms} {
		h := newHarness(t, testSettings(), 4)
		h.serveWithLatency(400, 0, latency)
		h.receive(0, 1, 1, 1)
		if attempts := startedAttempts(h.advance(latency, replyWithTotal(0))); len(attempts) > 0 {
			t.Errorf("answers take %v: hedged within that time", latency)
		}
		if attempts := startedAttempts(h.advance(2*latency, replyWithTotal(0))); len(attempts) != 1 {
			t.Errorf("answers take %v: %d hedged attempts after three times that, want one", latency, len(attempts))
		}
	}
}

// Guards against a class that is shut out for good: after an overload, no answer would correct the
// expected latency if all its requests were rejected.
func TestAdmissionRecoversAfterOverload(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings, 4)
	h.serveWithLatency(100, 0, 1900*ms)
	admitted := 0
	for range 100 {
		_, actions := h.receiveEvent(policy.RequestReceived{Plan: 1, Tenant: 1, Timeout: 500 * ms, Units: 1, TenantGateways: 3})
		for _, attempt := range startedAttempts(actions) {
			h.answerAfter(20*ms, attempt)
			admitted++
		}
	}
	if admitted < 95 {
		t.Errorf("%d of 100 requests admitted after the endpoints became fast again, want at least 95", admitted)
	}
}

// Guards requests with little time against others with more: at the wait at which a request had to be
// rejected, all are, for a while. Those that ask for very little time do not have that effect.
func TestRequestsAreRejectedAtTheSameWait(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	const long = 1900 * ms
	for _, test := range []struct {
		timeout time.Duration // of the request that is rejected
		limits  bool
	}{{settings.Classes[0].Deadline / 2, true}, {100 * ms, false}} {
		h := newHarness(t, settings, 2)
		h.serveWithLatency(200, 0, 100*ms)
		receive := func(timeout time.Duration) []policy.StartAttempt {
			_, actions := h.receiveEvent(policy.RequestReceived{Plan: 1, Tenant: 1, Timeout: timeout, Units: 1, TenantGateways: 3})
			return startedAttempts(actions)
		}
		var queue []policy.StartAttempt
		for range 30 {
			queue = append(queue, receive(long)...)
		}
		if len(queue) != 30 || len(receive(test.timeout)) != 0 {
			t.Fatalf("%d requests of 30 admitted with %v left, and the next one with %v; want all 30 and not that one", len(queue), long, test.timeout)
		}
		if admitted := len(receive(long)) == 1; admitted == test.limits {
			t.Errorf("a request with %v left admitted: %v, after one with %v was rejected; want %v", long, admitted, test.timeout, !test.limits)
		}
		h.advance(1100*ms, replyWithTotal(0))
		h.succeedAll(queue)
		if len(receive(test.timeout+100*ms)) != 1 {
			t.Errorf("a request rejected after the queue was served")
		}
	}
}

// Guards the others against a class whose requests take most of their time without any queue: that
// these are rejected is not due to the queue.
func TestTightClassDoesNotLimitTheWait(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	settings.Classes[2].Deadline = 110 * ms
	h := newHarness(t, settings, 2)
	h.serveWithLatency(200, 0, 100*ms)
	h.serveWithLatency(200, 2, 100*ms)
	receive := func(class int, timeout time.Duration) bool {
		_, actions := h.receiveEvent(policy.RequestReceived{Class: class, Plan: 1, Tenant: 1, Timeout: timeout, Units: 1, TenantGateways: 3})
		return len(startedAttempts(actions)) == 1
	}
	receive(2, 110*ms)
	receive(0, time.Second)
	rejected := 0
	for range 10 {
		if !receive(2, 110*ms) {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("no request with 110 ms left rejected behind others that take 100 ms, want some")
	}
	if !receive(0, 1900*ms) {
		t.Error("a request with 1.9 s left rejected because others with 110 ms were")
	}
}
