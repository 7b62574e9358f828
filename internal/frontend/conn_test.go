package frontend

import (
	"io"
	"net"
	"testing"
)

// textConn is a connection that has something to read, though it was closed meanwhile.
type textConn struct {
	net.Conn
	text string
}

func (c textConn) Read(b []byte) (int, error) { return copy(b, c.text), nil }

// Guards against half a request on a connection that this side has closed: what was still
// read from it is dropped.
func TestLocallyClosedConnReadsEOF(t *testing.T) {
	c := newConn(textConn{text: "GET / HTTP/1.1\r\n"}, NewTracker(1, NewMemoryBudget(testMemory)))
	c.closedLocally = true
	if n, err := c.Read(make([]byte, 10)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
