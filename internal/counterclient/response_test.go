package counterclient

import (
	"strings"
	"testing"

	"swiftpitch/internal/httpresponse"
	"swiftpitch/internal/policy"
)

// Guards how a response is interpreted: the outcome of the call, the total, and whether the
// connection can be reused.
func TestReadResponseTellsOutcomeAndReuse(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	tests := []struct {
		name, text string
		want       response
	}{
		{"total", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n2.5", response{policy.Succeeded, 2.5, true}},
		{"negative total", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n-7\r\n", response{policy.Succeeded, -7, true}},
		{"last response", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7",
			response{policy.Succeeded, 7, false}},
		{"interim responses", strings.Repeat(interim, 8) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7",
			response{policy.Succeeded, 7, true}},
		{"no number", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN", unknownResult},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n7", unknownResult},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n7", unknownResult},
		{"no response", "", unknownResult},
		{"length and chunked encoding", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n2\r\n0\r\n\r\n", unknownResult},
		{"unavailable", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", response{policy.Overloaded, 0, true}},
		{"bad request", "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", response{policy.Overloaded, 0, true}},
		{"server error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", response{policy.TimedOut, 0, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := readResponse(httpresponse.NewReader(strings.NewReader(test.text), readBufferSize)); got != test.want {
				t.Errorf("readResponse(%q) = %+v, want %+v", test.text, got, test.want)
			}
		})
	}
}
