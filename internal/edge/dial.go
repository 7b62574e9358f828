package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"swiftpitch/internal/socket"
)

// dialRetryDelay is the pause before a dial is repeated that failed for a cause on this machine.
// It doubles with each further failure.
const dialRetryDelay = 2 * time.Millisecond

// localDialErrors are the errors of socket(2) and connect(2) whose cause is on this machine: they
// say nothing about the endpoint, and may pass in a moment.
var localDialErrors = []error{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EACCES, syscall.EPERM, syscall.EINTR,
}

// isLocalDialError reports whether a dial failed for a cause on this machine.
func isLocalDialError(err error) bool {
	return socket.IsOneOf(err, localDialErrors)
}

// dialEndpoint opens a connection to an endpoint at addr. It repeats a dial that fails for a
// cause on this machine until ctx ends.
func (n *Node) dialEndpoint(ctx context.Context, addr string) (net.Conn, error) {
	for delay := dialRetryDelay; ; delay *= 2 {
		conn, err := n.dial(ctx, "tcp", addr)
		if err == nil || !isLocalDialError(err) {
			return conn, err
		}
		n.log.Debug("a dial fails on this machine", "addr", addr, "err", err)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, err
		}
	}
}
