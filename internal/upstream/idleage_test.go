package upstream

import (
	"testing"
	"time"
)

// TestStaleIdleAge guards against servers that drop idle connections without closing
// them: an idle age at which most connections break early is avoided for a while,
// younger ones are not.
func TestStaleIdleAge(t *testing.T) {
	var stats idleAgeStats
	stats.decayedAt = time.Now()
	young, old := 10*time.Millisecond, 300*time.Millisecond
	for i := range 20 {
		stats.record(young, i%10 == 0) // breaks that have another cause
		stats.record(old, i%2 == 0)
	}
	if !stats.isStale(old) || stats.isStale(young) || stats.isStale(old/4) {
		t.Errorf("old %v, young %v, between %v", stats.isStale(old), stats.isStale(young), stats.isStale(old/4))
	}
	for range 3 {
		stats.decayedAt = time.Time{} // time passes
		stats.record(young, false)
	}
	if stats.isStale(old) {
		t.Error("an age is avoided for good")
	}
}
