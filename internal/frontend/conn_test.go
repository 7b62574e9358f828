package frontend

import (
	"io"
	"net"
	"testing"
)

// readsText is a connection that has something to read, though it was closed meanwhile.
type readsText struct {
	net.Conn
	text string
}

func (c readsText) Read(b []byte) (int, error) { return copy(b, c.text), nil }

// Guards against half a request on a connection that this side has closed: what was still
// read from it is dropped.
func TestClosedConnReadsNothing(t *testing.T) {
	shut := newConn(readsText{text: "GET / HTTP/1.1\r\n"}, NewTracker(1, NewMemoryBudget(testMemory)))
	shut.shut = true
	if n, err := shut.Read(make([]byte, 10)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
