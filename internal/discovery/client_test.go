package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// respondVersion writes a response that has an incremental update with one endpoint.
func respondVersion(conn net.Conn, generation int) {
	text := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-0","lifecycle":"SERVING"}]}`, generation)
	testsupport.Respond(conn, "200 OK", text)
}

// newClient returns a client with a cached list of version 7, whose calls are overdue after some
// milliseconds, and the versions that it applies.
func newClient(mode, address string) (*Client, <-chan int64) {
	const overdueAfter = 20 * time.Millisecond
	timing := NewTiming(&config.Settings{DiscoveryMode: mode, Gateways: 1})
	timing.OverdueAfter = overdueAfter
	timing.PollInterval = overdueAfter
	versions := make(chan int64, 16)
	client := New(address, Options{
		Lock:       &sync.Mutex{},
		Timing:     timing,
		CachedList: List{Generation: 7, Instances: []Instance{{ID: "s-0", Lifecycle: Serving}}},
		OnList:     func(list List, _ policy.UpdateScope) { versions <- list.Generation },
		Log:        slog.New(slog.DiscardHandler),
	})
	return client, versions
}

// runUntilEnd runs a client until the test ends.
func runUntilEnd(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		testsupport.Receive(t, "the end of the client", ended)
	})
}

// Guards against throwing away the answer to a call that was overdue when it came, and against
// applying the older list of a call that is answered after a newer one.
func TestLateAnswerIsAppliedUnlessOlder(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		var calls atomic.Int32
		var answers sync.WaitGroup
		answers.Add(1)
		secondCall := make(chan struct{})
		firstApplied := make(chan struct{})
		service := testsupport.StartFakeServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
			switch calls.Add(1) {
			case 1: // overdue by the time of the second call
				<-secondCall
				respondVersion(conn, 9)
				return true
			case 2: // its list is older than the one of the first call
				close(secondCall)
				<-firstApplied
				respondVersion(conn, 8)
				answers.Done()
				return true
			case 3:
				answers.Wait()
				respondVersion(conn, 10)
				return true
			}
			io.Copy(io.Discard, conn) // hangs until the client ends
			return false
		})
		client, versions := newClient(mode, service.Addr)
		runUntilEnd(t, client)
		if got := testsupport.Receive(t, "the list of the first call", versions); got != 9 {
			t.Errorf("%s: version %d is applied, want 9", mode, got)
		}
		close(firstApplied)
		if got := testsupport.Receive(t, "the list of the third call", versions); got != 10 {
			t.Errorf("%s: version %d is applied after 9, want 10", mode, got)
		}
	}
}

// Guards against missing a change that the previous address of discovery still tells: the watch
// there stays open until a call to the new address has been answered.
func TestPreviousAddressIsHeardUntilNewOneAnswers(t *testing.T) {
	watching := make(chan struct{}, 1)
	moved := make(chan struct{})
	var calls atomic.Int32
	previous := testsupport.StartFakeServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		if calls.Add(1) == 1 {
			respondVersion(conn, 8)
			return true
		}
		watching <- struct{}{}
		<-moved
		respondVersion(conn, 9)
		return false
	})
	heard := make(chan struct{})
	next := testsupport.StartFakeServer(t, func(conn net.Conn, req *http.Request, _ []byte) bool {
		if req.URL.RawQuery != "" {
			io.Copy(io.Discard, conn) // hangs until the client ends
			return false
		}
		<-heard
		respondVersion(conn, 3) // another service numbers its versions independently
		return true
	})
	client, versions := newClient("push", previous.Addr)
	runUntilEnd(t, client)
	testsupport.Receive(t, "the watch", watching)
	client.Options.Lock.Lock()
	client.ChangeAddress(next.Addr)
	client.Options.Lock.Unlock()
	testsupport.Eventually(t, "a call to the new address", func() bool { return len(next.Requests()) > 0 })
	close(moved)
	for _, want := range []int64{8, 9} {
		if got := testsupport.Receive(t, "a list of the previous address", versions); got != want {
			t.Errorf("version %d is applied, want %d", got, want)
		}
	}
	close(heard)
	if got := testsupport.Receive(t, "the list of the new address", versions); got != 3 {
		t.Errorf("version %d is applied, want 3", got)
	}
}

// Guards against starting a watch anew after a late answer: the next call comes on the connection of
// that answer, although calls were overdue in between, so that it renews the watch.
func TestLateAnswerKeepsItsConnection(t *testing.T) {
	ports := make(chan string, 16)
	paused := make(chan struct{})
	var calls atomic.Int32
	service := testsupport.StartFakeServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		ports <- conn.RemoteAddr().String()
		if calls.Add(1) > 1 {
			io.Copy(io.Discard, conn) // hangs until the client ends
			return false
		}
		<-paused
		respondVersion(conn, 8)
		return true
	})
	var pauses atomic.Int32
	client, _ := newClient("push", service.Addr)
	client.Options.Pause = func(ctx context.Context, _ time.Duration) {
		if pauses.Add(1) == 1 { // the first call is overdue
			close(paused)
		}
		<-ctx.Done()
	}
	runUntilEnd(t, client)
	first := testsupport.Receive(t, "the first call", ports)
	if next := testsupport.Receive(t, "the call after the late answer", ports); next != first {
		t.Errorf("the call after the late answer comes on the connection %s, want %s", next, first)
	}
}
