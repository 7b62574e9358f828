package frontend

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// testMemory is a memory budget in bytes, larger than any of these tests needs.
const testMemory = 64 << 20

// startServer starts a server whose handler answers each request with 200, and returns its
// address. The server stops at the end of the test.
func startServer(t *testing.T, tracker *Tracker) (addr string) {
	t.Helper()
	return startServerWith(t, tracker, answerHello)
}

// answerHello accepts a request and answers it with 200.
func answerHello(w http.ResponseWriter, req *http.Request) {
	if !ConnFromContext(req.Context()).AcceptRequest() {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, "hello")
}

// startServerWith is like [startServer], with another handler.
func startServerWith(t *testing.T, tracker *Tracker, handler http.HandlerFunc) (addr string) {
	t.Helper()
	listener := testsupport.Listen(t)
	server := NewServer(listener, ServerConfig{
		Handler:         handler,
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
		testsupport.Receive(t, "the return of Serve", served)
	})
	return listener.Addr().String()
}

// client is a client's keep-alive connection.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial opens a client's connection to a server.
func dial(t *testing.T, addr string) *client {
	t.Helper()
	conn := testsupport.Dial(t, addr)
	return &client{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns the status of its response.
func (c *client) get() int {
	c.t.Helper()
	return c.send("GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n")
}

// send sends a text that completes a request and returns the status of the response.
func (c *client) send(text string) int {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c.readStatus()
}

// readStatus reads a response and returns its status.
func (c *client) readStatus() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode
}

// connect opens a connection to a listener and returns both ends.
func connect(t *testing.T, listener *Listener) (client net.Conn, accepted *Conn) {
	t.Helper()
	client, conn := testsupport.Connect(t, listener)
	return client, conn.(*Conn)
}
