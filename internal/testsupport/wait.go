// Package testsupport holds what the tests of several packages share: bounded waits, loopback
// sockets, and a scripted HTTP server that takes the place of an endpoint. It is for tests only:
// nothing but test files imports it. Its functions fail the test that calls them, so they are
// called from that test's goroutine.
package testsupport

import (
	"testing"
	"time"
)

// MaxWait bounds every wait of a test. No test needs nearly as long, also on a loaded machine.
const MaxWait = 20 * time.Second

// pollInterval is the pause between two checks of a condition.
const pollInterval = time.Millisecond

// Eventually waits until a condition holds. The test ends if it does not hold within [MaxWait];
// what names the condition in the message.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(MaxWait); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, MaxWait)
		}
	}
}

// Receive returns the next value of a channel, or the zero value if the channel is closed. The
// test ends if neither comes within [MaxWait]; what names the value in the message.
func Receive[T any](t *testing.T, what string, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(MaxWait):
		t.Fatalf("%s: not within %v", what, MaxWait)
	}
	return value
}
