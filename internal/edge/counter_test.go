package edge

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// counterRecorder replaces the policy and records the outcomes of counter calls in the order in
// which the node reports them.
type counterRecorder struct {
	replies chan policy.CounterReplied
}

// Step implements policyGateway.
func (r *counterRecorder) Step(_ policy.Time, ev policy.Event, out []policy.Action) []policy.Action {
	if reply, ok := ev.(policy.CounterReplied); ok {
		r.replies <- reply
	}
	return out
}

// startCounterNode starts a node that calls the counter at an address with a counter timeout.
func startCounterNode(t *testing.T, address string, timeout time.Duration) *Node {
	t.Helper()
	cfg := testConfig(t)
	cfg.CounterAddress = address
	cfg.Settings.Accounting.CounterTimeout = timeout
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.start()
	t.Cleanup(n.close)
	return n
}

// recordCounter replaces the node's policy by a recorder.
func recordCounter(n *Node) *counterRecorder {
	recorder := &counterRecorder{replies: make(chan policy.CounterReplied, 64)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gateway = recorder
	return recorder
}

// next waits for the next outcome of a call and returns it.
func (r *counterRecorder) next(t *testing.T) policy.CounterReplied {
	t.Helper()
	return testsupport.Receive(t, "the outcome of a call", r.replies)
}

// testAdd calls the counter as the policy's AddToCounter action does.
func (n *Node) testAdd(key uint64, units float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addToCounter(policy.AddToCounter{Key: key, Units: units, TTL: 1500 * time.Microsecond})
}

// TestCounterCallsArePipelined checks the request line of a call, and that the responses to
// pipelined calls are assigned to their calls.
func TestCounterCallsArePipelined(t *testing.T) {
	uris := make(chan string, 8)
	total := 0
	counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.Method + " " + req.RequestURI
		total++
		if total == 3 {
			return testsupport.RespondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")(c, req, nil)
		}
		body := fmt.Sprint(total)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	})
	n := startCounterNode(t, counter.Addr, testsupport.MaxWait)
	replies := recordCounter(n)
	n.testAdd(1<<63-1, -2.5)
	n.testAdd(6, 0)
	n.testAdd(6, 1)
	for i, want := range []policy.CounterReplied{{Key: 1<<63 - 1, Total: 1}, {Key: 6, Total: 2}, {Key: 6, Outcome: policy.Overloaded}} {
		if got := replies.next(t); got != want {
			t.Errorf("call %d: outcome %+v, want %+v", i, got, want)
		}
	}
	if got := <-uris; got != "POST /v2/numbers/9223372036854775807?delta=-2.5&life_ms=2" {
		t.Errorf("call %q, want POST /v2/numbers/9223372036854775807?delta=-2.5&life_ms=2", got)
	}
}

// TestCounterLateResponseIsDropped checks that a response that arrives after its call's timeout
// is dropped and not taken for the response to the next call.
func TestCounterLateResponseIsDropped(t *testing.T) {
	release := make(chan struct{})
	calls := 0
	counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		if calls++; calls == 1 {
			<-release
			return testsupport.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n111")(c, req, nil)
		}
		return testsupport.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n222")(c, req, nil)
	})
	n := startCounterNode(t, counter.Addr, 20*time.Millisecond)
	replies := recordCounter(n)
	n.testAdd(1, 1)
	testsupport.Eventually(t, "the first call", func() bool { return len(counter.Requests()) == 1 })
	if got := replies.next(t); got.Outcome != policy.TimedOut {
		t.Errorf("first call: outcome %+v, want %d", got, policy.TimedOut)
	}
	n.cfg.Settings.Accounting.CounterTimeout = testsupport.MaxWait
	n.testAdd(1, 1)
	close(release)
	if got := replies.next(t); got.Outcome != policy.Succeeded || got.Total != 222 {
		t.Errorf("second call: outcome %+v, want %d and total 222", got, policy.Succeeded)
	}
}

// TestCounterSlowResponseCounts checks that a response of an overloaded counter that takes longer
// than the configured counter timeout, but less than counterTimeoutFactor times that, is used.
func TestCounterSlowResponseCounts(t *testing.T) {
	const timeout = 250 * time.Millisecond
	counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		time.Sleep(timeout * 3 / 2)
		return testsupport.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")(c, req, nil)
	})
	n := startCounterNode(t, counter.Addr, timeout)
	replies := recordCounter(n)
	n.testAdd(1, 1)
	if got := replies.next(t); got != (policy.CounterReplied{Key: 1, Total: 7}) {
		t.Errorf("outcome %+v, want total 7", got)
	}
}

