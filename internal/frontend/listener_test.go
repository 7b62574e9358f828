package frontend

import (
	"errors"
	"net"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards the connections that wait at the listener when it ends: they are accepted.
func TestListenerDrainsBacklog(t *testing.T) {
	listener := testsupport.Listen(t)
	l := NewListener(listener, NewTracker(1, NewMemoryBudget(testMemory)))
	c, err := net.Dial("tcp", listener.Addr().String()) // the kernel accepts it
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
		t.Errorf("after that: %v", err)
	}
}
