package testclock

import (
	"fmt"
	"testing"
	"time"
)

// Guards the order in which functions run, on which every figure of a simulated fleet rests.
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
		t.Errorf("%v at %v, want %s", got, clock.Now, want)
	}
	got = nil
	clock.Run(5 * time.Second)
	if want := "[next run 3s]"; fmt.Sprint(got) != want || clock.Now != 7*time.Second {
		t.Errorf("%v at %v, want %s", got, clock.Now, want)
	}
}
