package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"

	"swiftpitch/internal/config"
	"swiftpitch/internal/decimal"
	"swiftpitch/internal/httpresponse"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/socket"
)

const (
	// maxResponseHeadBytes limits a response's head and framing in bytes, including
	// interim responses.
	maxResponseHeadBytes = 32 << 10
	// maxBodyBytes limits a response's body in bytes.
	maxBodyBytes = config.MaxBodyBytes
	// minCopyBytes is the least part of a response's copy that is recognized, in bytes. The end of a
	// body hardly has as many in common with a head.
	minCopyBytes = len("HTTP/1.1 200")
	// UnreservedBodyBytes is how much of a response's body is read without a reservation.
	UnreservedBodyBytes = 4 << 10
)

var (
	errBodyTooLong    = errors.New("response body too long")
	errDataFollows    = errors.New("data follows the response, whose body may be longer than its stated length")
	errNoMemory       = errors.New("no memory for the response body")
	errUnframedHTTP10 = errors.New("HTTP/1.0 response without Content-Length: its Transfer-Encoding, if any, is not decoded")
)

// Response is the result of an exchange.
type Response struct {
	Outcome     policy.Outcome
	Body        []byte   // nil unless Outcome is [policy.Succeeded]
	ContentType []string // values of the Content-Type header; nil: no header, or Body is nil
	LoadReport  policy.LoadReport
	ActualUnits float64 // quota units that the request actually took; 0: not reported
	Reusable    bool    // the connection may carry another request
}

// ReserveMemory reserves memory, in bytes, for a response's body that is longer than
// [UnreservedBodyBytes]. It may block. If it returns false, the body is not read.
type ReserveMemory func(bytes int64) bool

// Exchange writes one request and reads the whole response. It blocks until the response
// is complete or the connection breaks, is closed or passes its deadline. The outcome
// says that the request never ran ([policy.ConnectFailed], [policy.Overloaded]) only if
// that is certain; a damaged response is no proof. The memory that reserve has reserved
// belongs to the caller, whatever the outcome.
func (c *Conn) Exchange(request net.Buffers, reserve ReserveMemory) Response {
	if complete, err := c.write(request); err != nil {
		if !complete {
			return Response{Outcome: policy.ConnectFailed}
		}
		return Response{Outcome: policy.ConnectionLost}
	}
	response, err := c.readResponse(reserve)
	if err != nil {
		return Response{Outcome: policy.ConnectionLost}
	}
	if response.Reusable {
		// Data that the endpoint still holds back must come while the connection is idle.
		socket.AcknowledgeNow(c.Conn)
	}
	return response
}

// readResponse reads the whole response. An error tells that the response is damaged or incomplete.
func (c *Conn) readResponse(reserve ReserveMemory) (Response, error) {
	c.limit.N = maxResponseHeadBytes + maxBodyBytes
	defer c.reader.ReleaseHead()
	head, err := c.readHead()
	if err != nil {
		return Response{}, err
	}
	body, err := c.readBody(head, reserve)
	if err != nil {
		return Response{}, err
	}
	following, err := c.dataFollowing(head)
	if err != nil {
		return Response{}, err
	}
	if len(following) > 0 && !c.isCopyOfResponse(following, head, body) {
		return Response{}, errDataFollows
	}
	response := classify(head, body)
	response.Reusable = !head.Close && len(following) == 0
	return response, nil
}

// write writes a request. Apart from the error it reports whether all of the request was
// written, because an endpoint does not run a request whose last byte it never received.
func (c *Conn) write(request net.Buffers) (complete bool, err error) {
	length := int64(0)
	for _, part := range request {
		length += int64(len(part))
	}
	written, err := request.WriteTo(c.Conn)
	return written >= length, err
}

// readHead reads the head of the final response.
func (c *Conn) readHead() (*http.Response, error) {
	head, err := c.reader.ReadHead()
	switch {
	case err != nil:
		return nil, err
	case head.ContentLength > maxBodyBytes:
		return nil, errBodyTooLong
	case httpresponse.IsUnframed(head) && !head.ProtoAtLeast(1, 1):
		return nil, errUnframedHTTP10
	}
	return head, nil
}

// readBody reads a response's body completely. An unframed body is complete if the endpoint
// closes the connection in order; a reset is a read error.
func (c *Conn) readBody(head *http.Response, reserve ReserveMemory) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(head.Body, UnreservedBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > UnreservedBodyBytes {
		size := head.ContentLength
		if size < 0 {
			size = maxBodyBytes
		}
		if !reserve(size) {
			return nil, errNoMemory
		}
		body, err = readRest(head.Body, body, size)
		if err != nil {
			return nil, err
		}
	}
	limitReached := httpresponse.IsUnframed(head) && c.limit.N <= 0 // the connection may not have ended there
	if len(body) > maxBodyBytes || limitReached {
		return nil, errBodyTooLong
	}
	return body, nil
}

// readRest reads a body of up to size bytes to its end, or one byte more than size. start is what
// was read before.
func readRest(reader io.Reader, start []byte, size int64) ([]byte, error) {
	body := make([]byte, len(start), size+1)
	copy(body, start)
	for len(body) < cap(body) {
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// dataFollowing returns the data behind a response that has arrived so far. It does not block.
func (c *Conn) dataFollowing(head *http.Response) ([]byte, error) {
	following := c.reader.Following()
	if len(following) > 0 || c.reader.SourceDrained() || httpresponse.IsUnframed(head) {
		return following, nil
	}
	if socket.Peek(c.Conn) != socket.Readable {
		return nil, nil
	}
	if err := c.reader.Wait(); err != nil { // the kernel holds data, so this does not block
		return nil, err
	}
	return c.reader.Following(), nil
}

// isCopyOfResponse reports whether the data behind a response is a second copy of it, as far as it
// has arrived. Anything else may be the rest of the response's body.
func (c *Conn) isCopyOfResponse(following []byte, head *http.Response, body []byte) bool {
	rest, hasHead := bytes.CutPrefix(following, c.reader.HeadText())
	if !hasHead {
		return len(following) >= minCopyBytes && bytes.HasPrefix(c.reader.HeadText(), following)
	}
	if head.ContentLength < 0 {
		return true
	}
	return bytes.HasPrefix(rest, body) || bytes.HasPrefix(body, rest)
}

// classify returns the result of an exchange whose HTTP response is complete.
func classify(head *http.Response, body []byte) Response {
	response := Response{
		Outcome:    policy.ServerError,
		LoadReport: ParseLoadReport(head.Header.Get("Endpoint-Load-Metrics")),
	}
	switch {
	case provesNeverRan(head):
		response.Outcome = policy.Overloaded
	case head.StatusCode == http.StatusOK:
		response.Outcome = policy.Succeeded
		response.Body = body
		response.ContentType = head.Header["Content-Type"]
		response.ActualUnits, _ = decimal.Parse(head.Header.Get("Api-Charge")) // 0 if missing or malformed
	}
	return response
}

// provesNeverRan reports whether a response proves that the endpoint rejected the request
// without running it.
func provesNeverRan(head *http.Response) bool {
	switch head.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return head.Header.Get("X-Never-Ran") == "1"
	default:
		return false
	}
}
