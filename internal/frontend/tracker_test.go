package frontend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards against closing a connection on which part of the next request was read while one
// was in flight: it does not become idle, and stays open when the node drains.
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
			t.Errorf("draining %v: idle %v, closedLocally %v, busy %v; want false for all three", draining, c.idle, c.closedLocally, c.busy)
		}
	}
}

// Guards connections that have sent complete requests against clients that open many
// connections and send nothing or part of a request: the latter are evicted first.
func TestEvictionSparesConnsThatSentRequests(t *testing.T) {
	tracker := NewTracker(4, NewMemoryBudget(testMemory))
	addr := startServer(t, tracker)
	established := dial(t, addr)
	if status := established.get(); status != http.StatusOK {
		t.Fatalf("request before the other clients connect: status %d, want %d", status, http.StatusOK)
	}
	testsupport.Eventually(t, "the end of the established client's request", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for _, c := range tracker.conns {
			if c.hasSentRequest && !c.busy {
				c.idleSince = time.Now().Add(testsupport.MaxWait) // never the longest idle, however slow this machine
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
			t.Errorf("client %d (0: established, 1: fresh): status %d, want %d", i, status, http.StatusOK)
		}
	}
}
