package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/socket"
	"swiftpitch/internal/upstream"
)

// awaitAllAnswered waits until the node has noticed that the clients of all requests have disconnected.
func awaitAllAnswered(r *rig) {
	r.t.Helper()
	eventually(r.t, "the end of the request", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		for _, q := range r.node.requests {
			if !q.answered {
				return false
			}
		}
		return true
	})
}

// awaitRequest waits until the node has received a request.
func awaitRequest(r *rig) {
	r.t.Helper()
	eventually(r.t, "the request", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 1
	})
}

// Guards endpoints against work that nobody waits for: the connection for a request comes
// up just after its client has disconnected, and nothing is written to it.
func TestClientDisconnectsDuringTheDial(t *testing.T) {
	for _, class := range []string{"lookup", "merge"} {
		app := startApp(t, say(hello))
		r := startNode(t, testConfig(t), app.addr)
		begun, up := r.holdDials(func() bool { return true })
		c := r.dial()
		io.WriteString(c, clientRequest(class, "00000000000000aa"))
		<-begun
		c.Close()
		awaitAllAnswered(r)
		close(up)
		eventually(t, "the end of the attempt", func() bool {
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			endpoint := r.node.pool.Endpoint("s-0")
			return len(endpoint.IdleConns()) == 1 // unused, and good for the next request
		})
		if resp, _ := r.dial().ask(clientRequest(class, "00000000000000bb")); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: the next request: status %d", class, resp.StatusCode)
		}
		if got := app.requests(); len(got) != 1 || got[0][len(got[0])-2:] != "bb" {
			t.Errorf("%s: app server got %q", class, got)
		}
	}
}

// Guards endpoints against work that nobody waits for: the counter's response admits a
// request that waited for it, and its client has disconnected.
func TestClientDisconnectsDuringACounterCall(t *testing.T) {
	app := startApp(t, say(hello))
	calls, answer := make(chan string, 8), make(chan struct{})
	counter := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		calls <- req.URL.Query().Get("delta")
		<-answer
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
		return true
	})
	cfg := testConfig(t)
	cfg.Counter, cfg.Settings.Service.CounterEnabled = counter.addr, true
	cfg.Settings.Service.CounterTimeout = patience // less than half of the request's time, or it would not wait
	cfg.Settings.Classes[0].Deadline = 3 * patience
	plan := &cfg.Settings.Plans[0]
	plan.Rate, plan.Burst, plan.OverQuotaCost = 2, 4, 1 // so little that requests are admitted by the shared bucket
	r := startNode(t, cfg, app.addr)
	c := r.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa", "3000", "60000"))
	if delta := <-calls; delta != "2" {
		t.Fatalf("the counter is told %s", delta)
	}
	awaitRequest(r)
	c.Close()
	awaitAllAnswered(r)
	close(answer)
	eventually(t, "the return of the units", func() bool { // the policy has dealt with the response by then
		select {
		case delta := <-calls:
			return delta == "-2"
		default:
			return false
		}
	})
	if got := app.requests(); len(got) > 0 {
		t.Errorf("app server got %q", got)
	}
}

// Guards endpoints against work that nobody waits for: an attempt ends in a way that calls
// for a retry, and its client has disconnected.
func TestClientDisconnectsBeforeARetry(t *testing.T) {
	let := make(chan struct{})
	serve := func(c net.Conn, req *http.Request, body []byte) bool {
		<-let
		return say("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")(c, req, body)
	}
	a, b := startApp(t, serve), startApp(t, serve)
	cfg := testConfig(t)
	cfg.Settings.Limits.AllowCancel = false // the attempt stays out when its client leaves
	r := startNode(t, cfg, a.addr, b.addr)
	ended := make(chan policy.Outcome, 8)
	r.node.mu.Lock()
	r.node.gateway = outcomeRecorder{policyGateway: r.node.gateway, got: ended}
	r.node.mu.Unlock()
	c := r.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	eventually(t, "the attempt", func() bool { return len(a.requests())+len(b.requests()) == 1 })
	c.Close()
	awaitAllAnswered(r)
	close(let)
	if o := <-ended; o != policy.Overloaded {
		t.Errorf("the attempt ends as %d", o)
	}
	if got := append(a.requests(), b.requests()...); len(got) != 1 {
		t.Errorf("app servers got %q", got)
	}
}

