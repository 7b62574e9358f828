package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// exchangeTest is a response of an endpoint, after which the connection ends in order, and the
// result that the exchange must have.
type exchangeTest struct {
	name, response string
	outcome        policy.Outcome
	reusable       bool
}

// run checks the outcome, and that only a complete response with the body "hello" succeeds.
func (test exchangeTest) run(t *testing.T) {
	addr := testsupport.StartFakeServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		io.WriteString(conn, test.response)
		return false
	}).Addr
	response := NewConn(testsupport.Dial(t, addr), nil, Process{Addr: addr}).Exchange(getRequest("/"), reserveAll)
	if response.Outcome != test.outcome || response.Reusable != test.reusable {
		t.Errorf("outcome %d, reusable %v; want %d, %v", response.Outcome, response.Reusable, test.outcome, test.reusable)
	}
	if (response.Outcome == policy.Succeeded) != (string(response.Body) == "hello") {
		t.Errorf("outcome %d with body %q; want %q exactly if the outcome is %d", response.Outcome, response.Body, "hello", policy.Succeeded)
	}
}

// TestExchangeOutcomes checks the outcome of each way in which an exchange can end. A
// request counts as never run only if that is proven, and only a complete response
// succeeds.
func TestExchangeOutcomes(t *testing.T) {
	for _, test := range []exchangeTest{
		{"succeeded", testsupport.OKResponse, policy.Succeeded, true},
		{"succeeded, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", policy.Succeeded, true},
		{"succeeded, connection closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", policy.Succeeded, false},
		{"succeeded after 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + testsupport.OKResponse, policy.Succeeded, true},
		{"too many 1xx", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 16) + testsupport.OKResponse, policy.ConnectionLost, false},
		{"response followed by another", testsupport.OKResponse + testsupport.OKResponse, policy.Succeeded, false},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.ServerError, true},
		{"503 with X-Never-Ran", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded, true},
		{"504 with X-Never-Ran, deadline passed before it ran", "HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded, true},
		{"503 without X-Never-Ran", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.ServerError, true},
		{"500 with X-Never-Ran", "HTTP/1.1 500 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.ServerError, true},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", policy.ConnectionLost, false},
		{"truncated 503 with X-Never-Ran", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nhello", policy.ConnectionLost, false},
		{"body length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello", policy.ConnectionLost, false},
		{"response followed by a duplicate", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", policy.Succeeded, false},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-", policy.ConnectionLost, false},
		{"no response", "", policy.ConnectionLost, false},
		{"invalid bytes", "\x00\xff\x00\r\n\r\n", policy.ConnectionLost, false},
		{"body too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes+1, strings.Repeat("x", maxBodyBytes+1)), policy.ConnectionLost, false},
		{"head too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*(maxBodyBytes+maxResponseHeadBytes)), policy.ConnectionLost, false},
	} {
		t.Run(test.name, test.run)
	}
}

// TestResponseWithWrongLengthIsNoSuccess guards against serving part of a body as a whole one: a
// response whose length does not fit its body is damaged, and proves nothing about the request.
func TestResponseWithWrongLengthIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	const copyHead = head + "Content-Type: text/plain\r\n\r\n"
	large := strings.Repeat("x", 3*readBufferSize)
	for _, test := range []exchangeTest{
		{"length shorter than the body", head + "\r\nhello and more", policy.ConnectionLost, false},
		{"one byte beyond the length", head + "\r\nhelloH", policy.ConnectionLost, false},
		{"length of 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nhello", policy.ConnectionLost, false},
		{"length shorter than a large body", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large)/2, large), policy.ConnectionLost, false},
		{"length beyond the body, up to a second copy", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", policy.ConnectionLost, false},
		{"short length of 503 with X-Never-Ran", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nfull", policy.ConnectionLost, false},
		{"another response behind", head + "\r\nhello" + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", policy.ConnectionLost, false},
		{"start of a copy behind", copyHead + "hello" + copyHead[:len(copyHead)/2], policy.Succeeded, false},
		{"copy of a chunked response behind", strings.Repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 2), policy.Succeeded, false},
		{"length and chunked encoding", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", policy.ConnectionLost, false},
		{"length and chunked encoding that fit", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", policy.ConnectionLost, false},
		{"length and chunked encoding after 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", policy.ConnectionLost, false},
		{"length and chunked encoding in a long head", head + "X: " + large + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", policy.ConnectionLost, false},
		{"length and chunked encoding, HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe", policy.ConnectionLost, false},
		{"length with a space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\nhello", policy.ConnectionLost, false},
	} {
		t.Run(test.name, test.run)
	}
}

// TestUnframedResponseOutcomes checks the same for responses without a length, whose body
// ends where the endpoint closes the connection in order.
func TestUnframedResponseOutcomes(t *testing.T) {
	for _, test := range []exchangeTest{
		{"body without length", "HTTP/1.1 200 OK\r\n\r\nhello", policy.Succeeded, false},
		{"body without length after 1xx", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello", policy.Succeeded, false},
		{"503 with X-Never-Ran without length", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n\r\nfull", policy.Overloaded, false},
		{"body without length, too long", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxBodyBytes+1), policy.ConnectionLost, false},
		{"body without length beyond the limit of head and body",
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseHeadBytes) + "\r\n\r\n" + strings.Repeat("x", maxBodyBytes), policy.ConnectionLost, false},
		{"body without length, HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", policy.ConnectionLost, false},
	} {
		t.Run(test.name, test.run)
	}
}

// TestResetIsNoEndOfAnUnframedBody guards against taking a truncated response for a complete one: a
// body without length ends where the endpoint closes the connection, but not where it is reset.
func TestResetIsNoEndOfAnUnframedBody(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel",
		"HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n\r\nfull",
	} {
		addr := testsupport.StartFakeServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
			io.WriteString(conn, text)
			conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
			return false
		}).Addr
		response := NewConn(testsupport.Dial(t, addr), nil, Process{Addr: addr}).Exchange(getRequest("/"), reserveAll)
		if response.Outcome != policy.ConnectionLost || response.Reusable {
			t.Errorf("%q and a reset: outcome %d, reusable %v; want %d, false", text, response.Outcome, response.Reusable, policy.ConnectionLost)
		}
	}
}

// TestPartialWriteProvesRequestNeverRan checks that a connection that breaks before the
// request's last byte is written proves that the request never ran.
func TestPartialWriteProvesRequestNeverRan(t *testing.T) {
	listener := testsupport.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		io.ReadFull(conn, make([]byte, 1))
		conn.Close() // resets the connection, as there are unread bytes
	}()
	addr := listener.Addr().String()
	text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n" + strings.Repeat("x", 100000000)
	response := NewConn(testsupport.Dial(t, addr), nil, Process{Addr: addr}).Exchange(net.Buffers{[]byte(text)}, reserveAll)
	if response.Outcome != policy.ConnectFailed || response.Reusable {
		t.Errorf("outcome %d, reusable %v; want %d, false", response.Outcome, response.Reusable, policy.ConnectFailed)
	}
}
