package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcomeCounts counts the requests of all clients by how they ended.
type outcomeCounts struct {
	mu       sync.Mutex
	sent     int
	byStatus map[int]int
	noAnswer int
	wrong    []string // descriptions of answers 200 with another body than the one made for the request
	nodeByID map[string]string
	booked   map[string]int // status of the answer to each request of the class book-lesson; 0: none so far
}

func newOutcomeCounts() *outcomeCounts {
	return &outcomeCounts{byStatus: map[int]int{}, nodeByID: map[string]string{}, booked: map[string]int{}}
}

func (c *outcomeCounts) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("sent %d, answers by status %v, without an answer %d, wrong answers %d", c.sent, c.byStatus, c.noAnswer, len(c.wrong))
}

// begin counts a request that is about to be sent.
func (c *outcomeCounts) begin(id, node string, isBooking bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isBooking {
		c.booked[id] = 0
	}
	c.sent++
	c.nodeByID[id] = node
}

// end counts how a request ended; status 0 stands for no answer.
func (c *outcomeCounts) end(id, node string, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == 0 {
		c.noAnswer++
		return
	}
	c.byStatus[status]++
	if _, isBooking := c.booked[id]; isBooking {
		c.booked[id] = status
	}
	if made := bodyFor(id); status == http.StatusOK && body != made {
		c.wrong = append(c.wrong, fmt.Sprintf("%s %s: the client got 200 with %d bytes %q, the server made %d bytes %q",
			node, id, len(body), body, len(made), made))
	}
}

const (
	bookLessonShare = 0.26                   // of the requests
	answerSlack     = 500 * time.Millisecond // an answer may come this long after the client's time
)

// client sends requests to one edge node, one at a time on each connection, until stop is closed.
type client struct {
	node   *node
	counts *outcomeCounts
	every  time.Duration // mean time between two requests of this connection
	number int
}

func (c *client) run(stop <-chan struct{}) {
	var conn *clientConn
	for {
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(c.every))):
			conn = c.request(conn)
		case <-stop:
			conn.close()
			return
		}
	}
}

// clientConn is a connection of a client; nil stands for none.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // it has carried a request
}

func (c *client) dial() *clientConn {
	conn, err := net.Dial("tcp", c.node.address)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (conn *clientConn) close() {
	if conn != nil {
		conn.Close()
	}
}

// newRequest returns the id and the text of a request, and how long its client waits.
func (c *client) newRequest() (id, text string, wait time.Duration) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	customer := c.node.rank*c.node.deployment.customersPerNode + c.number%c.node.deployment.customersPerNode
	head := fmt.Sprintf("Host: api.internal\r\nX-Trace-Id: %s\r\nApi-Plan: institutional\r\nApi-Customer: %016x\r\n"+
		"Api-Terms: units=1,spread=%d,first=%d\r\n", id, 0xb4d60000+customer, c.node.deployment.customerSpread, c.node.rank)
	if rand.Float64() < bookLessonShare {
		return id, "POST /book-lesson HTTP/1.1\r\nX-Qos: book-lesson\r\nX-Expires-In-Ms: 4000\r\nContent-Length: 10\r\n" +
			head + "\r\n0123456789", 4 * time.Second
	}
	return id, "GET /timetable-read/list?week=3 HTTP/1.1\r\nX-Qos: timetable-read\r\nX-Expires-In-Ms: 2500\r\n" +
		head + "\r\n", 2500 * time.Millisecond
}

// request sends one request, on conn if there is one, and waits for its answer. If the connection
// had carried a request before and ends without a byte of an answer, the request is sent once more
// on a new one. It returns the connection if it can carry another request, else nil.
func (c *client) request(conn *clientConn) *clientConn {
	id, text, wait := c.newRequest()
	c.counts.begin(id, c.node.name(), strings.HasPrefix(text, http.MethodPost))
	for {
		reused := conn != nil && conn.used
		if conn == nil {
			conn = c.dial()
		}
		if conn == nil {
			c.counts.end(id, c.node.name(), 0, "")
			return nil
		}
		conn.used = true
		conn.SetDeadline(time.Now().Add(wait + answerSlack))
		status, body, keep, ended := conn.roundTrip(text)
		if reused && ended {
			conn.close()
			conn = nil
			continue
		}
		c.counts.end(id, c.node.name(), status, body)
		if !keep {
			conn.close()
			return nil
		}
		return conn
	}
}

// roundTrip writes a request and reads the answer. ended reports that the connection ended without
// a byte of an answer.
func (conn *clientConn) roundTrip(text string) (status int, body string, keep, ended bool) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", false, true
	}
	if _, err := conn.reader.Peek(1); err != nil {
		var netError net.Error
		return 0, "", false, !errors.As(err, &netError) || !netError.Timeout()
	}
	status, body, keep = readAnswer(conn.reader)
	return status, body, keep, false
}

// readAnswer reads one answer; status 0 stands for none.
func readAnswer(reader *bufio.Reader) (status int, body string, keep bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", false
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false
	}
	return resp.StatusCode, string(text), !resp.Close
}

// startClients lets clients send to each of the nodes at a rate. The result ends them.
func startClients(nodes []*node, counts *outcomeCounts, perSecond float64) (stopAll func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, n := range nodes {
		for number := range n.deployment.connsPerNode {
			every := time.Duration(float64(n.deployment.connsPerNode) / perSecond * float64(time.Second))
			c := &client{node: n, counts: counts, every: every, number: number}
			running.Go(func() { c.run(stop) })
		}
	}
	return func() {
		close(stop)
		running.Wait()
	}
}
