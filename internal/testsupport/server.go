package testsupport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
)

// OKResponse is a complete response with the body "hello".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Responder answers one request, of which the body has been read, by writing to its connection.
// It reports whether the connection stays open for further requests. It is called from a
// goroutine for each connection, and may block.
type Responder func(conn net.Conn, req *http.Request, body []byte) (keepOpen bool)

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

// RespondAfter returns a responder that waits until release is closed and then answers as respond
// does.
func RespondAfter(release <-chan struct{}, respond Responder) Responder {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		<-release
		return respond(conn, req, body)
	}
}

// FakeServer is an HTTP server on the loopback interface whose responses, byte for byte, are
// those of a [Responder]. It takes the place of an endpoint, of the counter or of discovery, and
// records the requests that it read. Its methods may be called from any goroutine.
type FakeServer struct {
	// Addr is its host and port.
	Addr string

	respond  Responder
	mu       sync.Mutex
	requests []string
}

// StartFakeServer starts a server that ends with the test.
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

// Requests returns method, target and X-Trace-Id, with a space between them, of each request
// that was read to its end, in the order in which they were read.
func (s *FakeServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// serveConn answers the requests on one connection.
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
