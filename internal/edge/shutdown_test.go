package edge

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// TestPendingRequestsAreAnsweredBeforeKill checks that requests that are open shortly before the
// process would be killed get a complete final answer, that the node then ends without an error,
// and that requests received after that are rejected.
func TestPendingRequestsAreAnsweredBeforeKill(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return true }) // never responds
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.node.phases.answerTimeout = 50 * time.Millisecond // long before the request's deadline
	h.node.phases.writeDuration = testsupport.MaxWait
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	h.stop()
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
		t.Errorf("status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusGatewayTimeout)
	}
	if err := <-h.done; err != nil {
		t.Errorf("the node ended with the error %v", err)
	}
	late := &request{id: "late"}
	h.node.receive(late, receivedEvent(late.id))
	if a := <-late.answer; a.status != statusRejected {
		t.Errorf("a later request has status %d, want %d", a.status, statusRejected)
	}
}

// TestShutdownPhases checks the time that open requests have during a shutdown: it ends shortly
// before the earliest SIGKILL, and for deadlines of up to 3 s the last request accepted has all of
// its time.
func TestShutdownPhases(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 1100 * time.Millisecond, 2500 * time.Millisecond,
		4 * time.Second, 30 * time.Second} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if got := newShutdownPhases(longest).answerTimeout; got >= kill || got < kill-150*time.Millisecond {
			t.Errorf("deadline %v: requests are answered after %v, want %v or later and before SIGKILL at %v",
				longest, got, kill-150*time.Millisecond, kill)
		}
		if last := acceptDuration + longest; longest <= 3*time.Second && newShutdownPhases(longest).answerTimeout < last {
			t.Errorf("deadline %v: requests are answered after %v, want at least %v, the deadline of the last request",
				longest, newShutdownPhases(longest).answerTimeout, last)
		}
	}
}

// TestShutdownReadsPartialRequests checks that connections accepted before the listener closes are
// served, also if part of the request or all of it arrives after that.
func TestShutdownReadsPartialRequests(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
	text := clientRequest("merge", "00000000000000aa")
	silent, half, body := h.dial(), h.dial(), h.dial() // sent before the shutdown: nothing, half a head, half a body
	io.WriteString(half, text[:40])
	io.WriteString(body, text[:len(text)-5])
	testsupport.Eventually(t, "three open connections", func() bool { return h.node.clientConns.Stats().Open >= 3 })
	h.stop()
	testsupport.Eventually(t, "the close of the listener", func() bool {
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
			t.Errorf("connection %d: status %d, body %q, Connection: close %v, want %d, %q, true",
				i, resp.StatusCode, got, resp.Close, http.StatusOK, "hello")
		}
	}
}

// TestShutdownServesStartedRequest checks that a request is served if its first byte has been read
// on a keep-alive connection when the shutdown begins: the connection is no longer idle.
func TestShutdownServesStartedRequest(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
	c := h.dial()
	c.roundTrip(clientRequest("lookup", "00000000000000aa"))
	idle := func() int { return h.node.clientConns.Stats().Idle }
	testsupport.Eventually(t, "the idle connection", func() bool { return idle() == 1 })
	text := clientRequest("lookup", "00000000000000bb")
	io.WriteString(c, text[:1])
	testsupport.Eventually(t, "the first byte", func() bool { return idle() == 0 })
	h.stop()
	testsupport.Eventually(t, "the start of draining", h.node.clientConns.Draining)
	if resp, _ := c.roundTrip(text[1:]); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusOK)
	}
}

// connectAndEvict opens a client's connection on which a text is read, makes the tracker choose it
// for eviction, and returns the context of its requests.
func connectAndEvict(t *testing.T, text string) context.Context {
	t.Helper()
	tracker := frontend.NewTracker(1, frontend.NewMemoryBudget(0))
	listener := frontend.NewListener(testsupport.Listen(t), tracker, slog.New(slog.DiscardHandler))
	client, conn := testsupport.Connect(t, listener)
	ctx := tracker.ConnContext(context.Background(), conn)
	io.WriteString(client, text)
	if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil { // as net/http would have read it
		t.Fatal(err)
	}
	_, second := testsupport.Connect(t, listener)
	tracker.ConnContext(context.Background(), second) // chooses conn, which is not marked busy yet
	return ctx
}

// TestEvictionKeepsReadRequest guards against losing a request whose connection is chosen for
// eviction after the request was read and before it is accepted: it runs once and is answered.
func TestEvictionKeepsReadRequest(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	ctx := connectAndEvict(t, clientRequest("merge", "00000000000000aa"))
	answer := httptest.NewRecorder()
	h.node.ServeHTTP(answer, lookupRequest(ctx))
	if answer.Code != http.StatusOK {
		t.Errorf("status %d, want %d", answer.Code, http.StatusOK)
	}
	if got := endpoint.Requests(); len(got) != 1 {
		t.Errorf("the endpoint received %q, want one request", got)
	}
}

// TestEvictionDropsUnreadRequest checks that a request is dropped if its connection was closed
// before any of it was read. The tests of internal/frontend check that nothing is read after that.
func TestEvictionDropsUnreadRequest(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.expectAborted(connectAndEvict(t, ""))
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// receivedEvent returns the event of an ordinary request.
func receivedEvent(id string) policy.RequestReceived {
	return policy.RequestReceived{RequestID: id, Timeout: time.Second, Units: 1, TenantGateways: 1}
}

// TestGracefulShutdown checks that a shutdown closes an idle connection, still serves new ones at
// first, with a Connection: close header, answers the requests in flight, and ends without an
// error.
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
		t.Errorf("idle connection: read error %v, want %v", err, io.EOF)
	}
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000cc")); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("new connection: status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusOK)
	}
	close(release)
	if resp, _ := busy.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("open request: status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusOK)
	}
	if err := testsupport.Receive(t, "the end of the node", h.done); err != nil {
		t.Errorf("the node ended with the error %v", err)
	}
}

// TestShutdownWithSilentConnection checks that a connection on which nothing was ever sent does not
// delay the end of a shutdown by the five seconds for which net/http keeps it open.
func TestShutdownWithSilentConnection(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	c := h.dial()
	testsupport.Eventually(t, "the silent connection", func() bool { return h.node.clientConns.Stats().Open > 0 })
	h.stop()
	requestedAt := time.Now()
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("the silent connection has received a byte, want its end")
	}
	if took := time.Since(requestedAt); took > 3*time.Second {
		t.Errorf("the silent connection was closed after %v, want at most %v", took, 3*time.Second)
	}
}
