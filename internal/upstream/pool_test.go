package upstream

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// TestReserveAtConnLimit checks the limit on open connections, which bounds the use of file
// descriptors: at the limit Reserve closes an idle connection, and fails if there is none.
func TestReserveAtConnLimit(t *testing.T) {
	pool, endpoint := newTestPool(testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	addIdleConn(t, pool, endpoint)
	pool.maxConns = pool.open
	if !pool.Reserve() || len(endpoint.idle) != 0 {
		t.Error("Reserve at the limit did not free the slot of the idle connection")
	}
	if pool.Reserve() {
		t.Error("Reserve at the limit succeeded without an idle connection")
	}
	pool.CancelReservation()
}

// TestNoAttemptsAfterDrainGrace checks that an attempt at a draining endpoint may start
// within the drain grace and not after it.
func TestNoAttemptsAfterDrainGrace(t *testing.T) {
	pool, endpoint := newTestPool("127.0.0.1:9")
	now := time.Now()
	draining := EndpointUpdate{ID: "s-0", Addr: endpoint.Addr(), State: policy.Draining}
	pool.UpdateEndpoint(draining, now)
	if !pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace/2)) {
		t.Error("no attempt is accepted within the drain grace")
	}
	if pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("an attempt is accepted after the drain grace")
	}
	pool.UpdateEndpoint(draining, now.Add(pool.drainGrace)) // a repeated report does not restart the drain grace
	if pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("a repeated report restarted the drain grace")
	}
	pool.UpdateEndpoint(EndpointUpdate{ID: "s-0", Addr: endpoint.Addr(), State: policy.Serving}, now)
	if !pool.AcceptsAttempts(endpoint, now.Add(pool.drainGrace)) {
		t.Error("no attempt is accepted at an endpoint that serves again")
	}
}

// TestRestartOrNewAddressEvictsIdle guards non-idempotent requests against connections to
// a process that no longer exists: when discovery reports a restart or a new address, idle
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
			t.Errorf("%s: no idle connection before the update", name)
		}
		pool.UpdateEndpoint(update, time.Now())
		if len(endpoint.idle) != 0 {
			t.Errorf("%s: the idle connection is still in the pool", name)
		}
	}
}
