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
	// maxResponseHeadBytes bounds a response's head and framing in bytes, interim
	// responses included.
	maxResponseHeadBytes = 32 << 10
	// maxBodyBytes bounds a response's body in bytes.
	maxBodyBytes = config.MaxBodyBytes
	// maxInterimResponses bounds the 1xx responses ahead of the final one.
	maxInterimResponses = 8
)

var (
	errTooManyInterimResponses = errors.New("more interim responses than allowed")
	errBodyTooLong             = errors.New("response body too long")
	errUnframedBody            = errors.New("response body without a length: a truncated one can't be told from a whole one")
)

// Response is the result of an exchange.
type Response struct {
	Outcome     policy.Outcome
	Body        []byte   // where Outcome is [policy.Succeeded]; else nil
	ContentType []string // of Body, as the header's values; nil: not named
	LoadReport  policy.LoadReport
	ActualUnits float64 // quota units that the request really took; 0: not reported
	Reusable    bool    // the connection may carry another request
}

// Exchange writes one request and reads the whole response. It blocks until the response
// is complete or the connection breaks, is closed or passes its deadline. The outcome is
// one by which a request never ran ([policy.ConnectFailed], [policy.Overloaded]) only
// where that is proven; a damaged response proves nothing.
func (c *Conn) Exchange(request net.Buffers) Response {
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
	body, err := readBody(head)
	if err != nil {
		return Response{Outcome: policy.ConnectionLost}
	}
	response := classify(head, body)
	response.Reusable = !head.Close && c.reader.Buffered() == 0
	return response
}

// write writes a request and reports, beside the error, whether all of it was written:
// a server does not run a request whose last byte it never got.
func (c *Conn) write(request net.Buffers) (complete bool, err error) {
	length := int64(0)
	for _, part := range request {
		length += int64(len(part))
	}
	written, err := request.WriteTo(c.Conn)
	return written >= length, err
}

// readHead reads the final response up to its body, past the interim ones.
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
	case head.ContentLength < 0 && len(head.TransferEncoding) == 0:
		return nil, errUnframedBody
	}
	return head, nil
}

// isInterim reports whether a further response follows.
func isInterim(head *http.Response) bool { return head.StatusCode < http.StatusOK }

// readBody reads a response's body to its end.
func readBody(head *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(head.Body, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errBodyTooLong
	}
	return body, nil
}

// classify turns a complete HTTP response into a result.
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
		response.ActualUnits, _ = decimal.Parse(head.Header.Get("Api-Charge")) // 0 if it can't be read
	}
	return response
}

// provesNeverRan reports whether a server rejected the request without running it.
func provesNeverRan(head *http.Response) bool {
	switch head.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return head.Header.Get("X-Never-Ran") == "1"
	default:
		return false
	}
}
