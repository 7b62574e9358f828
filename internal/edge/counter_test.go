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

// counterRecorder stands in for the policy and records the outcomes of counter calls, in
// order.
type counterRecorder struct {
	replies chan policy.CounterReplied
}

func (r *counterRecorder) Step(_ policy.Time, ev policy.Event, out []policy.Action) []policy.Action {
	if reply, ok := ev.(policy.CounterReplied); ok {
		r.replies <- reply
	}
	return out
}

// startCounterNode returns a node that calls a counter at an address.
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

// recordCounter puts a recorder in the place of the policy.
func recordCounter(n *Node) *counterRecorder {
	recorder := &counterRecorder{replies: make(chan policy.CounterReplied, 64)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gateway = recorder
	return recorder
}

// next returns the next outcome of a call.
func (r *counterRecorder) next(t *testing.T) policy.CounterReplied {
	t.Helper()
	return testsupport.Receive(t, "the outcome of a call", r.replies)
}

// testAdd makes a call as the policy would.
func (n *Node) testAdd(key uint64, units float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addToCounter(policy.AddToCounter{Key: key, Units: units, TTL: 1500 * time.Microsecond})
}

// Guards the form of a call and the order of pipelined responses.
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
			t.Errorf("call %d: %+v", i, got)
		}
	}
	if got := <-uris; got != "POST /v2/numbers/9223372036854775807?delta=-2.5&life_ms=2" {
		t.Errorf("call %q", got)
	}
}

// Guards the totals: a response that comes after its call's timeout is dropped, and is not
// taken for the response to the next call.
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
		t.Errorf("first call: %+v", got)
	}
	n.cfg.Settings.Accounting.CounterTimeout = testsupport.MaxWait
	n.testAdd(1, 1)
	close(release)
	if got := replies.next(t); got.Outcome != policy.Succeeded || got.Total != 222 {
		t.Errorf("second call: %+v", got)
	}
}

// Guards the totals of an overloaded counter: a response that takes longer than the
// settings' counter timeout, but not several of them, still counts.
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
		t.Errorf("%+v", got)
	}
}

// Guards what the policy knows of the counter: without a connection nothing was added, and
// a connection that breaks after the call may have added it.
func TestCounterConnectionFails(t *testing.T) {
	ln := testsupport.Listen(t)
	addr := ln.Addr().String()
	ln.Close()
	n := startCounterNode(t, addr, testsupport.MaxWait)
	replies := recordCounter(n)
	n.testAdd(1, 1)
	if got := replies.next(t); got.Outcome != policy.ConnectFailed {
		t.Errorf("refused: %+v", got)
	}
	counter := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return false })
	n = startCounterNode(t, counter.Addr, testsupport.MaxWait)
	replies = recordCounter(n)
	n.testAdd(1, 1)
	if got := replies.next(t); got.Outcome != policy.TimedOut {
		t.Errorf("broken: %+v", got)
	}
}

// Guards the calls after a counter's machine has vanished: a connection that owes responses
// for long is closed, and the next calls go over a new one.
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
				continue // silent for good
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
			t.Fatal("no call has gone through")
		}
	}
}

// Guards a new address of the counter: new calls go there, while the previous connection
// still delivers the responses that it owes, and is closed after the last of them.
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
		t.Errorf("call to the new address: %+v", got)
	}
	close(release)
	if got, want := replies.next(t), (policy.CounterReplied{Key: 1, Total: 111}); got != want {
		t.Errorf("response of the previous address: %+v", got)
	}
	testsupport.Receive(t, "the close of the previous connection", closed)
}

// Guards the totals against responses that are no number: such a call may have been added,
// its connection is closed, and the next calls go over a new one. An interim response
// belongs to no call.
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
			t.Errorf("%q: %+v", body, got)
		}
		n.testAdd(2, 1)
		if got := replies.next(t); got != (policy.CounterReplied{Key: 2, Total: 7}) {
			t.Errorf("%q: the next call %+v", body, got)
		}
	}
}
