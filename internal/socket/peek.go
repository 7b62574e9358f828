// Package socket uses system calls on a connection that package net does not offer: it checks the
// state of the peer without reading from the connection, and acknowledges data at once. It also has
// reads and writes that outlast transient errors. Package frontend detects with it that a client has
// disconnected, package upstream that an idle connection can carry another request.
//
// The package keeps no state; its functions may be called from any goroutine.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// PeerState is the state of a connection's peer as known to the kernel.
type PeerState int

const (
	Unknown  PeerState = iota // the connection is not a socket, or the check was interrupted
	NoData                    // open, with nothing to read
	Readable                  // there is data to read
	Closed                    // closed or reset by the peer, with nothing left to read
)

// Peek reports the state of a connection's peer. It consumes nothing, does not block,
// and may run while another goroutine reads from the connection. A connection that is
// closed on this side counts as Closed.
func Peek(conn net.Conn) PeerState {
	state := Unknown
	if !withDescriptor(conn, func(fd int) { state = peekDescriptor(fd) }) {
		return Closed
	}
	return state
}

// withDescriptor calls f with the descriptor of a connection, if that is a socket. It returns false
// if the connection is closed on this side.
func withDescriptor(conn net.Conn, f func(fd int)) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// peekDescriptor reads one byte of a socket's receive buffer without consuming it.
func peekDescriptor(fd int) PeerState {
	var buffer [1]byte
	count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return NoData
	case isTransient(err):
		return Unknown
	case err != nil || count == 0:
		return Closed
	default:
		return Readable
	}
}
