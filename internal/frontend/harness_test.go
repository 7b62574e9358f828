package frontend

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// patience bounds every wait of these tests; none of them needs nearly as long.
const patience = 20 * time.Second

// testMemory is a memory budget, in bytes, that these tests do not use up.
const testMemory = 64 << 20

// listen opens a listener on a loopback port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// receive takes what is sent to a channel, or sees it closed.
func receive[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		t.Fatalf("%s: not within %v", what, patience)
	}
	return v
}

// startServer runs a server whose handler answers each complete request with 200.
func startServer(t *testing.T, tracker *Tracker) (addr string) {
	t.Helper()
	handler := func(w http.ResponseWriter, req *http.Request) {
		if !ConnFromContext(req.Context()).RequestComplete() {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "hello")
	}
	ln := listen(t)
	server := NewServer(ln, ServerConfig{
		Handler:         http.HandlerFunc(handler),
		Tracker:         tracker,
		LongestDeadline: time.Second,
		Log:             slog.New(slog.DiscardHandler),
	})
	served := make(chan struct{})
	go func() {
		server.Serve()
		close(served)
	}()
	t.Cleanup(func() {
		server.Close()
		receive(t, "the end of Serve", served)
	})
	return ln.Addr().String()
}

// client is one keep-alive connection of a client.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial opens a client's connection.
func dial(t *testing.T, addr string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return &client{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns the status of its response.
func (c *client) get() int {
	c.t.Helper()
	if _, err := io.WriteString(c, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode
}
