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

// TestStaleConnectionIsNotReused guards non-idempotent requests against stale connections: one that
// the endpoint has closed while idle is not written to, which would end as a reset.
func TestStaleConnectionIsNotReused(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		testsupport.RespondOK(c, req, body)
		return false // closes the connection without announcing it
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	for i := range 5 {
		resp, _ := c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i)))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d", i, resp.StatusCode)
		}
		testsupport.Eventually(t, "the close of the idle connection", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			idle := h.node.pool.Endpoint("s-0").IdleConns()
			return len(idle) == 0 || !idle[0].IsReusable()
		})
	}
}

// TestConnectionIsReused checks that connections to endpoints are kept alive and used again
// rather than opened for each attempt.
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
		t.Errorf("connections %s and %s", a, b)
	}
}

// duplicateResponse is what an endpoint sends behind a good response. A client that gets it
// would take it for the response to its own request.
const duplicateResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

// TestLateDuplicateResponse guards against a response made for another request: what an
// endpoint sends a little behind a good response comes before the connection is used
// again. The clock is synctest's: by that of a loaded machine the duplicate, or the next
// request, may come after the reuse delay, which promises nothing then.
func TestLateDuplicateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t)
		cfg.KnownEndpoints.Instances = []discovery.Instance{{ID: "s-0", HostPort: "endpoint:1", Zone: "a", Lifecycle: "SERVING", Weight: 1}}
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		var seen atomic.Int64
		var serving sync.WaitGroup
		n.dial = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe() // synctest's clock does not wait for sockets
			serving.Go(func() { serveLateDuplicate(there, &seen) })
			return here, nil
		}
		n.start()
		defer serving.Wait()
		defer n.close()
		for i := range 3 {
			if status, body := serveText(t, n, clientRequest("merge", fmt.Sprintf("%016x", i))); status != http.StatusOK || body != "hello" {
				t.Errorf("request %d: status %d, body %q", i, status, body)
			}
		}
	})
}

// serveLateDuplicate answers the requests on one connection to an endpoint in a synctest
// bubble. The first that is seen on any connection is answered a second time, a third of
// the reuse delay later.
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
			go io.WriteString(conn, duplicateResponse) // blocks until the other side reads it or closes
			synctest.Wait()                            // it is ahead of all further responses
		}
	}
}

// serveText has a node serve the text of one request without a listener.
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

// TestDuplicateResponseWhileIdle guards against a response made for another request: a
// connection on which a duplicate has arrived is not used again, however long it was idle.
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
		t.Fatalf("request 0: status %d, body %q", resp.StatusCode, body)
	}
	firstIdle := func(ok func(conn *upstream.Conn) bool) func() bool {
		return func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			idle := h.node.pool.Endpoint("s-0").IdleConns()
			return len(idle) == 1 && ok(idle[0])
		}
	}
	testsupport.Eventually(t, "the idle connection", firstIdle((*upstream.Conn).IsReusable))
	close(send)
	testsupport.Eventually(t, "the duplicate", firstIdle(func(conn *upstream.Conn) bool { return !conn.IsReusable() }))
	time.Sleep(upstream.ReuseDelay) // the delay alone would now allow the connection
	for i := 1; i < 3; i++ {
		if resp, body := c.roundTrip(clientRequest("merge", fmt.Sprintf("%016x", i))); resp.StatusCode != http.StatusOK || body != "hello" {
			t.Errorf("request %d: status %d, body %q", i, resp.StatusCode, body)
		}
	}
}
