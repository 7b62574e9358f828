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
func TestConnWithPartialNextRequestIsNotIdle(t *testing.T) {
	for _, draining := range []bool{false, true} {
		serverConn, clientConn := net.Pipe()
		defer clientConn.Close()
		tracker := NewTracker(1, NewMemoryBudget(testMemory))
		tracker.draining = draining
		c := newConn(serverConn, tracker)
		c.nextRequestStarted = true
		c.busy = true
		tracker.conns[c] = c
		tracker.ConnState(c, http.StateIdle)
		if c.idle || c.closedLocally || c.busy {
			t.Errorf("draining %v: idle %v, shut %v, busy %v", draining, c.idle, c.closedLocally, c.busy)
		}
	}
}

// Guards good clients against many that send nothing or half a request: those are evicted,
// not the connections on which whole requests came.
func TestEvictionSparesConnsThatSentRequests(t *testing.T) {
	tracker := NewTracker(4, NewMemoryBudget(testMemory))
	addr := startServer(t, tracker)
	established := dial(t, addr)
	if status := established.get(); status != http.StatusOK {
		t.Fatalf("before the other clients: status %d", status)
	}
	testsupport.Eventually(t, "the end of its request", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for _, c := range tracker.conns {
			if c.hasSentRequest && !c.busy {
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
	for i, c := range []*client{established, fresh} {
		if status := c.get(); status != http.StatusOK {
			t.Errorf("connection %d: status %d", i, status)
		}
	}
}
