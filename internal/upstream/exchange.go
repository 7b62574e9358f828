package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"

	"swiftpitch/internal/config"
	"swiftpitch/internal/decimal"
	"swiftpitch/internal/policy"
)

const (
	// maxResponseHeadBytes limits a response's head and framing in bytes, including
	// interim responses.
	maxResponseHeadBytes = 32 << 10
	// maxBodyBytes limits a response's body in bytes.
	maxBodyBytes = config.MaxBodyBytes
	// UnreservedBodyBytes is how much of a response's body is read without a reservation.
	UnreservedBodyBytes = 4 << 10
	// maxInterimResponses limits the 1xx responses that precede the final one.
	maxInterimResponses = 8
)

var (
	errTooManyInterimResponses = errors.New("too many interim (1xx) responses")
	errBodyTooLong             = errors.New("response body too long")
	errNoMemory                = errors.New("no memory for the response body")
	errUnframedHTTP10          = errors.New("HTTP/1.0 response without Content-Length: its Transfer-Encoding, if any, is not decoded")
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
	c.limit.N = maxResponseHeadBytes + maxBodyBytes
	head, err := c.readHead()
	if err != nil {
		return Response{Outcome: policy.ConnectionLost}
	}
	body, err := c.readBody(head, reserve)
	if err != nil {
		return Response{Outcome: policy.ConnectionLost}
	}
	response := classify(head, body)
	response.Reusable = !head.Close && c.reader.Buffered() == 0
	return response
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

// readHead skips interim responses and reads the head of the final response.
func (c *Conn) readHead() (*http.Response, error) {
	head, err := http.ReadResponse(c.reader, nil)
	for interim := 0; err == nil && isInterim(head) && interim < maxInterimResponses; interim++ {
		head, err = http.ReadResponse(c.reader, nil)
	}
	switch {
	case err != nil:
		return nil, err
	case isInterim(head):
		return nil, errTooManyInterimResponses
	case head.ContentLength > maxBodyBytes:
		return nil, errBodyTooLong
	case isUnframed(head) && !head.ProtoAtLeast(1, 1):
		return nil, errUnframedHTTP10
	}
	return head, nil
}

// isInterim reports whether a response is interim (1xx), so that another one follows.
func isInterim(head *http.Response) bool { return head.StatusCode < http.StatusOK }

// isUnframed reports whether a response has neither a length nor chunked encoding, so that its
// body ends with the connection.
func isUnframed(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
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
	limitReached := isUnframed(head) && c.limit.N <= 0 // the connection may not have ended there
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
