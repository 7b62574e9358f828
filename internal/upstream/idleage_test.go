package upstream

import (
	"testing"
	"time"
)

// TestStaleIdleAge guards against endpoints that drop idle connections without closing
// them: an idle age at which many connections break early counts as stale for a while,
// shorter idle ages do not.
func TestStaleIdleAge(t *testing.T) {
	var stats idleAgeStats
	stats.decayedAt = time.Now()
	young, old := 10*time.Millisecond, 300*time.Millisecond
	for i := range 20 {
		stats.record(young, i%10 == 0) // breaks with another cause
		stats.record(old, i%2 == 0)
	}
	if !stats.isStale(old) || stats.isStale(young) || stats.isStale(old/4) {
		t.Errorf("stale: old %v, young %v, between %v; want true, false, false", stats.isStale(old), stats.isStale(young), stats.isStale(old/4))
	}
	for range 3 {
		stats.decayedAt = time.Time{} // longer ago than decayInterval
		stats.record(young, false)
	}
	if stats.isStale(old) {
		t.Errorf("idle age %v is still stale after the counts were halved three times", old)
	}
}
