package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// execution is one request that a booking server has read completely.
type execution struct {
	number int64  // of all executions
	server string // id of the booking server
	id     string // of the request
	class  string
	charge string // the true units, told with the answer; unless changed, those that the request names
}

// body returns the body of the answer, which no other execution has.
func (x *execution) body() string {
	return fmt.Sprintf("answer %d of %s to %s %s", x.number, x.server, x.class, x.id)
}

// responder runs a request and writes the answer. It reports whether the connection stays open.
type responder func(conn net.Conn, x *execution) bool

// server is a booking server.
type server struct {
	id       string
	listener net.Listener
	record   *record
	respond  responder
}

// executions counts the executions at all booking servers.
var executions atomic.Int64

// startServer starts a booking server.
func startServer(id string, record *record, respond responder) (*server, error) {
	s := &server{id: id, record: record, respond: respond}
	var err error
	s.listener, err = serveConns(s.serve)
	return s, err
}

// entry returns the server's entry in the list of discovery.
func (s *server) entry(zone string) instance {
	return instance{ID: s.id, HostPort: s.listener.Addr().String(), Zone: zone, Machine: "std-2core",
		Lifecycle: "SERVING", Weight: 1}
}

// serve answers the requests on one connection.
func (s *server) serve(conn net.Conn) {
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
		x := &execution{number: executions.Add(1), server: s.id, id: req.Header.Get("X-Trace-Id"), class: classOfPath(req.URL.Path),
			charge: unitsOf(req.Header.Get("Api-Terms"))}
		s.record.printf("%s runs %s %s as execution %d", s.id, x.class, x.id, x.number)
		if !s.respond(conn, x) {
			return
		}
	}
}

// work takes the time that a request of a class takes on a quiet booking server.
func work(class string) {
	shortest, longest := 75*time.Millisecond, 130*time.Millisecond
	if class == bookLesson {
		shortest, longest = 110*time.Millisecond, 200*time.Millisecond
	}
	time.Sleep(shortest + time.Duration(rand.Int64N(int64(longest-shortest))))
}

// unitsOf returns the units in the terms of a request.
func unitsOf(terms string) string {
	units, _, _ := strings.Cut(strings.TrimPrefix(terms, "units="), ",")
	return units
}

// writeWithLength writes an answer with a length.
func writeWithLength(conn net.Conn, x *execution) error {
	body := x.body()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nApi-Charge: %s\r\nContent-Length: %d\r\n\r\n%s",
		x.charge, len(body), body)
	return err
}

// writeWithoutLength writes an answer without a length; the end of the connection is its end.
func writeWithoutLength(conn net.Conn, x *execution) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nApi-Charge: %s\r\nConnection: close\r\n\r\n%s",
		x.charge, x.body())
	return err
}
