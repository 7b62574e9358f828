package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// rejection returns the rejection among actions.
func rejection(t *testing.T, actions []policy.Action) policy.Reject {
	t.Helper()
	for _, action := range actions {
		if reject, ok := action.(policy.Reject); ok {
			return reject
		}
	}
	t.Fatalf("actions %v, want a rejection", actions)
	return policy.Reject{}
}

// Guards the wait that a rejected client is told: it must follow from when the tenant's quota or
// hard limit admits the request, so that a client that comes back then is served and one that comes
// back earlier is not.
func TestRetryAfterTellsWhenTokensAreThere(t *testing.T) {
	const tooEarly = 20 * ms
	for name, test := range map[string]struct {
		plan   int
		uptime time.Duration
	}{
		"quota":      {plan: 0},
		"hard limit": {plan: 2, uptime: 2 * time.Second},
	} {
		for _, early := range []bool{true, false} {
			settings := testSettings()
			settings.CounterEnabled = false // the allocation stays as it is
			h := newHarness(t, settings, 6)
			h.advance(test.uptime, nil)
			h.countAdmitted(10, test.plan, 1)
			_, actions := h.receive(0, test.plan, 1, 1)
			wait := rejection(t, actions).RetryAfter
			if wait <= tooEarly || wait >= settings.MaxRetryAfter {
				t.Fatalf("%s: Retry-After %v, want the time until the tokens are there, above %v", name, wait, tooEarly)
			}
			if early {
				wait -= tooEarly
			}
			h.advance(wait, nil)
			if admitted := h.countAdmitted(1, test.plan, 1) == 1; admitted == early {
				t.Errorf("%s: client that comes back %v after the rejection admitted: %v, want %v", name, wait, admitted, !early)
			}
		}
	}
}

// Guards the wait of tenants whose bucket is at the counter: it follows from the bucket's last reading.
func TestRetryAfterFollowsSharedBucket(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for i := range 20 {
		_, actions := h.receiveEvent(sharedBucketRequest(1, 2*time.Second))
		if len(h.counterCalls) == 0 {
			continue
		}
		call := h.lastCounterCall()
		h.step(policy.CounterReplied{Key: call.Key, Total: 1000 + call.Units}) // far more than a full bucket was taken
		if isDecided(actions) && i == 0 {
			continue
		}
		_, actions = h.receiveEvent(sharedBucketRequest(1, 2*time.Second))
		if got := rejection(t, actions).RetryAfter; got != testSettings().MaxRetryAfter {
			t.Errorf("bucket empty for minutes: Retry-After %v, want the longest that clients honor, %v", got, testSettings().MaxRetryAfter)
		}
		return
	}
	t.Fatal("none of 20 requests called the counter")
}

// Guards the wait at the limit on concurrent attempts: one of them ends within a mean latency.
func TestRetryAfterAtConcurrencyLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for range 400 { // the mean latency becomes 20 ms
		h.countAdmitted(1, 1, 1)
	}
	h.receive(0, 3, 5, 1)
	_, actions := h.receive(0, 3, 5, 1)
	if got := rejection(t, actions).RetryAfter; got < 10*ms || got > 40*ms {
		t.Errorf("Retry-After %v where attempts take 20 ms, want 10 to 40 ms", got)
	}
}

// Guards that a client is told no wait where clients do not honor one.
func TestNoRetryAfterUnlessHonored(t *testing.T) {
	settings := testSettings()
	settings.AllowRetryAfter = false
	h := newHarness(t, settings, 6)
	h.countAdmitted(10, 0, 1)
	_, actions := h.receive(0, 0, 1, 1)
	if got := rejection(t, actions).RetryAfter; got != 0 {
		t.Errorf("Retry-After %v, want none", got)
	}
}
