package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// TestNoReuseBeforeReuseDelay guards against taking a duplicate response to one request
// for the response to the next: a connection is not reused after only some milliseconds.
// The fake server sends a duplicate response to the first request just when the next request
// arrives on that connection, where the duplicate would be read first.
func TestNoReuseBeforeReuseDelay(t *testing.T) {
	addr := testsupport.StartFakeServer(t, func(conn net.Conn, req *http.Request, body []byte) bool {
		if req.URL.Path == "/second" {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		}
		return testsupport.RespondOK(conn, req, body)
	}).Addr
	pool, endpoint := newTestPool(addr)
	conn := NewConn(testsupport.Dial(t, addr), endpoint, endpoint.Process())
	if body := string(conn.Exchange(getRequest("/first"), reserveAll).Body); body != "hello" {
		t.Fatalf("first response: body %q, want %q", body, "hello")
	}
	pool.Release(conn)
	// Duplicate responses were seen to arrive up to 6 ms after the first; the network may double that.
	if early := pool.Acquire(endpoint, conn.idleSince.Add(12*time.Millisecond)); early != nil {
		t.Errorf("the connection is reused after 12 ms, and the response's body is %q", early.Exchange(getRequest("/second"), reserveAll).Body)
	}
	if pool.Acquire(endpoint, conn.idleSince.Add(ReuseDelay)) != conn {
		t.Error("the connection is not reused after ReuseDelay")
	}
}

// TestDuplicateHeldBackBySystemIsDetected guards against taking a duplicate response for the
// response to the next request although it was written at once: the system of an endpoint without
// TCP_NODELAY holds the duplicate back until the response before is acknowledged. It must arrive
// while the connection is idle, so that the connection is not reused.
func TestDuplicateHeldBackBySystemIsDetected(t *testing.T) {
	// After some exchanges in quick succession the kernel delays acknowledgments.
	const exchangesBefore = 32
	duplicated := make(chan struct{})
	addr := testsupport.StartFakeServer(t, func(conn net.Conn, req *http.Request, body []byte) bool {
		conn.(*net.TCPConn).SetNoDelay(false)
		testsupport.RespondOK(conn, req, body)
		if req.URL.Path == "/duplicate" {
			testsupport.RespondOK(conn, req, body)
			close(duplicated)
		}
		return true
	}).Addr
	pool, endpoint := newTestPool(addr)
	conn := NewConn(testsupport.Dial(t, addr), endpoint, endpoint.Process())
	for range exchangesBefore {
		if response := conn.Exchange(getRequest("/"), reserveAll); !response.Reusable {
			t.Fatalf("response %+v, want a reusable connection", response)
		}
	}
	conn.Exchange(getRequest("/duplicate"), reserveAll)
	testsupport.Receive(t, "the duplicate response to be written", duplicated)
	pool.Release(conn)
	time.Sleep(time.Until(conn.IdleSince().Add(ReuseDelay)))
	if pool.Acquire(endpoint, time.Now()) != nil {
		t.Error("the connection is reused, though a duplicate response was written to it before it became idle")
	}
}
