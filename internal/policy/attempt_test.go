package policy_test

import (
	"fmt"
	"swiftpitch/internal/policy"
	"testing"
	"time"
)

func TestOnceIsNotSentTwiceNorRefusedAfterItMayHaveRun(t *testing.T) {
	for _, o := range []policy.Outcome{policy.ServerError, policy.ConnectionLost, policy.TimedOut, policy.Canceled} {
		r := newRig(t, settings(), 6)
		id, as := r.arrive(2, 1, 1, 1)
		as = r.step(policy.AttemptEnded{RequestID: id, Endpoint: sent(as)[0].Endpoint, Outcome: o, Latency: ms})
		if len(sent(as)) > 0 || has[policy.Reject](as) || !has[policy.Fail](as) {
			t.Errorf("outcome %d: %v, want a failure alone", o, as)
		}
	}
	for _, o := range []policy.Outcome{policy.Overloaded, policy.ConnectFailed} {
		r := newRig(t, settings(), 6)
		id, as := r.arrive(2, 1, 1, 1)
		as = r.step(policy.AttemptEnded{RequestID: id, Endpoint: sent(as)[0].Endpoint, Outcome: o, Latency: ms})
		if len(sent(as)) != 1 {
			t.Errorf("outcome %d: %v, want another attempt: it never ran", o, as)
		}
	}
}

func TestKeyedStaysInItsZoneAndWindow(t *testing.T) {
	zone := map[string]int{}
	for i := range 6 {
		zone[server(i).ID] = server(i).Zone
	}
	for seed := range uint64(20) {
		set := settings()
		set.Seed = seed
		r := newRig(t, set, 6)
		id, as := r.arrive(1, 1, 1, 1)
		first := sent(as)[0].Endpoint
		as = r.step(policy.AttemptEnded{RequestID: id, Endpoint: first, Outcome: policy.ServerError, Latency: ms})
		for _, s := range sent(as) {
			if zone[s.Endpoint] != zone[first] {
				t.Fatal("a keyed request that may have run left its zone")
			}
		}
		if has[policy.Reject](as) {
			t.Fatal("refused though a repeat elsewhere may run it twice")
		}
	}
}

func TestStartedStreamIsLeftAlone(t *testing.T) {
	set := settings()
	set.Classes[0].Streaming = true
	r := newRig(t, set, 6)
	id, as := r.arrive(0, 1, 1, 1)
	first := sent(as)[0]
	if first.Timeout != 0 {
		t.Errorf("a streamed attempt has a time-out of %v", first.Timeout)
	}
	r.step(policy.ResponseStarted{RequestID: id, Endpoint: first.Endpoint, Latency: 20 * ms})
	if as := r.run(10*time.Second, totals(0)); len(sent(as)) > 0 {
		t.Error("a copy was sent of a stream that had started")
	}
	if as := r.step(policy.ClientDisconnected{RequestID: id}); has[policy.CancelAttempt](as) {
		t.Error("a started stream was called off")
	}
}

func TestNoCopyWhileServersTellThatTheyAreBusy(t *testing.T) {
	for _, c := range []struct {
		busy   float64
		copies bool
	}{{0.3, true}, {0.95, false}} {
		r := newRig(t, settings(), 6)
		for range 100 {
			r.run(10*ms, totals(0))
			id, as := r.arrive(0, 1, 1, 1)
			for _, s := range sent(as) {
				r.step(policy.AttemptEnded{RequestID: id, Endpoint: s.Endpoint, Outcome: policy.Succeeded, Latency: 20 * ms, RequestDone: true,
					Report: policy.LoadReport{Utilization: &c.busy}})
			}
		}
		if _, as := r.arrive(0, 1, 1, 1); len(sent(as)) != 1 {
			t.Fatal("not sent")
		}
		if copied := len(sent(r.run(400*ms, totals(0)))) > 0; copied != c.copies {
			t.Errorf("servers %v busy: a second copy %v, want %v", c.busy, copied, c.copies)
		}
	}
}

func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	// Each wait in which it may go: for a second copy, for a further attempt, and for the counter's answer, which
	// may come in time, late or never.
	gone := func(t *testing.T, as []policy.Action) {
		t.Helper()
		if s := sent(as); len(s) > 0 {
			t.Errorf("sent %v", s)
		}
	}
	for _, cancel := range []bool{true, false} {
		set := settings()
		set.AllowCancel = cancel
		r := newRig(t, set, 8)
		id, as := r.arrive(0, 1, 1, 1)
		s := sent(as)
		if len(s) != 1 {
			t.Fatalf("sent %v", s)
		}
		gone(t, r.step(policy.ClientDisconnected{RequestID: id}))
		gone(t, r.run(time.Second, totals(0))) // a copy's time
		gone(t, r.step(policy.AttemptEnded{RequestID: id, Endpoint: s[0].Endpoint, Outcome: policy.Overloaded, Latency: time.Second, RequestDone: true}))
		gone(t, r.run(time.Second, totals(0)))
	}
	for _, answer := range []policy.Outcome{policy.Succeeded, policy.Overloaded, policy.TimedOut, -1} {
		set := settings()
		set.Plans[0].OverQuotaCost = 1
		r := newRig(t, set, 8)
		id, held := "", false
		for i := 0; i < 100 && !held; i++ { // a part of the tries calls
			id = fmt.Sprintf("%016x", i)
			as := r.step(policy.RequestReceived{RequestID: id, Tenant: uint64(i), Timeout: 2 * time.Second, Units: 1, TenantGateways: 60})
			held = has[policy.AddToCounter](as) && len(sent(as)) == 0
			for _, s := range sent(as) {
				r.pass(id, s)
			}
		}
		if !held {
			t.Fatal("no try is held for the counter")
		}
		gone(t, r.step(policy.ClientDisconnected{RequestID: id}))
		reply := func(c policy.AddToCounter) policy.CounterReplied {
			return policy.CounterReplied{Key: c.Key, Outcome: answer, Total: max(c.Units, 0)}
		}
		if answer < 0 {
			reply = nil
		}
		gone(t, r.run(5*time.Second, reply))
	}
}
