package frontend

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"swiftpitch/internal/socket"
	"swiftpitch/internal/testsupport"
)

// textConn is a connection whose reads always return text, even once it is closed.
type textConn struct {
	net.Conn
	text string
}

func (c textConn) Read(b []byte) (int, error) { return copy(b, c.text), nil }

// Guards against serving part of a request from a connection that the node has closed: data
// that arrives after the close is discarded.
func TestLocallyClosedConnReadsEOF(t *testing.T) {
	c := newConn(textConn{text: "GET / HTTP/1.1\r\n"}, NewTracker(1, NewMemoryBudget(testMemory)))
	c.closedLocally = true
	if n, err := c.Read(make([]byte, 10)); n != 0 || err != io.EOF {
		t.Errorf("Read on a locally closed connection returned %d bytes, error %v; want 0, %v", n, err, io.EOF)
	}
}

// newReceivingConn adds a connection to a tracker on which part of the first request was read, and
// returns both ends.
func newReceivingConn(t *testing.T, tracker *Tracker) (c *Conn, client net.Conn) {
	t.Helper()
	serverConn, client := net.Pipe()
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testsupport.MaxWait))
	c = newConn(serverConn, tracker)
	c.idleSince = time.Now()
	c.requestStarted = true
	tracker.conns[c] = c
	return c, client
}

// readResult is the result of a read of one byte.
type readResult struct {
	count int
	err   error
}

// startDisconnectCheck starts the read of one byte by which net/http detects, once it has read
// a complete request, that the client disconnects.
func startDisconnectCheck(c *Conn) <-chan readResult {
	results := make(chan readResult, 1)
	go func() {
		count, err := c.Read(make([]byte, 1))
		results <- readResult{count, err}
	}()
	return results
}

// Guards against taking a deadline of the tracker for a disconnect of the client, which would
// drop a complete request without an answer. A deadline of net/http still ends the read.
func TestDisconnectCheckOutlastsTrackerDeadlines(t *testing.T) {
	for name, setDeadline := range map[string]func(*Tracker){
		"eviction": func(tracker *Tracker) {
			tracker.mu.Lock()
			defer tracker.mu.Unlock()
			tracker.evictFor(&Conn{idleSince: time.Now()})
		},
		"end of draining": func(tracker *Tracker) { tracker.setFinalReadDeadline(time.Now()) },
	} {
		tracker := NewTracker(1, NewMemoryBudget(testMemory))
		c, clientConn := newReceivingConn(t, tracker)
		results := startDisconnectCheck(c)
		setDeadline(tracker)
		io.WriteString(clientConn, "x")
		if got := testsupport.Receive(t, "the client's byte", results); got.count != 1 || got.err != nil {
			t.Errorf("%s: the read returned %d bytes, error %v; want the client's byte", name, got.count, got.err)
		}
		results = startDisconnectCheck(c)
		setDeadline(tracker)
		c.SetReadDeadline(time.Unix(1, 0))
		if got := testsupport.Receive(t, "the end of the read", results); !errors.Is(got.err, os.ErrDeadlineExceeded) {
			t.Errorf("%s, then a deadline of net/http: error %v, want %v", name, got.err, os.ErrDeadlineExceeded)
		}
	}
}

// Guards slow clients while the node drains: once a request's head is complete, the deadline that
// net/http sets for its body replaces the one at which reading ends. An eviction stays in force.
func TestServerDeadlineReplacesEndOfDraining(t *testing.T) {
	tracker := NewTracker(1, NewMemoryBudget(testMemory))
	c, clientConn := newReceivingConn(t, tracker)
	tracker.setFinalReadDeadline(time.Now())
	c.SetReadDeadline(time.Now().Add(testsupport.MaxWait))
	go io.WriteString(clientConn, "xx")
	if count, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		t.Errorf("draining: read %d bytes, error %v; want 2 bytes", count, err)
	}
	tracker.mu.Lock()
	tracker.evictFor(&Conn{idleSince: time.Now()})
	tracker.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(testsupport.MaxWait))
	if _, err := c.Read(make([]byte, 2)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("evicted: read error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// Guards against taking a connection for idle in the middle of a request: the first byte of the
// next request may be read before the request in flight is accepted.
func TestByteReadBeforeAcceptStartsNextRequest(t *testing.T) {
	tracker := NewTracker(1, NewMemoryBudget(testMemory))
	c, clientConn := newReceivingConn(t, tracker)
	results := startDisconnectCheck(c)
	io.WriteString(clientConn, "G")
	testsupport.Receive(t, "the first byte of the next request", results)
	if !c.AcceptRequest() {
		t.Fatal("the request is not accepted")
	}
	tracker.ConnState(c, http.StateIdle)
	if stats := tracker.Stats(); stats.Idle != 0 || stats.Receiving != 1 {
		t.Errorf("after the answer: %d idle, %d receiving; want 0, 1", stats.Idle, stats.Receiving)
	}
}

// Guards against clients that stop after the first bytes of a further request and stay: the time for
// reading it ends as for any request, though net/http still waits for as long as for an idle client.
func TestFirstBytesOfFurtherRequestLimitReadTime(t *testing.T) {
	for name, whileInFlight := range map[string]bool{"after the answer": false, "before the answer": true} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(1, NewMemoryBudget(testMemory))
			started, answer := make(chan struct{}, 1), make(chan struct{})
			addr := startServerWith(t, tracker, func(w http.ResponseWriter, req *http.Request) {
				answerHello(w, req)
				started <- struct{}{}
				<-answer
			})
			c := dial(t, addr)
			io.WriteString(c, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n")
			testsupport.Receive(t, "the request", started)
			if whileInFlight {
				io.WriteString(c, "GE")
				testsupport.Eventually(t, "the first bytes", func() bool { return tracker.Stats().ReadAhead == 1 })
			}
			close(answer)
			c.readStatus()
			if !whileInFlight {
				testsupport.Eventually(t, "the end of the request", func() bool { return tracker.Stats().Idle == 1 })
				io.WriteString(c, "GE")
			}
			var remaining time.Duration
			testsupport.Eventually(t, "a deadline for the started request", func() bool {
				tracker.mu.Lock()
				defer tracker.mu.Unlock()
				for _, conn := range tracker.conns {
					remaining = time.Until(conn.serverDeadline)
					return conn.requestStarted && !conn.busy && !conn.serverDeadline.IsZero()
				}
				return false
			})
			if remaining > ReadTimeout {
				t.Errorf("the deadline is in %v, want %v at most", remaining, ReadTimeout)
			}
		})
	}
}

// Guards a further request that has arrived while the node drains and that nobody has read yet: the
// answer before it must not close the connection over it.
func TestAnswerDoesNotCloseConnectionOverUnreadRequest(t *testing.T) {
	tracker := NewTracker(1, NewMemoryBudget(testMemory))
	listener := NewListener(testsupport.Listen(t), tracker, slog.New(slog.DiscardHandler))
	clientConn, c := connect(t, listener)
	tracker.startDraining()
	if !c.BeginAnswer() {
		t.Error("without a further request, the connection stays open after the answer")
	}
	io.WriteString(clientConn, "G")
	testsupport.Eventually(t, "the first byte", func() bool { return socket.Peek(c.Conn) == socket.Readable })
	if c.BeginAnswer() {
		t.Error("with an unread byte of a further request, the connection closes after the answer")
	}
}
