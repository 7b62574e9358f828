package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// Guards the requests that are open when the process is about to be killed: they get a whole
// final answer, and the node ends by itself with nothing left open.
func TestPendingRequestsAreAnsweredBeforeKill(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return true }) // never answers
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.node.phases.answerTimeout = 50 * time.Millisecond // long before the request's own time is up
	h.node.phases.writeDuration = testsupport.MaxWait
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	h.stop()
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
		t.Errorf("status %d, closing %v", resp.StatusCode, resp.Close)
	}
	if err := <-h.done; err != nil {
		t.Errorf("the node ends with %v", err)
	}
	late := &request{id: "late"}
	h.node.receive(late, receivedEvent(late.id))
	if a := <-late.answer; a.status != statusRejected {
		t.Errorf("a request that comes later is answered %d", a.status)
	}
}

// Guards the time that open requests have: for each deadline it ends before SIGKILL may
// come, and where the deadline is short a request received last has all of its own time.
func TestShutdownPhases(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 1100 * time.Millisecond, 2500 * time.Millisecond,
		4 * time.Second, 30 * time.Second} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if got := newShutdownPhases(longest).answerTimeout; got >= kill || got < kill-150*time.Millisecond {
			t.Errorf("deadline %v: drained for %v, killed after %v", longest, got, kill)
		}
		if last := acceptDuration + longest; longest <= 3*time.Second && newShutdownPhases(longest).answerTimeout < last {
			t.Errorf("deadline %v: drained for %v, requests received by then may run until %v", longest, newShutdownPhases(longest).answerTimeout, last)
		}
	}
}

// Guards a request that comes in two parts with the end of the listener between them:
// it is read to its end and served.
func TestShutdownReadsPartialRequests(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
	text := clientRequest("merge", "00000000000000aa")
	silent, half, body := h.dial(), h.dial(), h.dial() // nothing, half a head and half a body before the stop
	io.WriteString(half, text[:40])
	io.WriteString(body, text[:len(text)-5])
	testsupport.Eventually(t, "the connections", func() bool { return h.node.clients.Stats().Open >= 3 })
	h.stop()
	testsupport.Eventually(t, "the end of the listener", func() bool {
		c, err := net.Dial("tcp", h.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	io.WriteString(silent, clientRequest("lookup", "00000000000000bb"))
	io.WriteString(half, clientRequest("merge", "00000000000000cc")[40:])
	io.WriteString(body, text[len(text)-5:])
	for i, c := range []*client{silent, half, body} {
		if resp, got := c.readResponse(); resp.StatusCode != http.StatusOK || got != "hello" || !resp.Close {
			t.Errorf("connection %d: status %d, body %q, closing %v", i, resp.StatusCode, got, resp.Close)
		}
	}
}

// Guards a request of which the first byte has been read on a kept connection when the
// shutdown begins: the connection is not idle any more, and the request is served.
func TestShutdownServesStartedRequest(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
	c := h.dial()
	c.roundTrip(clientRequest("lookup", "00000000000000aa"))
	idle := func() int { return h.node.clients.Stats().Idle }
	testsupport.Eventually(t, "the idle connection", func() bool { return idle() == 1 })
	text := clientRequest("lookup", "00000000000000bb")
	io.WriteString(c, text[:1])
	testsupport.Eventually(t, "the first byte", func() bool { return idle() == 0 })
	h.stop()
	testsupport.Eventually(t, "the drain", h.node.clients.Draining)
	if resp, _ := c.roundTrip(text[1:]); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, closing %v", resp.StatusCode, resp.Close)
	}
}

// Guards against half a request when this side closes a connection that carries one: what was
// read before the close is dropped. That nothing more is read is tested in internal/frontend.
func TestEvictionDropsRequest(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	tracker := frontend.NewTracker(1, frontend.NewMemoryBudget(0))
	listener := frontend.NewListener(testsupport.Listen(t), tracker)
	client, conn := connect(t, listener)
	ctx := tracker.ConnContext(context.Background(), conn)
	text := clientRequest("merge", "00000000000000aa")
	io.WriteString(client, text)
	if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil { // the library has read it
		t.Fatal(err)
	}
	_, second := connect(t, listener)
	tracker.ConnContext(context.Background(), second) // evicts conn, which is not yet busy
	h.expectAborted(ctx)
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// receivedEvent is the event of a usual request.
func receivedEvent(id string) policy.RequestReceived {
	return policy.RequestReceived{RequestID: id, Timeout: time.Second, Units: 1, TenantGateways: 1}
}

// Guards a graceful shutdown: at first new connections are still served, with an announced
// close, requests in flight are finished, an idle connection is closed, and then the node
// ends with no error.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		if req.Header.Get("X-Trace-Id") == "00000000000000aa" {
			<-release
		}
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.node.phases.acceptDuration = testsupport.MaxWait / 10
	idle, busy := h.dial(), h.dial()
	idle.roundTrip(clientRequest("lookup", "00000000000000bb"))
	io.WriteString(busy, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the open request", func() bool { return len(endpoint.Requests()) == 2 })
	h.stop()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000cc")); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("new connection: status %d, closing %v", resp.StatusCode, resp.Close)
	}
	close(release)
	if resp, _ := busy.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("open request: status %d, closing %v", resp.StatusCode, resp.Close)
	}
	if err := testsupport.Receive(t, "the end of the node", h.done); err != nil {
		t.Error(err)
	}
}

// Guards the end of a graceful shutdown against connections on which nothing was ever sent:
// they do not delay it by the five seconds that the library waits.
func TestShutdownWithSilentConnection(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	c := h.dial()
	testsupport.Eventually(t, "the silent connection", func() bool { return h.node.clients.Stats().Open > 0 })
	h.stop()
	asked := time.Now()
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("the connection says something")
	}
	if took := time.Since(asked); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}
