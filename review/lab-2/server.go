package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// send is one request that a booking server got.
type send struct {
	at time.Time // of its first byte
	id string
}

// bookingServer is the stand-in for a booking server.
type bookingServer struct {
	id       string
	listener net.Listener
	work     time.Duration

	mu    sync.Mutex
	sends []send
	// answerText returns the text of the answer with a body, and whether the connection is of
	// further use.
	answerText func(req *http.Request, body string) (text string, usable bool)
	// repeatAfter returns how long after an answer a second copy of it follows; 0: none does.
	repeatAfter func() time.Duration
	onRepeat    func(id string, answeredAt, repeatedAt time.Time, next string, nextAt time.Time)
	ran         map[string]int // how often each request ran
}

// setRepeat makes second copies follow answers. onRepeat is told of each request that comes next on
// the connection.
func (s *bookingServer) setRepeat(after func() time.Duration, onRepeat func(string, time.Time, time.Time, string, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeatAfter = after
	s.onRepeat = onRepeat
}

// setAnswerText replaces answerText.
func (s *bookingServer) setAnswerText(answerText func(*http.Request, string) (string, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerText = answerText
}

// bodyFor returns the body that a booking server makes for a request.
func bodyFor(id string) string {
	return fmt.Sprintf("answer-to-%s-0123456789abcdefghijklmnopqrstuvwxyz-end", id)
}

// goodAnswer is the usual answerText.
func goodAnswer(_ *http.Request, body string) (string, bool) {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true
}

func startBookingServer(id string, work time.Duration) (*bookingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &bookingServer{id: id, listener: listener, work: work, answerText: goodAnswer,
		repeatAfter: func() time.Duration { return 0 }, ran: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// startBookingServers starts some booking servers and returns them with their entries in the list.
func startBookingServers(count int, work time.Duration) ([]*bookingServer, []instance, error) {
	var servers []*bookingServer
	var instances []instance
	for i := range count {
		s, err := startBookingServer(fmt.Sprintf("s-%d", i), work)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		instances = append(instances, instance{ID: s.id, HostPort: s.listener.Addr().String(), Zone: "one",
			MachineType: "std-2core", Lifecycle: "SERVING", Weight: 1})
	}
	return servers, instances, nil
}

// repeat is an answer that was followed by a second copy.
type repeat struct {
	id                     string
	answeredAt, repeatedAt time.Time
}

// serve answers the requests on one connection. The system may hold small writes back, as it does
// by default (Go turns that off unless told otherwise).
func (s *bookingServer) serve(conn net.Conn) {
	defer conn.Close()
	conn.(*net.TCPConn).SetNoDelay(false)
	reader := bufio.NewReader(conn)
	var last *repeat
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		at := time.Now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Trace-Id")
		if id == "" {
			io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.sends = append(s.sends, send{at: at, id: id})
		answerText, repeatAfter, onRepeat := s.answerText, s.repeatAfter, s.onRepeat
		s.mu.Unlock()
		if last != nil {
			onRepeat(last.id, last.answeredAt, last.repeatedAt, id, at)
			last = nil
		}
		time.Sleep(s.work)
		text, usable := answerText(req, bodyFor(id))
		if !strings.Contains(text, neverRan) {
			s.mu.Lock()
			s.ran[id]++
			s.mu.Unlock()
		}
		answeredAt := time.Now()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if !usable {
			io.Copy(io.Discard, conn) // the connection stays open, but nothing on it is answered
			return
		}
		if delay := repeatAfter(); delay > 0 {
			time.Sleep(delay)
			last = &repeat{id: id, answeredAt: answeredAt, repeatedAt: time.Now()}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// neverRan is the field of an answer that says that the request was not run.
const neverRan = "X-Never-Ran: 1"

// sendsBetween returns the requests whose first byte came after from and not after to.
func (s *bookingServer) sendsBetween(from, to time.Time) []send {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []send
	for _, one := range s.sends {
		if one.at.After(from) && !one.at.After(to) {
			found = append(found, one)
		}
	}
	return found
}
