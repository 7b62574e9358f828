package frontend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards a connection on which something of the next request was read while one was in
// flight: it is not idle afterwards, and is not closed for that when the node drains.
func TestConnWithBegunRequestIsNotIdle(t *testing.T) {
	for _, draining := range []bool{false, true} {
		here, there := net.Pipe()
		defer there.Close()
		tracker := NewTracker(1, NewMemoryBudget(testMemory))
		tracker.draining = draining
		c := newConn(here, tracker)
		c.nextBegun = true
		c.busy = true
		tracker.conns[c] = c
		tracker.ConnState(c, http.StateIdle)
		if c.idle || c.shut || c.busy {
			t.Errorf("draining %v: idle %v, shut %v, busy %v", draining, c.idle, c.shut, c.busy)
		}
	}
}

// Guards good clients against many that send nothing or half a request: those are evicted,
// not the connections on which whole requests came.
func TestEvictionSparesProvenConns(t *testing.T) {
	tracker := NewTracker(4, NewMemoryBudget(testMemory))
	addr := startServer(t, tracker)
	good := dial(t, addr)
	if status := good.get(); status != http.StatusOK {
		t.Fatalf("before the other clients: status %d", status)
	}
	testsupport.Eventually(t, "the end of its request", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for _, c := range tracker.conns {
			if c.proven && !c.busy {
				c.idleSince = time.Now().Add(testsupport.MaxWait) // it has only just become idle, however slow this machine
				return true
			}
		}
		return false
	})
	for i := range 12 {
		c := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(c, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-")
		}
	}
	fresh := dial(t, addr)
	for i, c := range []*client{good, fresh} {
		if status := c.get(); status != http.StatusOK {
			t.Errorf("connection %d: status %d", i, status)
		}
	}
}
