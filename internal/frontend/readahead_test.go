package frontend

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards the deadlines of a connection that is read ahead: one that passes is reported to
// who reads, another ends that, and what comes afterwards is read.
func TestReadAheadDeadline(t *testing.T) {
	serverConn, clientConn := net.Pipe()
	defer clientConn.Close()
	disconnected := make(chan struct{})
	a := newReadAhead(serverConn, NewMemoryBudget(testMemory), disconnected)
	a.setReadDeadline(time.Unix(1, 0))
	if _, err := a.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("past its deadline: %v", err)
	}
	a.setReadDeadline(time.Time{})
	go io.WriteString(clientConn, "x")
	b := make([]byte, 2)
	if n, err := a.Read(b); n != 1 || err != nil || b[0] != 'x' {
		t.Errorf("after that: %q, %v", b[:n], err)
	}
	serverConn.Close()
	a.close()
	testsupport.Receive(t, "the end", disconnected)
	if _, err := a.Read(b); err == nil {
		t.Error("a closed connection is read")
	}
}

// Guards the bounds of what is kept: one whole request, and but for the first chunk no more
// than the memory budget allows.
func TestReadAheadBounds(t *testing.T) {
	for _, c := range []struct {
		buffered, reserved, free int
		wantMore                 bool
	}{
		{0, 0, 0, true},
		{1, 0, 0, false},
		{1, 0, ReadAheadChunkBytes, true},
		{ReadAheadChunkBytes, ReadAheadChunkBytes, 0, true},
		{ReadAheadChunkBytes + 1, ReadAheadChunkBytes, 0, false},
		{MaxReadAheadBytes - 1, 0, MaxReadAheadBytes, true},
		{MaxReadAheadBytes, 0, 2 * MaxReadAheadBytes, false},
	} {
		memory := NewMemoryBudget(int64(c.free))
		a := &readAhead{memory: memory, buffer: make([]byte, c.buffered), reserved: int64(c.reserved)}
		if got := a.reserve(); got != c.wantMore {
			t.Errorf("%d bytes kept, %d reserved, %d free: more is read %v", c.buffered, c.reserved, c.free, got)
		}
		if free := memory.Free(); free < 0 || free+a.reserved != int64(c.free+c.reserved) {
			t.Errorf("%d bytes kept, %d reserved, %d free: now %d free, %d reserved", c.buffered, c.reserved, c.free, free, a.reserved)
		}
	}
}

// scriptedConn is a connection whose reads return when the test says so.
type scriptedConn struct {
	net.Conn
	reads   chan struct{}
	results chan error
}

func (c scriptedConn) Read(b []byte) (int, error) {
	c.reads <- struct{}{}
	if err := <-c.results; err != nil {
		return 0, err
	}
	return copy(b, "x"), nil
}

func (scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Guards the watch for a client's disconnecting against a deadline that is lifted while the
// read that met it returns, as the library does at the end of each request.
func TestReadAheadIgnoresTimeoutOfReplacedDeadline(t *testing.T) {
	c := scriptedConn{reads: make(chan struct{}), results: make(chan error)}
	a := newReadAhead(c, NewMemoryBudget(testMemory), make(chan struct{}))
	testsupport.Receive(t, "the read", c.reads)
	a.setReadDeadline(time.Time{})
	c.results <- os.ErrDeadlineExceeded
	testsupport.Receive(t, "the reading on", c.reads)
	c.results <- nil
	b := make([]byte, 2)
	if n, err := a.Read(b); n != 1 || err != nil {
		t.Errorf("read %q, %v", b[:n], err)
	}
	testsupport.Receive(t, "the read", c.reads)
	c.results <- io.EOF
}
