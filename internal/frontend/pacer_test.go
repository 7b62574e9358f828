package frontend

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a client that takes all processor time with requests at full speed: beyond the
// free ones, the requests of all connections together are read at the shared rate.
func TestPacerLimitsRequestsOfFastConnections(t *testing.T) {
	const cores = 0.5
	pacer := newRequestPacer(cores)
	start := time.Unix(1, 0)
	const duration = 10 * time.Second
	var allowance requestAllowance
	free := 0
	for allowance.withdraw(start) {
		free++
	}
	if free != freeRequestBurst {
		t.Errorf("%d requests are free at once, want %v", free, freeRequestBurst)
	}
	now, requests := start, 0
	for now.Before(start.Add(duration)) {
		now = now.Add(pacer.delay(now))
		requests++
	}
	want, atOnce := int(cores*sharedRequestRate*duration.Seconds()), int(cores*sharedRequestRate*minPause.Seconds())
	if requests < want || requests > want+atOnce+1 {
		t.Errorf("%d requests beyond the free ones in %v, want %d and at most %d at once", requests, duration, want, atOnce+1)
	}
}

// Guards that the requests on a connection beyond the free ones take slots of the shared rate, and
// that all of them are answered.
func TestFastConnectionTakesSlotsOfSharedRate(t *testing.T) {
	tracker := NewTracker(4, NewMemoryBudget(testMemory))
	tracker.pacer.interval = time.Minute
	c := dial(t, startServer(t, tracker))
	startedAt := time.Now()
	requests := 0
	for nextSlot := (time.Time{}); nextSlot.IsZero(); requests++ {
		if status := c.get(); status != http.StatusOK {
			t.Fatalf("request %d: status %d, want %d", requests, status, http.StatusOK)
		}
		tracker.pacer.mu.Lock()
		nextSlot = tracker.pacer.nextSlot
		tracker.pacer.mu.Unlock()
	}
	if elapsed := time.Since(startedAt).Seconds(); float64(requests) < freeRequestBurst || float64(requests) > freeRequestBurst+2+freeRequestRate*elapsed {
		t.Errorf("the shared rate was first used after %d requests in %.3f s, want %v and %v a second", requests, elapsed, freeRequestBurst, freeRequestRate)
	}
}

// Guards that connections with the usual number of requests are never delayed.
func TestPacerLeavesUsualConnectionsAlone(t *testing.T) {
	var allowance requestAllowance
	now := time.Unix(1, 0)
	for i := range 1000 {
		now = now.Add(time.Second / freeRequestRate)
		if !allowance.withdraw(now) {
			t.Fatalf("request %d at the free rate needs a slot of the shared rate", i)
		}
	}
}
