package counterclient

import (
	"io"
	"net/http"
	"strings"

	"swiftpitch/internal/decimal"
	"swiftpitch/internal/httpresponse"
	"swiftpitch/internal/policy"
)

// maxResponseBytes limits a response including its head, in bytes.
const maxResponseBytes = 4 << 10

// response is the service's response to one call.
type response struct {
	outcome  policy.Outcome
	total    float64 // value of the counter, if the call succeeded
	reusable bool    // more responses can be read from the connection
}

// unknownResult is the result of a response that cannot be read: the call may have been added
// to the counter, and the start of the next response is unknown.
var unknownResult = response{outcome: policy.TimedOut}

// readResponse reads one response. The caller limits how much can be read.
func readResponse(reader *httpresponse.Reader) response {
	head, err := reader.ReadHead()
	if err != nil {
		return unknownResult
	}
	if httpresponse.IsUnframed(head) { // the body ends with the connection
		return unknownResult
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		return unknownResult
	}
	switch head.StatusCode {
	case http.StatusOK:
		total, ok := parseTotal(string(body))
		if !ok { // the call was added, but the total is unknown
			return unknownResult
		}
		return response{outcome: policy.Succeeded, total: total, reusable: !head.Close}
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		return response{outcome: policy.Overloaded, reusable: !head.Close}
	}
	return response{outcome: policy.TimedOut, reusable: !head.Close}
}

// parseTotal parses the value of a counter, which may be negative.
func parseTotal(body string) (total float64, ok bool) {
	digits, negative := strings.CutPrefix(strings.TrimSpace(body), "-")
	total, ok = decimal.Parse(digits)
	if negative {
		total = -total
	}
	return total, ok
}
