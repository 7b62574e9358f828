package testsupport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
)

// OKResponse is a complete response with the body "hello".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Responder writes the response to a request, whose body has been read, to the connection. It
// reports whether the connection stays open for further requests. It is called from the
// goroutine of the connection, and may block.
type Responder func(conn net.Conn, req *http.Request, body []byte) (keepOpen bool)

// Respond writes a response with a status line's code and reason, and a body, to the connection, and
// reports that the connection stays open.
func Respond(conn net.Conn, status, body string) (keepOpen bool) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return true
}

// RespondWith returns a responder that writes the same text for each request.
func RespondWith(text string) Responder {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// RespondOK is the responder that writes [OKResponse] for each request.
func RespondOK(conn net.Conn, req *http.Request, body []byte) bool {
	return RespondWith(OKResponse)(conn, req, body)
}

// RespondAfter returns a responder that waits until release is closed and then calls respond.
func RespondAfter(release <-chan struct{}, respond Responder) Responder {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		<-release
		return respond(conn, req, body)
	}
}

// FakeServer is an HTTP server on the loopback interface that stands in for an endpoint, the
// counter or discovery. A [Responder] writes its responses byte for byte. The server records the
// requests that it has read. Its methods may be called from any goroutine.
type FakeServer struct {
	// Addr is the address of the server, as host:port.
	Addr string

	respond  Responder
	mu       sync.Mutex
	requests []string
}

// StartFakeServer starts a server that is stopped when the test ends.
func StartFakeServer(t *testing.T, respond Responder) *FakeServer {
	t.Helper()
	listener := Listen(t)
	server := &FakeServer{Addr: listener.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go server.serveConn(conn)
		}
	}()
	return server
}

// Requests returns the completely read requests, in the order in which they were read. Each has
// the form "METHOD TARGET X-TRACE-ID", with the value of the X-Trace-Id header.
func (s *FakeServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// serveConn answers the requests on one connection until it ends or the responder closes it.
func (s *FakeServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.record(req)
		if !s.respond(conn, req, body) {
			return
		}
	}
}

func (s *FakeServer) record(req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+req.Header.Get("X-Trace-Id"))
}
