package frontend

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards the read deadlines of a connection with a read-ahead: Read reports a deadline that
// has passed, returns data again once another deadline is set, and fails after the close.
func TestReadAheadDeadline(t *testing.T) {
	serverConn, clientConn := net.Pipe()
	defer clientConn.Close()
	disconnected := make(chan struct{})
	a := newReadAhead(serverConn, NewMemoryBudget(testMemory), disconnected)
	a.setReadDeadline(time.Unix(1, 0))
	if _, _, err := a.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("Read after its deadline: error %v, want a timeout", err)
	}
	a.setReadDeadline(time.Time{})
	go io.WriteString(clientConn, "x")
	b := make([]byte, 2)
	if n, _, err := a.Read(b); n != 1 || err != nil || b[0] != 'x' {
		t.Errorf("Read after the deadline was removed: %q, error %v; want %q", b[:n], err, "x")
	}
	serverConn.Close()
	a.close()
	testsupport.Receive(t, "the end of the connection", disconnected)
	if _, _, err := a.Read(b); err == nil {
		t.Error("Read on a closed connection returned no error")
	}
}

// Guards the limits on buffered data: one complete request, and beyond the first chunk no
// more than the memory budget allows.
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
			t.Errorf("%d bytes buffered, %d reserved, %d free: reserve() = %v, want %v", c.buffered, c.reserved, c.free, got, c.wantMore)
		}
		if free := memory.Free(); free < 0 || free+a.reserved != int64(c.free+c.reserved) {
			t.Errorf("%d bytes buffered, %d reserved, %d free: afterwards %d free, %d reserved; want the same total", c.buffered, c.reserved, c.free, free, a.reserved)
		}
	}
}

// scriptedConn is a connection whose reads return when the test sends their results.
type scriptedConn struct {
	net.Conn
	reads   chan struct{} // receives a value when a read starts
	results chan error    // the error of a read; nil: it returns a byte
}

func (c scriptedConn) Read(b []byte) (int, error) {
	c.reads <- struct{}{}
	if err := <-c.results; err != nil {
		return 0, err
	}
	return copy(b, "x"), nil
}

func (scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Guards the detection of disconnects: net/http removes the read deadline at the end of each
// request, and a read that hit that deadline may return afterwards. Its timeout must not
// stop the read-ahead.
func TestReadAheadIgnoresTimeoutOfReplacedDeadline(t *testing.T) {
	c := scriptedConn{reads: make(chan struct{}), results: make(chan error)}
	a := newReadAhead(c, NewMemoryBudget(testMemory), make(chan struct{}))
	testsupport.Receive(t, "the first read", c.reads)
	a.setReadDeadline(time.Time{})
	c.results <- os.ErrDeadlineExceeded
	testsupport.Receive(t, "the read after the timeout", c.reads)
	c.results <- nil
	b := make([]byte, 2)
	if n, _, err := a.Read(b); n != 1 || err != nil {
		t.Errorf("Read returned %q, error %v; want one byte", b[:n], err)
	}
	testsupport.Receive(t, "the last read", c.reads)
	c.results <- io.EOF
}
