package frontend

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards against resetting connections that are in the kernel's backlog when the listener's
// deadline passes: they are still accepted.
func TestListenerDrainsBacklog(t *testing.T) {
	listener := testsupport.Listen(t)
	l := NewListener(listener, NewTracker(1, NewMemoryBudget(testMemory)), slog.New(slog.DiscardHandler))
	c, err := net.Dial("tcp", listener.Addr().String()) // returns once the connection is in the backlog
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	listener.SetDeadline(time.Unix(1, 0))
	got, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept with an empty backlog returned the error %v, want %v", err, net.ErrClosed)
	}
}
