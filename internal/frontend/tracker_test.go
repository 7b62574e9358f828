package frontend

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/socket"
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
		c.scanner.scan([]byte("G"))
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

// Guards against closing a kept connection in the middle of a request: while its next request
// arrives in pieces, idle clients that fill the limit evict each other, however long ago it
// got its last answer.
func TestEvictionSparesRequestInPieces(t *testing.T) {
	tracker := NewTracker(2, NewMemoryBudget(testMemory))
	addr := startServer(t, tracker)
	kept := dial(t, addr)
	kept.get()
	const request = "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"
	half := len(request) / 2
	io.WriteString(kept, request[:half])
	testsupport.Eventually(t, "the first half of the request", func() bool { return tracker.Stats().Receiving == 1 })
	tracker.mu.Lock()
	for _, c := range tracker.conns {
		c.idleSince = time.Now().Add(-time.Hour)
	}
	tracker.mu.Unlock()
	for range 8 {
		dial(t, addr)
	}
	if status := dial(t, addr).get(); status != http.StatusOK {
		t.Errorf("new client after the idle ones: status %d, want %d", status, http.StatusOK)
	}
	if status := kept.send(request[half:]); status != http.StatusOK {
		t.Errorf("request in two pieces: status %d, want %d", status, http.StatusOK)
	}
}

// Guards against resetting a kept connection on which a request has arrived that is not read
// yet: another connection is evicted, even if it has been idle for a shorter time.
func TestEvictionSparesUnreadRequest(t *testing.T) {
	tracker := NewTracker(2, NewMemoryBudget(testMemory))
	listener := NewListener(testsupport.Listen(t), tracker, slog.New(slog.DiscardHandler))
	client, conn := connect(t, listener)
	_, idle := connect(t, listener)
	_, incoming := connect(t, listener)
	for i, c := range []*Conn{conn, idle} {
		c.hasSentRequest = true
		c.idle = true
		c.idleSince = time.Now().Add(time.Duration(i-2) * time.Hour)
		tracker.conns[c] = c
	}
	io.WriteString(client, "G")
	testsupport.Eventually(t, "the first byte", func() bool { return socket.Peek(conn.Conn) == socket.Readable })
	tracker.ConnContext(context.Background(), incoming)
	if conn.closedLocally || !idle.closedLocally {
		t.Errorf("closed: %v the connection with an unread request, %v the idle one; want false, true", conn.closedLocally, idle.closedLocally)
	}
}

// Guards against dropping a request that was read completely but is not accepted yet when its
// connection is evicted. The connection ends after the answer, because the limit is exceeded.
func TestEvictionSparesCompleteRequest(t *testing.T) {
	tracker := NewTracker(1, NewMemoryBudget(testMemory))
	started, release := make(chan struct{}, 1), make(chan struct{})
	addr := startServerWith(t, tracker, func(w http.ResponseWriter, req *http.Request) {
		started <- struct{}{}
		<-release
		answerHello(w, req)
	})
	evicted := dial(t, addr)
	io.WriteString(evicted, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n")
	testsupport.Receive(t, "the request", started)
	fresh := dial(t, addr)
	testsupport.Eventually(t, "the second connection", func() bool { return tracker.Stats().Open == 2 })
	close(release)
	if status := evicted.readStatus(); status != http.StatusOK {
		t.Errorf("request on the evicted connection: status %d, want %d", status, http.StatusOK)
	}
	if _, err := evicted.reader.ReadByte(); err != io.EOF {
		t.Errorf("evicted connection after the answer: read error %v, want %v", err, io.EOF)
	}
	if status := fresh.get(); status != http.StatusOK {
		t.Errorf("request on the new connection: status %d, want %d", status, http.StatusOK)
	}
}

// Guards against cutting off all partly received first requests at once: no more than
// maxEvicting of them end at a time, and then new connections are closed.
func TestEvictionIsBounded(t *testing.T) {
	tracker := NewTracker(2*maxEvicting, NewMemoryBudget(testMemory))
	listener := NewListener(testsupport.Listen(t), tracker, slog.New(slog.DiscardHandler))
	for range 2 * maxEvicting {
		_, c := connect(t, listener)
		c.requestStarted = true
		tracker.ConnContext(context.Background(), c)
	}
	for i := range maxEvicting + 1 {
		_, incoming := connect(t, listener)
		incoming.requestStarted = true
		tracker.ConnContext(context.Background(), incoming)
		if want := i == maxEvicting; incoming.closedLocally != want {
			t.Errorf("new connection %d: closed %v, want %v", i, incoming.closedLocally, want)
		}
	}
	if open := tracker.Stats().Open; open != 3*maxEvicting {
		t.Errorf("%d open connections, want %d", open, 3*maxEvicting)
	}
}
