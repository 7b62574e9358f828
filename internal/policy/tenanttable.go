package policy

const (
	// crowdedIdleIntervals replaces maxIdleIntervals while the table is crowded.
	crowdedIdleIntervals = 1
	// crowdedShare is the share of the limit on tenants from which the table is crowded.
	crowdedShare = 0.5
	// evictionChecks is the number of tenants without an interval timer that are checked for
	// eviction for each new tenant: more than one, so that the table shrinks.
	evictionChecks = 2
)

// tenantTable holds the tenants whose state this gateway keeps. Their number is limited, so that
// requests of ever new tenants can't use up the memory. No state is dropped that still counts:
// a tenant whose state was forgotten could spend its quota and its hard limit again.
type tenantTable struct {
	byKey   map[uint64]*tenantState
	limit   int            // 0: no limit
	untimed []*tenantState // those without an interval timer, the next one to check first
}

func newTenantTable(limit int) tenantTable {
	return tenantTable{byKey: map[uint64]*tenantState{}, limit: limit}
}

// full reports whether there is no room for another tenant.
func (s *tenantTable) full() bool { return s.limit > 0 && len(s.byKey) >= s.limit }

// crowded reports whether there are so many tenants that the states of idle ones are dropped early.
func (s *tenantTable) crowded() bool {
	return s.limit > 0 && float64(len(s.byKey)) >= crowdedShare*float64(s.limit)
}

// canEvict reports whether a tenant's state can be dropped. While the table is not crowded, the
// demand of tenants without a hard limit is kept.
func (s *tenantTable) canEvict(t *tenantState) bool {
	if s.crowded() {
		return t.isIdle(crowdedIdleIntervals) && (t.plan.HardLimitRate == 0 || t.hardLimit.full(t.usesSharedBucket()))
	}
	return t.isIdle(maxIdleIntervals) && t.hardLimit.full(t.usesSharedBucket())
}

// add adds a tenant. The caller must have checked that the table is not full.
func (s *tenantTable) add(t *tenantState, timed bool) {
	s.byKey[t.key] = t
	if !timed {
		s.untimed = append(s.untimed, t)
	}
}

// remove drops a tenant's state.
func (s *tenantTable) remove(t *tenantState) { delete(s.byKey, t.key) }

// evictUntimed drops idle tenants among the next ones without an interval timer, if the table is
// crowded.
func (s *tenantTable) evictUntimed(now Time) {
	if !s.crowded() {
		return
	}
	for range min(evictionChecks, len(s.untimed)) {
		t := s.untimed[0]
		s.untimed = s.untimed[1:]
		t.refill(now)
		t.intervalsSinceRequest = int((now - t.lastRequestAt) / t.interval)
		if s.canEvict(t) {
			s.remove(t)
		} else {
			s.untimed = append(s.untimed, t)
		}
	}
}
