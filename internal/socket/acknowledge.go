package socket

import (
	"net"
	"syscall"
)

// AcknowledgeNow sends the acknowledgment of the data that was read from a connection, if the
// kernel has delayed it. A peer without TCP_NODELAY holds back a small write until the one before
// is acknowledged, which Linux may delay for 40 ms or until it sends data itself. The kernel goes
// back to delayed acknowledgments by itself, so this is called after each read for which it
// matters. It does nothing on a connection that is not a TCP socket.
func AcknowledgeNow(conn net.Conn) {
	withDescriptor(conn, func(fd int) {
		// An error leaves the acknowledgment to the kernel's timer.
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_QUICKACK, 1)
	})
}
