package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// timeOut lets an attempt's timeout pass and ends it without an answer.
func (r *rig) timeOut(id string, number int, attempt policy.StartAttempt) {
	r.run(attempt.Timeout, totals(0))
	r.step(policy.AttemptEnded{RequestID: id, Attempt: number, Endpoint: attempt.Endpoint,
		Outcome: policy.TimedOut, Latency: attempt.Timeout})
}

func TestHangingEndpointIsEjected(t *testing.T) {
	set := settings()
	set.AllowHedging = false
	r := newRig(t, set, 4)
	late := 0
	for i := range 400 {
		r.run(20*ms, totals(0))
		id, actions := r.arrive(0, 1, 1, 1)
		for _, attempt := range sent(actions) {
			if attempt.Endpoint != "s1" {
				r.pass(id, attempt)
				continue
			}
			if i > 100 {
				late++
			}
			r.timeOut(id, 0, attempt)
		}
	}
	if late > 15 {
		t.Errorf("%d of 300 requests still went to an endpoint that answers nothing", late)
	}
}

func TestReadmittedEndpointsAreNotThrottledToNothing(t *testing.T) {
	// Found on a deployment: after all endpoints had been ejected and had come back, a gateway that
	// had forwarded nothing meanwhile allowed itself nothing.
	r := newRig(t, settings(), 3)
	for range 60 { // nobody answers
		r.run(50*ms, totals(0))
		id, actions := r.arrive(0, 1, 1, 1)
		for number, attempt := range sent(actions) {
			r.timeOut(id, number, attempt)
		}
	}
	r.run(20*time.Second, totals(0))
	forwarded := 0
	for range 100 {
		r.run(50*ms, totals(0))
		id, actions := r.arrive(0, 1, 2, 1)
		for _, attempt := range sent(actions) {
			r.pass(id, attempt)
			forwarded++
		}
	}
	if forwarded < 50 {
		t.Errorf("%d of 100 requests forwarded after the endpoints came back", forwarded)
	}
}

func TestAllHangingEndpointsAreNotAllEjected(t *testing.T) {
	r := newRig(t, settings(), 3)
	attempts := 0
	for i := range 200 {
		r.run(50*ms, totals(0))
		id, actions := r.arrive(0, 1, 1, 1)
		for number, attempt := range sent(actions) {
			if i > 100 {
				attempts++
			}
			r.timeOut(id, number, attempt)
		}
	}
	if attempts == 0 {
		t.Error("with every endpoint silent no attempt starts any more")
	}
}

func TestEjectedEndpointsAreHealthCheckedFirstWhereAllowed(t *testing.T) {
	set := settings()
	set.AllowHedging, set.AllowHealthChecks = false, true
	r := newRig(t, set, 4)
	healthChecks, attemptsAfter := 0, 0
	for range 300 {
		r.run(20*ms, totals(0))
		id, actions := r.arrive(0, 1, 1, 1)
		for _, action := range actions {
			if check, ok := action.(policy.CheckHealth); ok {
				healthChecks++
				r.step(policy.HealthCheckDone{Endpoint: check.Endpoint, Outcome: policy.TimedOut})
			}
		}
		for _, attempt := range sent(actions) {
			if attempt.Endpoint != "s1" {
				r.pass(id, attempt)
				continue
			}
			if healthChecks > 0 {
				attemptsAfter++
			}
			r.timeOut(id, 0, attempt)
		}
	}
	if healthChecks == 0 || attemptsAfter > 0 {
		t.Errorf("%d health checks, and %d requests to an endpoint that fails them", healthChecks, attemptsAfter)
	}
}

func TestFastFailingEndpointIsEjected(t *testing.T) {
	set := settings()
	set.AllowHedging = false
	r := newRig(t, set, 4)
	late := 0
	for i := range 400 {
		r.run(20*ms, totals(0))
		id, actions := r.arrive(2, 1, 1, 1)
		for _, attempt := range sent(actions) {
			if attempt.Endpoint != "s1" {
				r.pass(id, attempt)
				continue
			}
			if i > 100 {
				late++
			}
			r.step(policy.AttemptEnded{RequestID: id, Endpoint: attempt.Endpoint, Outcome: policy.ServerError, Latency: ms})
		}
	}
	if late > 3 {
		t.Errorf("%d of 300 requests that are not idempotent went to an endpoint that fails them", late)
	}
}
