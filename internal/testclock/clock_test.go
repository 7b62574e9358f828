package testclock

import (
	"fmt"
	"testing"
	"time"
)

// Guards the order in which functions run: by due time, then in the order of the calls of After.
// The results of every simulated fleet depend on it.
func TestFunctionsRunInOrderOfDueTime(t *testing.T) {
	var clock Clock
	var got []string
	record := func(name string) func() {
		return func() { got = append(got, fmt.Sprint(name, clock.Now)) }
	}
	clock.After(2*time.Second, record("late "))
	clock.After(time.Second, func() {
		record("first ")()
		clock.After(0, record("added "))
		clock.After(2*time.Second, record("next run "))
	})
	clock.After(time.Second, record("second "))
	clock.Run(2 * time.Second)
	if want := "[first 1s second 1s added 1s late 2s]"; fmt.Sprint(got) != want || clock.Now != 2*time.Second {
		t.Errorf("ran %v by %v, want %s by 2s", got, clock.Now, want)
	}
	got = nil
	clock.Run(5 * time.Second)
	if want := "[next run 3s]"; fmt.Sprint(got) != want || clock.Now != 7*time.Second {
		t.Errorf("ran %v by %v, want %s by 7s", got, clock.Now, want)
	}
}
