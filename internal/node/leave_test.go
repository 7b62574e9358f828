package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"fawnrelay/logic"
)

// forgotten waits until the node has noticed that the clients of all requests are gone.
func forgotten(r *rig) {
	r.t.Helper()
	eventually(r.t, "the end of the request", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		for _, q := range r.node.requests {
			if !q.final {
				return false
			}
		}
		return true
	})
}

// waiting waits until the node has taken a request.
func waiting(r *rig) {
	r.t.Helper()
	eventually(r.t, "the request", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 1
	})
}

// Guards app servers against work that nobody waits for: the connection for a request
// comes up just when its client has left, and nothing is written to it.
func TestClientLeavesWhileTheConnectionComesUp(t *testing.T) {
	for _, class := range []string{"lookup", "merge"} {
		app := startApp(t, say(hello))
		r := startNode(t, testConfig(t), app.addr)
		begun, up := r.holdDials(func() bool { return true })
		c := r.dial()
		io.WriteString(c, clientRequest(class, "00000000000000aa"))
		<-begun
		c.Close()
		forgotten(r)
		close(up)
		eventually(t, "the end of the attempt", func() bool {
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			s := r.node.pool.servers["s-0"]
			return len(s.idle) == 1 // unused, and good for the next
		})
		if resp, _ := r.dial().ask(clientRequest(class, "00000000000000bb")); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: the next request: status %d", class, resp.StatusCode)
		}
		if got := app.requests(); len(got) != 1 || got[0][len(got[0])-2:] != "bb" {
			t.Errorf("%s: app server got %q", class, got)
		}
	}
}

// Guards app servers against work that nobody waits for: the counter's answer lets a
// request in that waited for it, and its client has left.
func TestClientLeavesDuringTheCallToTheCounter(t *testing.T) {
	app := startApp(t, say(hello))
	calls, answer := make(chan string, 8), make(chan struct{})
	counter := startApp(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		calls <- req.URL.Query().Get("delta")
		<-answer
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
		return true
	})
	cfg := testConfig(t)
	cfg.Counter, cfg.Settings.Family.Counter = counter.addr, true
	cfg.Settings.Family.CountWait = patience // less than half of the request's time, or it would not wait
	cfg.Settings.Classes[0].Deadline = 3 * patience
	plan := &cfg.Settings.Plans[0]
	plan.Refill, plan.Depth, plan.ExcessCost = 2, 4, 1 // so little that tries are placed by the counter
	r := startNode(t, cfg, app.addr)
	c := r.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa", "3000", "60000"))
	if delta := <-calls; delta != "2" {
		t.Fatalf("the counter is told %s", delta)
	}
	waiting(r)
	c.Close()
	forgotten(r)
	close(answer)
	eventually(t, "the return of the units", func() bool { // the module has dealt with the answer by then
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

// Guards app servers against work that nobody waits for: an attempt ends in a way that
// calls for another, and its client has left.
func TestClientLeavesBeforeAFurtherAttempt(t *testing.T) {
	let := make(chan struct{})
	serve := func(c net.Conn, req *http.Request, body []byte) bool {
		<-let
		return say("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")(c, req, body)
	}
	a, b := startApp(t, serve), startApp(t, serve)
	cfg := testConfig(t)
	cfg.Settings.Limits.Cancel = false // the attempt stays out when its client leaves
	r := startNode(t, cfg, a.addr, b.addr)
	ended := make(chan logic.Outcome, 8)
	r.node.mu.Lock()
	r.node.gateway = endings{module: r.node.gateway, got: ended}
	r.node.mu.Unlock()
	c := r.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	eventually(t, "the attempt", func() bool { return len(a.requests())+len(b.requests()) == 1 })
	c.Close()
	forgotten(r)
	close(let)
	if o := <-ended; o != logic.Full {
		t.Errorf("the attempt ends as %d", o)
	}
	if got := append(a.requests(), b.requests()...); len(got) != 1 {
		t.Errorf("app servers got %q", got)
	}
}

// endings notes the outcomes of attempts once the module has dealt with them.
type endings struct {
	module
	got chan logic.Outcome
}

func (m endings) Step(now logic.Time, ev logic.Event, out []logic.Action) []logic.Action {
	out = m.module.Step(now, ev, out)
	if e, ok := ev.(logic.Ended); ok {
		for _, a := range out {
			if _, ok := a.(logic.Send); ok {
				m.got <- -1
			}
		}
		m.got <- e.Outcome
	}
	return out
}
