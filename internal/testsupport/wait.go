// Package testsupport holds helpers that the tests of several packages share: waits with a
// timeout, loopback sockets, and a fake HTTP server. Only test files may import it. Functions that
// take a [testing.T] may end the test, so they must be called from the goroutine of the test.
package testsupport

import (
	"testing"
	"time"
)

// MaxWait limits every wait of a test. No test needs nearly as long, even on a loaded machine.
const MaxWait = 20 * time.Second

// pollInterval is the pause between two checks of a condition.
const pollInterval = time.Millisecond

// Eventually waits until condition returns true. The test fails at once if that takes longer than
// [MaxWait]; what describes the condition in the failure message.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(MaxWait); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("waiting for %s: timed out after %v", what, MaxWait)
		}
	}
}

// Receive returns the next value of a channel, or the zero value if the channel is closed. The
// test fails at once if neither happens within [MaxWait]; what describes the value in the failure
// message.
func Receive[T any](t *testing.T, what string, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(MaxWait):
		t.Fatalf("waiting for %s: timed out after %v", what, MaxWait)
	}
	return value
}
