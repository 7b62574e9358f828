package socket

import (
	"net"
	"syscall"
	"unsafe"
)

// Events of poll(2). Package syscall does not define them.
const (
	pollError         = 0x8
	pollHangup        = 0x10
	pollPeerClosed    = 0x2000 // POLLRDHUP
	pollInvalid       = 0x20
	pollClosedByPeer  = pollError | pollHangup | pollPeerClosed
	pollDescriptorSet = 1 // number of descriptors that PeerHasClosed polls
)

// pollDescriptor is the struct pollfd of poll(2).
type pollDescriptor struct {
	fd       int32
	events   int16
	returned int16
}

// PeerHasClosed reports whether the kernel has received the end of the connection from the peer,
// in order or by a reset, even if there is data to read before it. It returns false if that is
// not known. It consumes nothing and does not block.
func PeerHasClosed(conn net.Conn) bool {
	closed := false
	open := withDescriptor(conn, func(fd int) { closed = pollClosed(int32(fd)) })
	return closed || !open
}

// pollClosed polls one descriptor without waiting.
func pollClosed(fd int32) bool {
	descriptor := pollDescriptor{fd: fd, events: pollPeerClosed}
	var timeout syscall.Timespec
	count, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), pollDescriptorSet,
		uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	if errno != 0 || count == 0 || descriptor.returned&pollInvalid != 0 {
		return false
	}
	return descriptor.returned&pollClosedByPeer != 0
}
