package edge

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

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