// outcomeRecorder reports the outcomes of attempts once the policy has dealt with them, and
// -1 for each attempt that it starts then.
type outcomeRecorder struct {
	policyGateway
	got chan policy.Outcome
}

func (m outcomeRecorder) Step(now policy.Time, ev policy.Event, out []policy.Action) []policy.Action {
	out = m.policyGateway.Step(now, ev, out)
	if e, ok := ev.(policy.AttemptEnded); ok {
		for _, a := range out {
			if _, ok := a.(policy.StartAttempt); ok {
				m.got <- -1
			}
		}
		m.got <- e.Outcome
	}
	return out
}

// neverRanResponse is the response of an endpoint that did not run a request.
const neverRanResponse = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"

// Guards endpoints against work that nobody waits for: the client has sent more than its
// request, at which the library's own watch stops, and then disconnects.
func TestClientDisconnectsAfterSendingMore(t *testing.T) {
	next := clientRequest("lookup", "00000000000000cc")
	ends := map[string]func(*net.TCPConn){
		"close":          func(c *net.TCPConn) { c.Close() },
		"reset":          func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"end of sending": func(c *net.TCPConn) { c.CloseWrite() },
	}
	for extra, text := range map[string]string{"a line's end": "\r\n", "a byte": "G", "half a request": next[:40],
		"a request": next, "more than fits one read": strings.Repeat(next, 20)} {
		for how, end := range ends {
			t.Run(extra+", "+how, func(t *testing.T) {
				let := make(chan struct{})
				serve := func(c net.Conn, req *http.Request, body []byte) bool {
					<-let
					return say(neverRanResponse)(c, req, body)
				}
				a, b := startApp(t, serve), startApp(t, serve)
				cfg := testConfig(t)
				cfg.Settings.Limits.AllowCancel = false // the attempt stays out when its client leaves
				r := startNode(t, cfg, a.addr, b.addr)
				c := r.dial()
				io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
				eventually(t, "the attempt", func() bool { return len(a.requests())+len(b.requests()) == 1 })
				io.WriteString(c, text)
				awaitReadAhead(r, len(text)-1) // the first byte is with the library
				end(c.Conn.(*net.TCPConn))
				awaitAllAnswered(r)
				close(let)
				eventually(t, "the end of the attempt", func() bool {
					r.node.mu.Lock()
					defer r.node.mu.Unlock()
					return len(r.node.requests) == 0
				})
				if got := append(a.requests(), b.requests()...); len(got) != 1 {
					t.Errorf("app servers got %q", got)
				}
			})
		}
	}
}

// waitForReusableConn waits until an endpoint has one idle connection, which may take the
// next request.
func (r *rig) waitForReusableConn(endpointID string) *upstream.Endpoint {
	r.t.Helper()
	r.node.mu.Lock()
	endpoint := r.node.pool.Endpoint(endpointID)
	idle := endpoint.IdleConns()
	if len(idle) != 1 {
		r.node.mu.Unlock()
		r.t.Fatalf("%d idle connections", len(idle))
	}
	idleSince := idle[0].IdleSince()
	r.node.mu.Unlock()
	eventually(r.t, "the end of the reuse delay", func() bool { return time.Since(idleSince) >= upstream.ReuseDelay })
	return endpoint
}

// beginRequest hands the policy a request without a listener. The lock is held.
func (r *rig) beginRequest(id string, conn *frontend.Conn) *request {
	q := &request{id: id, conn: conn, receivedAt: time.Now().Add(-time.Second), deadline: time.Now().Add(patience),
		answer: make(chan answer, 1), forwardHead: []byte("GET /lookup/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Expires-In-Ms: ")}
	q.deadlineGuard = r.node.afterFunc(patience, func() {})
	r.node.requests[id] = q
	r.node.dispatch(policy.RequestReceived{RequestID: id, Tenant: 1, Timeout: patience, Units: 1, TenantGateways: 1})
	return q
}