// TestCounterConnectionFails checks the outcomes from which the policy infers what was added: if
// no connection could be made, nothing was; if it broke after the call was written, the units
// may have been added.
func TestCounterConnectionFails(t *testing.T) {
	ln := testsupport.Listen(t)
	addr := ln.Addr().String()
	ln.Close()
	n := startCounterNode(t, addr, testsupport.MaxWait)
	replies := recordCounter(n)
	n.testAdd(1, 1)
	if got := replies.next(t); got.Outcome != policy.ConnectFailed {
		t.Errorf("connection refused: outcome %+v, want %d", got, policy.ConnectFailed)
	}
	counter := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return false })
	n = startCounterNode(t, counter.Addr, testsupport.MaxWait)
	replies = recordCounter(n)
	n.testAdd(1, 1)
	if got := replies.next(t); got.Outcome != policy.TimedOut {
		t.Errorf("connection broken: outcome %+v, want %d", got, policy.TimedOut)
	}
}

// TestUnresponsiveCounterIsRedialed checks that a connection whose responses are long overdue, as
// after a failure of the counter's machine, is closed, and that the next calls use a new one.
func TestUnresponsiveCounterIsRedialed(t *testing.T) {
	ln := testsupport.Listen(t)
	first := true
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if first {
				first = false
				continue // never responds on this connection
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
				}
			}()
		}
	}()
	n := startCounterNode(t, ln.Addr().String(), 50*time.Millisecond)
	replies := recordCounter(n)
	for end := time.Now().Add(testsupport.MaxWait); ; {
		n.testAdd(1, 1)
		if got := replies.next(t); got.Outcome == policy.Succeeded {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no call has succeeded within %v", testsupport.MaxWait)
		}
	}
}

// TestCounterChangesAddress checks that new calls go to a new address of the counter, while the
// previous connection still delivers the responses to earlier calls and is closed after the last
// of them.
func TestCounterChangesAddress(t *testing.T) {
	release, closed := make(chan struct{}), make(chan struct{})
	previous := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		<-release
		testsupport.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n111")(c, req, nil)
		io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	replacement := testsupport.StartFakeServer(t, testsupport.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n222"))
	n := startCounterNode(t, previous.Addr, testsupport.MaxWait)
	replies := recordCounter(n)
	n.testAdd(1, 1)
	testsupport.Eventually(t, "the first call", func() bool { return len(previous.Requests()) == 1 })
	n.ChangeAddresses("", replacement.Addr)
	n.testAdd(2, 1)
	if got, want := replies.next(t), (policy.CounterReplied{Key: 2, Total: 222}); got != want {
		t.Errorf("call to the new address: outcome %+v, want %+v", got, want)
	}
	close(release)
	if got, want := replies.next(t), (policy.CounterReplied{Key: 1, Total: 111}); got != want {
		t.Errorf("call to the previous address: outcome %+v, want %+v", got, want)
	}
	testsupport.Receive(t, "the close of the previous connection", closed)
}

// TestCounterInvalidTotal checks responses whose body is not a number: the units of that call may
// have been added, its connection is closed, and the next calls use a new one. It also checks
// that an interim response is not taken for the response to a call.
func TestCounterInvalidTotal(t *testing.T) {
	for _, body := range []string{"NaN", "Inf", "0x10", "1e400", "", "7 7"} {
		calls, release := 0, make(chan struct{})
		counter := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
			text := "7"
			if calls++; calls == 1 {
				<-release
				text = body
			}
			fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return true
		})
		n := startCounterNode(t, counter.Addr, testsupport.MaxWait)
		replies := recordCounter(n)
		n.testAdd(1, 1)
		testsupport.Eventually(t, "the first call", func() bool { return len(counter.Requests()) == 1 })
		close(release)
		if got := replies.next(t); got.Key != 1 || got.Outcome != policy.TimedOut {
			t.Errorf("total %q: outcome %+v, want %d for key 1", body, got, policy.TimedOut)
		}
		n.testAdd(2, 1)
		if got := replies.next(t); got != (policy.CounterReplied{Key: 2, Total: 7}) {
			t.Errorf("total %q: the next call has outcome %+v, want total 7 for key 2", body, got)
		}
	}
}
