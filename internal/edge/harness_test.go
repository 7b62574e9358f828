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
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/discovery"
	"swiftpitch/internal/frontend"
	"swiftpitch/internal/testsupport"
)

// testSettings is the settings object of the nodes in tests.
const testSettings = `{
 "classes": [
  {"name":"lookup","aim":2000000000,"deadline":4000000000,"effect":"repeatable","group":"all","value":2},
  {"name":"save","aim":2000000000,"deadline":4000000000,"effect":"by_key","group":"zone","value":3,"window":2000000000},
  {"name":"merge","aim":2000000000,"deadline":4000000000,"effect":"once","group":"all","value":2,"lateWorth":1}],
 "contract": {"coldFrom":0.3,"drainGrace":2000000000,"fallMultiple":2.5,"overloadFor":1500000000,"warmUp":15000000000},
 "familyInfo": {"counter":false,"countWait":30000000,"mostUnits":6},
 "limits": {"cancel":true,"dialTimeout":250000000,"idleClose":15000000000,"maxAttempts":5,"maxRetryAfter":1000000000,
  "retryAfter":true,"secondCopies":false},
 "localities": ["a","b"], "locality": 0, "membershipMode": "push", "nInstances": 2, "rank": 0,
 "report": {"via":"silent"},
 "tiersOfService": [{"name":"basic","refill":1000,"depth":1000,"worthFactor":1},{"name":"none","refill":0.001,"depth":0.001,"worthFactor":1}]}`

// harness runs an edge node on loopback sockets.
type harness struct {
	t    *testing.T
	node *Node
	addr string
	stop context.CancelFunc // begins the graceful shutdown
	done chan error         // receives the error with which the node ended
}

// testConfig returns the configuration of a node that knows no endpoints.
func testConfig(t *testing.T) Config {
	t.Helper()
	set, err := config.Decode([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return Config{ListenAddress: "127.0.0.1:0", Settings: set, Seed: 7, MaxDescriptors: 256}
}

// startNode runs an edge node that knows endpoints s-0, s-1, ... at addrs.
func startNode(t *testing.T, cfg Config, addrs ...string) *harness {
	t.Helper()
	return startNodeOn(t, cfg, testsupport.Listen(t), addrs...)
}

// startNodeOn is startNode on a given listener.
func startNodeOn(t *testing.T, cfg Config, listener frontend.DeadlineListener, addrs ...string) *harness {
	t.Helper()
	for i, addr := range addrs {
		cfg.CachedList.Instances = append(cfg.CachedList.Instances,
			discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Zone: "a", Lifecycle: "SERVING", Weight: 1})
	}
	node, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	node.phases.acceptDuration = 10 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	h := &harness{t: t, node: node, addr: listener.Addr().String(), stop: stop, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		h.done <- node.serve(ctx, listener)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		select {
		case <-ended:
		case <-time.After(testsupport.MaxWait):
			t.Errorf("the node has not stopped %v after the request to shut down", testsupport.MaxWait)
		}
	})
	h.awaitReady(len(addrs) == 0)
	return h
}

// awaitReady waits until the node answers a readiness check with 200, or with any status if
// anyStatus is set.
func (h *harness) awaitReady(anyStatus bool) {
	h.t.Helper()
	testsupport.Eventually(h.t, "readiness", func() bool {
		resp, err := http.Get("http://" + h.addr + readyPath)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK || anyStatus
	})
	http.DefaultClient.CloseIdleConnections()
}

// openRequests returns the number of the node's open requests.
func (h *harness) openRequests() int {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return len(h.node.requests)
}

// expectAborted calls the node's handler with a request of the class lookup from the connection
// in ctx, and checks that the handler panics with [http.ErrAbortHandler].
func (h *harness) expectAborted(ctx context.Context) {
	h.t.Helper()
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			h.t.Errorf("the handler panics with %v, want %v", p, http.ErrAbortHandler)
		}
	}()
	h.node.ServeHTTP(httptest.NewRecorder(), lookupRequest(ctx))
}

// lookupRequest returns a valid request of the class lookup from the connection in ctx.
func lookupRequest(ctx context.Context) *http.Request {
	req := httptest.NewRequest(http.MethodGet, "/lookup/x", nil).WithContext(ctx)
	req.Host = "x"
	req.Header = http.Header{"X-Trace-Id": {"00000000000000aa"}, "X-Qos": {"lookup"}, "Api-Plan": {"basic"},
		"Api-Customer": {"00000000b4d65521"}, "X-Expires-In-Ms": {"3000"}, "Api-Terms": {"units=2,spread=2,first=1"}}
	return req
}

// clientRequest returns the text of a valid request. edits are pairs of a part of the text and
// its replacement.
func clientRequest(class, id string, edits ...string) string {
	method, key, body := "GET", "", ""
	switch class {
	case "save":
		method, key, body = "POST", "Idempotency-Key: k-"+id+"\r\n", "0123456789"
	case "merge":
		method, body = "POST", "0123456789"
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := method + " /" + class + "/x?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + class +
		"\r\nApi-Plan: basic\r\nApi-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: 3000\r\n" + key + length +
		"Api-Terms: units=2,spread=2,first=1\r\n\r\n" + body
	return strings.NewReplacer(edits...).Replace(text)
}

// client is a client with one keep-alive connection to the node.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial opens a client's connection to the node.
func (h *harness) dial() *client {
	h.t.Helper()
	conn := testsupport.Dial(h.t, h.addr)
	return &client{t: h.t, Conn: conn, reader: bufio.NewReader(conn)}
}

// roundTrip sends the text of a request unchanged and reads one response.
func (c *client) roundTrip(text string) (*http.Response, string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c.readResponse()
}

// readResponse reads one response and returns its body as well.
func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}
