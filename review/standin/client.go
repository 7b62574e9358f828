package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Names of the classes in the settings.
const (
	timetableRead = "timetable-read"
	bookLesson    = "book-lesson"
)

// answerSlack is how long after a request's time an answer may come.
const answerSlack = 550 * time.Millisecond

// classOfPath returns the class of a request's path.
func classOfPath(path string) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return class
}

// newID returns a new request id.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deadlineOf returns how long clients wait for a class.
func deadlineOf(class string) time.Duration {
	if class == bookLesson {
		return 4 * time.Second
	}
	return 2500 * time.Millisecond
}

// requestText returns the text of a client's request that takes some units.
func requestText(class, id string, customer, units int) string {
	method, length, body := http.MethodGet, "", ""
	if class == bookLesson {
		method = http.MethodPost
		body = strings.Repeat("lesson ", 30)
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x?week=49 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"Api-Plan: institutional\r\nApi-Customer: %016x\r\nX-Expires-In-Ms: %d\r\n%sApi-Terms: units=%d,spread=%d,first=0\r\n\r\n%s",
		method, class, id, class, customer, deadlineOf(class).Milliseconds(), length, units, gateways, body)
}

// clientConn is a client's connection to an edge node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialNode opens a connection to an edge node.
func dialNode(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is an edge node's answer.
type answer struct {
	status int
	body   string
	keep   bool // the connection may carry another request
}

// readAnswer reads the answer to a request of a class.
func (c *clientConn) readAnswer(class string) (answer, error) {
	c.SetReadDeadline(time.Now().Add(deadlineOf(class) + answerSlack))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), keep: !resp.Close}, err
}

// roundTrip sends a request that takes some units and reads the answer.
func (c *clientConn) roundTrip(class, id string, customer, units int) (answer, error) {
	if _, err := io.WriteString(c, requestText(class, id, customer, units)); err != nil {
		return answer{}, err
	}
	return c.readAnswer(class)
}

// isOpen reports whether the edge node has neither ended nor reset the connection, as far as this
// machine's kernel knows. It reads nothing.
func (c *clientConn) isOpen() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		count, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == nil && count > 0
	})
	return err == nil && open
}
