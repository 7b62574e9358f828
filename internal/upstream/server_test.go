package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
)

// testTimeout bounds every wait of these tests; none of them needs nearly as long.
const testTimeout = 20 * time.Second

// okResponse is a complete response with the body "hello".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// startServer accepts connections and has each request on them answered by serve, which
// reports whether the connection stays open. It returns the server's address.
func startServer(t *testing.T, serve func(conn net.Conn, req *http.Request) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go serveConn(conn, serve)
		}
	}()
	return listener.Addr().String()
}

func serveConn(conn net.Conn, serve func(conn net.Conn, req *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !serve(conn, req) {
			return
		}
	}
}

// dial opens a connection whose reads and writes end within the test's timeout.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	netConn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { netConn.Close() })
	netConn.SetDeadline(time.Now().Add(testTimeout))
	return netConn
}

// getRequest is a request without a body.
func getRequest(path string) net.Buffers {
	return net.Buffers{[]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")}
}

// newTestPool returns a pool with the settings of a usual site that knows one serving
// endpoint, "s-0" at addr.
func newTestPool(addr string) (*Pool, *Endpoint) {
	pool := NewPool(&config.Settings{
		Rules:  config.Rules{DrainGrace: 2 * time.Second},
		Limits: config.Limits{DialTimeout: 250 * time.Millisecond, IdleClose: 15 * time.Second},
	}, 0)
	pool.UpdateEndpoint(EndpointUpdate{ID: "s-0", Addr: addr, State: policy.Serving}, time.Now())
	return pool, pool.Endpoint("s-0")
}

// addIdleConn puts an idle connection to an endpoint into the pool.
func addIdleConn(t *testing.T, pool *Pool, endpoint *Endpoint) {
	t.Helper()
	if !pool.Reserve() {
		t.Fatal("no slot for a connection")
	}
	pool.Release(NewConn(dial(t, endpoint.Addr()), endpoint, endpoint.Addr()))
}
