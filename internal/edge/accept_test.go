package edge

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// failingListener is a listener whose Accept first returns the errors in a channel.
type failingListener struct {
	*net.TCPListener
	errors chan error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: err}
	default:
		return l.TCPListener.Accept()
	}
}

// Guards against a node that ends, with every request in it, when accept fails for a moment.
func TestAcceptErrorsEndNeitherNodeNorRequests(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EINTR, syscall.ETIMEDOUT,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			release := make(chan struct{})
			endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
			listener := &failingListener{TCPListener: testsupport.Listen(t), errors: make(chan error, 1)}
			h := startNodeOn(t, testConfig(t), listener, endpoint.Addr)
			c := h.dial()
			io.WriteString(c, clientRequest("merge", "00000000000000aa"))
			testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
			listener.errors <- os.NewSyscallError("accept4", errno)
			h.dial() // lets the blocked call of accept return
			testsupport.Eventually(t, "the error of accept", func() bool { return len(listener.errors) == 0 })
			next := h.dial()
			close(release)
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusOK {
				t.Errorf("the open request: status %d, want %d", resp.StatusCode, http.StatusOK)
			}
			if resp, _ := next.roundTrip(clientRequest("merge", "00000000000000bb")); resp.StatusCode != http.StatusOK {
				t.Errorf("the request on a new connection: status %d, want %d", resp.StatusCode, http.StatusOK)
			}
		})
	}
}

// Guards against requests that are lost when the node ends because it can accept no more
// connections, or because its policy has panicked: they get an answer first.
func TestNodeThatMustEndAnswersOpenRequests(t *testing.T) {
	endings := map[string]func(h *harness, listener *failingListener){
		"the listener is broken": func(h *harness, listener *failingListener) {
			listener.errors <- os.NewSyscallError("accept4", syscall.EBADF)
			h.dial() // lets the blocked call of accept return
		},
		"the policy panics": func(h *harness, _ *failingListener) {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			h.node.gateway = panickingGateway{}
			h.node.dispatch(policy.TimerFired{})
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			endpoint := testsupport.StartFakeServer(t, func(net.Conn, *http.Request, []byte) bool { return true }) // never responds
			listener := &failingListener{TCPListener: testsupport.Listen(t), errors: make(chan error, 1)}
			h := startNodeOn(t, testConfig(t), listener, endpoint.Addr)
			h.node.phases.answerTimeout = 50 * time.Millisecond // long before the request's deadline
			h.node.phases.writeDuration = testsupport.MaxWait
			c := h.dial()
			io.WriteString(c, clientRequest("merge", "00000000000000aa"))
			testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
			end(h, listener)
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
				t.Errorf("status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusGatewayTimeout)
			}
			if err := testsupport.Receive(t, "the end of the node", h.done); err == nil {
				t.Error("the node ended without an error")
			}
		})
	}
}

// Guards against a node that ends at its start because its address is in use for a moment.
func TestListenWaitsForAddress(t *testing.T) {
	previous := testsupport.Listen(t)
	cfg := testConfig(t)
	cfg.ListenAddress = previous.Addr().String()
	var log syncBuffer
	node, err := New(cfg, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	testsupport.Eventually(t, "a failed attempt", func() bool { return strings.Contains(log.String(), "listening for clients fails") })
	previous.Close()
	testsupport.Eventually(t, "the listener", func() bool { return strings.Contains(log.String(), "msg=serving") })
	stop()
	if err := testsupport.Receive(t, "the end of the node", done); err != nil {
		t.Errorf("the node ended with the error %v", err)
	}
}

// syncBuffer is a buffer for a log that is read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns what was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
