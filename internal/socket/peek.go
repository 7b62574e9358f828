// Package socket looks at the state of a connection's peer without reading from
// the connection. The front end asks whether a client has disconnected, the upstream
// connection pool whether an idle connection is still good.
//
// The package keeps no state; its functions may be called from any goroutine.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// PeerState is what the kernel knows of a connection's peer.
type PeerState int

const (
	Unknown  PeerState = iota // the connection is no socket, or the look failed
	NoData                    // open, with nothing to read
	Readable                  // there is something to read
	Closed                    // closed or reset by the peer, with nothing left to read
)

// Peek reports the state of a connection's peer. It consumes nothing, does not block,
// and may run while another goroutine reads from the connection. A connection that is
// closed on this side counts as Closed.
func Peek(conn net.Conn) PeerState {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

// peekDescriptor asks the kernel for one byte and leaves it in the receive buffer.
func peekDescriptor(fd int) PeerState {
	var buffer [1]byte
	count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return NoData
	case errors.Is(err, syscall.EINTR):
		return Unknown
	case err != nil || count == 0:
		return Closed
	default:
		return Readable
	}
}
