package upstream

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// TestReserveAtConnLimit checks the limit on descriptors: at the limit an idle connection frees
// its slot, and with none idle there is no slot.
func TestReserveAtConnLimit(t *testing.T) {
	pool, endpoint := newTestPool(testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	addIdleConn(t, pool, endpoint)
	pool.maxConns = pool.open
	if !pool.Reserve() || len(endpoint.idle) != 0 {
		t.Error("the idle connection did not free its slot")
	}
	if pool.Reserve() {
		t.Error("a slot beyond the limit")
	}
	pool.CancelReservation()
}

// TestNoAttemptsAfterDrainGrace checks that no attempt starts after the drain grace, and that one may
// start within it.
func TestNoAttemptsAfterDrainGrace(t *testing.T) {
	pool, endpoint := newTestPool("127.0.0.1:9")
	now := time.Now()
	draining := EndpointUpdate{ID: "s-0", Addr: endpoint.Addr(), State: policy.Draining}
	pool.UpdateEndpoint(draining, now)
	if !pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace/2)) {
		t.Error("no attempt within the grace")
	}
	if pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("an attempt after the grace")
	}
	pool.UpdateEndpoint(draining, now.Add(pool.drainGrace)) // reported again: the grace does not begin anew
	if pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("the grace began anew")
	}
	pool.UpdateEndpoint(EndpointUpdate{ID: "s-0", Addr: endpoint.Addr(), State: policy.Serving}, now)
	if !pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("no attempt at an endpoint that serves again")
	}
}

// TestRestartOrNewAddressEvictsIdle guards non-idempotent requests against connections to a process
// that no longer exists: when discovery reports a restart or a new address, idle
// connections are closed.
func TestRestartOrNewAddressEvictsIdle(t *testing.T) {
	addr := testsupport.StartFakeServer(t, testsupport.RespondOK).Addr
	pool, endpoint := newTestPool(addr)
	original := EndpointUpdate{ID: "s-0", Addr: addr, State: policy.Serving}
	for name, update := range map[string]EndpointUpdate{
		"restart":     {ID: "s-0", Addr: addr, StartedAtMS: time.Now().UnixMilli(), State: policy.Serving},
		"new address": {ID: "s-0", Addr: "127.0.0.1:9", State: policy.Serving},
	} {
		pool.UpdateEndpoint(original, time.Now())
		addIdleConn(t, pool, endpoint)
		if len(endpoint.idle) == 0 {
			t.Errorf("%s: no idle connection", name)
		}
		pool.UpdateEndpoint(update, time.Now())
		if len(endpoint.idle) != 0 {
			t.Errorf("%s: the idle connection is kept", name)
		}
	}
}
