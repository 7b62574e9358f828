package testsupport

import (
	"net"
	"testing"
	"time"
)

// Listen opens a listener at a free port of the loopback interface. It is closed when the test
// ends.
func Listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.(*net.TCPListener)
}

// Dial opens a connection whose reads and writes fail after [MaxWait]. It is closed when the test
// ends.
func Dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(MaxWait))
	return conn.(*net.TCPConn)
}

// Connect opens a connection to a listener, accepts it and returns both ends. They are closed when
// the test ends.
func Connect(t *testing.T, listener net.Listener) (client, accepted net.Conn) {
	t.Helper()
	client = Dial(t, listener.Addr().String())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted
}