// Guards endpoints against work that nobody waits for: the policy has started an attempt, on
// an idle connection, and before it is written the client is seen to have disconnected.
func TestClientDisconnectsBeforeAnAttemptIsWritten(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		app := startApp(t, say(hello))
		cfg := testConfig(t)
		cfg.Settings.Limits.AllowCancel = cancel
		r := startNode(t, cfg, app.addr)
		r.dial().ask(clientRequest("lookup", "00000000000000aa"))
		endpoint := r.waitForReusableConn("s-0")
		r.node.mu.Lock()
		q := r.beginRequest("00000000000000bb", nil)
		if q.attemptsInFlight != 1 || len(endpoint.IdleConns()) != 0 {
			t.Fatalf("%d attempts in flight, %d idle connections", q.attemptsInFlight, len(endpoint.IdleConns()))
		}
		r.node.clientDisconnectedLocked(q)
		r.node.mu.Unlock()
		eventually(t, "the end of the attempt", func() bool {
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			return len(r.node.requests) == 0 && (cancel && r.node.pool.OpenConns() == 0 || !cancel && len(endpoint.IdleConns()) == 1)
		})
		if got := app.requests(); len(got) != 1 {
			t.Errorf("cancelling %v: app server got %q", cancel, got)
		}
	}
}

// disconnectedClient returns a connection whose client has closed it, which nobody has read
// yet, and the context of its requests.
func (r *rig) disconnectedClient() (context.Context, *frontend.Conn) {
	r.t.Helper()
	ln := listen(r.t)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	tracker := frontend.NewTracker(1, frontend.NewMemoryBudget(0))
	nc, err := frontend.NewListener(ln, tracker).Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { nc.Close() })
	ctx := tracker.ConnContext(context.Background(), nc)
	conn := frontend.ConnFromContext(ctx)
	if got := socket.Peek(conn.Conn); got != socket.Quiet {
		r.t.Errorf("before the client disconnects: %d", got)
	}
	client.Close()
	eventually(r.t, "the client's end", func() bool { return socket.Peek(conn.Conn) == socket.Closed })
	return ctx, conn
}

// Guards endpoints against work that nobody waits for where this process was stalled: the
// client has closed its connection, and who reads that has not got round to it when the
// attempt of a request that has waited would be written, or when the request is received.
func TestClientDisconnectedUnseen(t *testing.T) {
	app := startApp(t, say(hello))
	r := startNode(t, testConfig(t), app.addr)
	_, conn := r.disconnectedClient()
	r.node.mu.Lock()
	r.beginRequest("00000000000000aa", conn)
	r.node.mu.Unlock()
	eventually(t, "the end of the attempt", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 0
	})
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the handler ends with %v", p)
			}
		}()
		req := httptest.NewRequest(http.MethodGet, "/lookup/x", nil)
		ctx, _ := r.disconnectedClient()
		req = req.WithContext(ctx)
		req.Host = "x"
		req.Header = lookupHeader()
		r.node.ServeHTTP(httptest.NewRecorder(), req)
	}()
	if got := app.requests(); len(got) > 0 {
		t.Errorf("app server got %q", got)
	}
}

// Guards endpoints against half a request: the client disconnects while it sends the body.
func TestClientDisconnectsWithinABody(t *testing.T) {
	app := startApp(t, say(hello))
	r := startNode(t, testConfig(t), app.addr)
	c := r.dial()
	text := clientRequest("merge", "00000000000000aa")
	io.WriteString(c, text[:len(text)-5])
	c.Conn.(*net.TCPConn).CloseWrite()
	io.ReadAll(c.br) // until the node has closed it
	if got := app.requests(); len(got) > 0 {
		t.Errorf("app server got %q", got)
	}
}

// Guards endpoints against work that nobody waits for: when the client disconnects, the
// attempt is canceled by closing its connection.
func TestClientDisconnects(t *testing.T) {
	gone := make(chan struct{})
	app := startApp(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			close(gone)
		}
		return false
	})
	r := startNode(t, testConfig(t), app.addr)
	c := r.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	eventually(t, "the attempt", func() bool { return len(app.requests()) == 1 })
	c.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the attempt goes on")
	}
	eventually(t, "the end of the request", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 0
	})
}

// Guards against a response that no endpoint gave: a client that ends its sending counts as
// disconnected, and reads the end of the connection and nothing else.
func TestClientEndsSending(t *testing.T) {
	let := make(chan struct{})
	t.Cleanup(func() { close(let) })
	app := startApp(t, func(net.Conn, *http.Request, []byte) bool { <-let; return false })
	r := startNode(t, testConfig(t), app.addr)
	c := r.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	eventually(t, "the attempt", func() bool { return len(app.requests()) == 1 })
	c.Conn.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(c.br); err != nil || len(text) > 0 {
		t.Errorf("read %q, %v", text, err)
	}
}
