package policy_test

import (
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// manyTenants is the limit on tenants in these tests.
const manyTenants = 100

// newTenantHarness returns a harness with a limit on tenants, with or without a counter.
func newTenantHarness(t *testing.T, counter bool) *harness {
	t.Helper()
	settings := testSettings()
	settings.CounterEnabled = counter
	settings.MaxTenants = manyTenants
	return newHarness(t, settings, 6)
}

// Guards against a limit on tenants that keeps new ones out for good: the states of idle tenants
// are dropped, so that ever new tenants are admitted as long as few are active at a time.
func TestNewTenantsAreAdmittedWhileFewAreActive(t *testing.T) {
	for name, counter := range map[string]bool{"with a counter": true, "without a counter": false} {
		h := newTenantHarness(t, counter)
		const tenants = 20 * manyTenants
		admitted := 0
		for tenant := range uint64(tenants) {
			admitted += h.countAdmitted(1, 1, 1000+tenant)
			h.advance(100*ms, fakeCounter{}.add)
		}
		if admitted != tenants {
			t.Errorf("%s: %d requests of new tenants admitted, want all %d", name, admitted, tenants)
		}
	}
}

// Guards the memory against requests of very many new tenants: those beyond the limit are rejected,
// while the known ones are served.
func TestTenantsBeyondLimitAreRejected(t *testing.T) {
	for name, counter := range map[string]bool{"with a counter": true, "without a counter": false} {
		h := newTenantHarness(t, counter)
		admitted := 0
		for tenant := range uint64(10 * manyTenants) {
			admitted += h.countAdmitted(1, 1, 1000+tenant)
		}
		if admitted != manyTenants {
			t.Errorf("%s: requests of %d new tenants admitted, want %d", name, admitted, manyTenants)
		}
		_, actions := h.receive(0, 1, 1, 1)
		if !hasAction[policy.Reject](actions) {
			t.Errorf("%s: a request of a further tenant is answered with %v, want a rejection", name, actions)
		}
		if admitted := h.countAdmitted(1, 1, 1000); admitted != 1 {
			t.Errorf("%s: a request of a known tenant was rejected", name)
		}
	}
}

// Guards the hard limit against requests of very many new tenants: the state of a tenant that has
// used up its share is not forgotten.
func TestHardLimitHoldsUnderManyTenants(t *testing.T) {
	for name, counter := range map[string]bool{"with a counter": true, "without a counter": false} {
		h := newTenantHarness(t, counter)
		h.advance(time.Minute, fakeCounter{}.add)
		units, next := 0, uint64(1000)
		const rounds = 100
		for range rounds { // 10 s
			units += h.countAdmitted(3, 2, 9)
			for range manyTenants {
				h.countAdmitted(1, 1, next)
				next++
			}
			h.advance(100*ms, fakeCounter{}.add)
		}
		// The share of one of three gateways over 10 s: a third of burst and tolerance, and of the rate.
		if most := 5 + 2*10; units > most || units == 0 {
			t.Errorf("%s: %d units admitted, want some and at most this gateway's share of %d", name, units, most)
		}
	}
}
