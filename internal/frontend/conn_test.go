package frontend

import (
	"io"
	"net"
	"testing"
)

// textConn is a connection whose reads always return text, even once it is closed.
type textConn struct {
	net.Conn
	text string
}

func (c textConn) Read(b []byte) (int, error) { return copy(b, c.text), nil }

// Guards against serving part of a request from a connection that the node has closed: data
// that arrives after the close is discarded.
func TestLocallyClosedConnReadsEOF(t *testing.T) {
	c := newConn(textConn{text: "GET / HTTP/1.1\r\n"}, NewTracker(1, NewMemoryBudget(testMemory)))
	c.closedLocally = true
	if n, err := c.Read(make([]byte, 10)); n != 0 || err != io.EOF {
		t.Errorf("Read on a locally closed connection returned %d bytes, error %v; want 0, %v", n, err, io.EOF)
	}
}
