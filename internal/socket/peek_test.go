package socket

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// TestPeekStates checks the states of a peer, and that Peek consumes no data.
func TestPeekStates(t *testing.T) {
	listener := testsupport.Listen(t)
	peer := testsupport.Dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testsupport.MaxWait))

	if state := Peek(conn); state != NoData {
		t.Errorf("before the peer writes: state %d, want %d", state, NoData)
	}
	io.WriteString(peer, "x")
	waitForState(t, conn, Readable)
	peer.Close()
	if state := Peek(conn); state != Readable {
		t.Errorf("closed with a byte to read: state %d, want %d", state, Readable)
	}
	text, err := io.ReadAll(conn)
	if err != nil || string(text) != "x" {
		t.Errorf("ReadAll after Peek: %q, error %v; want %q", text, err, "x")
	}
	waitForState(t, conn, Closed)
	conn.Close()
	if state := Peek(conn); state != Closed {
		t.Errorf("closed on this side: state %d, want %d", state, Closed)
	}
}

// TestPeekOfNonSocketIsUnknown checks that the state of a connection that is not a socket
// is unknown.
func TestPeekOfNonSocketIsUnknown(t *testing.T) {
	conn, peer := net.Pipe()
	defer conn.Close()
	defer peer.Close()
	if state := Peek(conn); state != Unknown {
		t.Errorf("state %d, want %d", state, Unknown)
	}
}

// waitForState waits until Peek returns the wanted state.
func waitForState(t *testing.T, conn net.Conn, want PeerState) {
	t.Helper()
	testsupport.Eventually(t, fmt.Sprintf("peer state %d", want), func() bool { return Peek(conn) == want })
}

// TestPeerHasClosedBehindData checks that the end of a connection is seen behind data that nobody has
// read, after an orderly close and after a reset.
func TestPeerHasClosedBehindData(t *testing.T) {
	for name, reset := range map[string]bool{"close": false, "reset": true} {
		listener := testsupport.Listen(t)
		peer, conn := testsupport.Connect(t, listener)
		io.WriteString(peer, "x")
		waitForState(t, conn, Readable)
		if PeerHasClosed(conn) {
			t.Errorf("%s: the peer counts as closed before it closes", name)
		}
		if reset {
			peer.(*net.TCPConn).SetLinger(0)
		}
		peer.Close()
		testsupport.Eventually(t, name+" of the peer", func() bool { return PeerHasClosed(conn) })
	}
}
