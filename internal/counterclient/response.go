package counterclient

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"swiftpitch/internal/decimal"
	"swiftpitch/internal/policy"
)

const (
	// maxResponseBytes bounds a response, with its head, in bytes.
	maxResponseBytes = 4 << 10
	// maxInterimResponses is how many 1xx responses may precede the response to a call.
	maxInterimResponses = 8
)

// response is what the service says to one call.
type response struct {
	outcome  policy.Outcome
	total    float64 // of the counter, if the call succeeded
	reusable bool    // the connection is good for more responses
}

// unknownResult stands for a response that cannot be read: the call may have been added,
// and where the next response begins is not known.
var unknownResult = response{outcome: policy.TimedOut}

// readResponse reads one response from a reader whose length is bounded.
func readResponse(reader *bufio.Reader) response {
	head, err := readHead(reader)
	if err != nil {
		return unknownResult
	}
	if head.ContentLength < 0 && len(head.TransferEncoding) == 0 { // it ends with the connection
		return unknownResult
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		return unknownResult
	}
	switch head.StatusCode {
	case http.StatusOK:
		total, ok := parseTotal(string(body))
		if !ok { // added, but the total is not known
			return unknownResult
		}
		return response{outcome: policy.Succeeded, total: total, reusable: !head.Close}
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		return response{outcome: policy.Overloaded, reusable: !head.Close}
	}
	return response{outcome: policy.TimedOut, reusable: !head.Close}
}

// readHead reads the head of the next final response: an interim one belongs to no call.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	head, err := http.ReadResponse(reader, nil)
	for i := 0; err == nil && head.StatusCode < 200 && i < maxInterimResponses; i++ {
		head, err = http.ReadResponse(reader, nil)
	}
	return head, err
}

// parseTotal reads the total of a counter, which may be negative.
func parseTotal(body string) (total float64, ok bool) {
	digits, negative := strings.CutPrefix(strings.TrimSpace(body), "-")
	total, ok = decimal.Parse(digits)
	if negative {
		total = -total
	}
	return total, ok
}
