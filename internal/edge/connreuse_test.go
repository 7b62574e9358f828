package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/testsupport"
	"swiftpitch/internal/upstream"
)

// TestStaleConnectionIsNotReused checks that no request is written to a connection that the
// endpoint closed while it was idle. The write would end in a reset, after which a non-idempotent
// request can't be retried.
func TestStaleConnectionIsNotReused(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		testsupport.RespondOK(c, req, body)
		return false // closes the connection without a Connection: close header
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	for i := range 5 {
		resp, _ := c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i)))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d, want %d", i, resp.StatusCode, http.StatusOK)
		}
		testsupport.Eventually(t, "the close of the idle connection", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			idle := h.node.pool.Endpoint("s-0").IdleConns()
			return len(idle) == 0 || !idle[0].IsReusable()
		})
	}
}

// TestConnectionIsReused checks that a second request is written to the same connection to the
// endpoint as the first.
func TestConnectionIsReused(t *testing.T) {
	ports := make(chan string, 8)
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		ports <- c.RemoteAddr().String()
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	c.roundTrip(clientRequest("merge", "0000000000000001"))
	time.Sleep(2 * upstream.ReuseDelay)
	c.roundTrip(clientRequest("merge", "0000000000000002"))
	if a, b := <-ports, <-ports; a != b {
		t.Errorf("requests came on the connections %s and %s, want one connection", a, b)
	}
}

// duplicateResponse is a second response that an endpoint sends after a valid one. If the
// connection were reused, it would be taken for the response to the next request.
const duplicateResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

// TestLateDuplicateResponse checks that a client does not get a response to another request: a
// duplicate that an endpoint sends shortly after its response arrives before the connection is
// used again, and is detected. The test runs on synctest's clock, because on a loaded machine
// the duplicate or the next request may come after the reuse delay, which then has no effect.
func TestLateDuplicateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t)
		cfg.CachedList.Instances = []discovery.Instance{{ID: "s-0", HostPort: "endpoint:1", Zone: "a", Lifecycle: "SERVING", Weight: 1}}
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		var seen atomic.Int64
		var serving sync.WaitGroup
		n.dial = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe() // synctest's clock does not advance while a goroutine waits for a socket
			serving.Go(func() { serveLateDuplicate(there, &seen) })
			return here, nil
		}
		n.start()
		defer serving.Wait()
		defer n.close()
		for i := range 3 {
			if status, body := serveText(t, n, clientRequest("merge", fmt.Sprintf("%016x", i))); status != http.StatusOK || body != "hello" {
				t.Errorf("request %d: status %d, body %q, want %d, %q", i, status, body, http.StatusOK, "hello")
			}
		}
	})
}

// serveLateDuplicate answers the requests on one connection of an endpoint in a synctest bubble.
// It answers the first request on any connection a second time, a third of the reuse delay
// later. seen counts the requests on all connections.
func serveLateDuplicate(conn net.Conn, seen *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		io.WriteString(conn, testsupport.OKResponse)
		if seen.Add(1) == 1 {
			time.Sleep(upstream.ReuseDelay / 3)
			go io.WriteString(conn, duplicateResponse) // blocks until the node reads it or closes the pipe
			synctest.Wait()                            // the duplicate precedes all further responses
		}
	}
}

// serveText calls a node's handler with one request, without a listener.
func serveText(t *testing.T, n *Node, text string) (status int, body string) {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	n.ServeHTTP(recorder, req)
	return recorder.Code, recorder.Body.String()
}

// TestDuplicateResponseWhileIdle checks that a connection on which a duplicate response has
// arrived is not used again, even when it has been idle for longer than the reuse delay.
func TestDuplicateResponseWhileIdle(t *testing.T) {
	send := make(chan struct{})
	var seen atomic.Int64
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		testsupport.RespondOK(c, req, body)
		if seen.Add(1) == 1 {
			<-send
			io.WriteString(c, duplicateResponse)
		}
		return true
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	if resp, body := c.roundTrip(clientRequest("merge", "0000000000000000")); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Fatalf("request 0: status %d, body %q, want %d, %q", resp.StatusCode, body, http.StatusOK, "hello")
	}
	firstIdle := func(ok func(conn *upstream.Conn) bool) func() bool {
		return func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			idle := h.node.pool.Endpoint("s-0").IdleConns()
			return len(idle) == 1 && ok(idle[0])
		}
	}
	testsupport.Eventually(t, "one idle connection that is reusable", firstIdle((*upstream.Conn).IsReusable))
	close(send)
	testsupport.Eventually(t, "the arrival of the duplicate", firstIdle(func(conn *upstream.Conn) bool { return !conn.IsReusable() }))
	time.Sleep(upstream.ReuseDelay) // the delay alone no longer prevents the reuse
	for i := 1; i < 3; i++ {
		if resp, body := c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i))); resp.StatusCode != http.StatusOK || body != "hello" {
			t.Errorf("request %d: status %d, body %q, want %d, %q", i, resp.StatusCode, body, http.StatusOK, "hello")
		}
	}
}
