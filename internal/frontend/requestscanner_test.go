package frontend

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards where requests end on a connection, however their bytes come in: a byte read beyond the
// end of one belongs to the next, whose connection must not be closed as idle.
func TestRequestScannerFindsEndsOfRequests(t *testing.T) {
	const read = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	const write = "POST /a HTTP/1.1\r\nHost: x\r\ncontent-LENGTH:  5 \r\n\r\n\r\n\r\nG"
	longLine := "GET /a HTTP/1.1\r\nX: " + strings.Repeat("y", 2*maxScannedLineBytes) + "\r\nContent-Length: 3\r\n\r\nabc"
	for _, test := range []struct {
		name, text string
		completed  int
		started    bool
	}{
		{"nothing", "", 0, false},
		{"first byte", "G", 0, true},
		{"unfinished head", read[:len(read)-1], 0, true},
		{"head", read, 1, false},
		{"bare line feeds", strings.ReplaceAll(read, "\r\n", "\n"), 1, false},
		{"unfinished body", write[:len(write)-1], 0, true},
		{"body with line ends", write, 1, false},
		{"line longer than what is kept", longLine, 1, false},
		{"malformed length", "POST /a HTTP/1.1\r\nContent-Length: -4\r\n\r\nG", 1, true},
		{"several", read + write + longLine + read + "PO", 4, true},
	} {
		for _, chunkSize := range []int{1, 7, len(test.text) + 1} {
			var scanner requestScanner
			for rest := test.text; rest != ""; {
				chunk := rest[:min(chunkSize, len(rest))]
				if accepted := scanner.scan([]byte(chunk)); accepted != len(chunk) {
					t.Errorf("%s, in chunks of %d: %d of %d bytes accepted, want all", test.name, chunkSize, accepted, len(chunk))
				}
				rest = rest[len(chunk):]
			}
			if scanner.completed != test.completed || scanner.started != test.started {
				t.Errorf("%s, in chunks of %d: %d requests completed, another one started: %v; want %d, %v",
					test.name, chunkSize, scanner.completed, scanner.started, test.completed, test.started)
			}
		}
	}
}

// Guards the limit on the fields of a head: no line beyond it is passed on, and the end of the head
// is still found. Lines of a body do not count.
func TestRequestScannerLimitsHeaderFields(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nContent-Length: 400\r\n"
	allowed := start + strings.Repeat("a:\r\n", maxHeaderFields-1)
	for _, chunkSize := range []int{1, 7, 4096} {
		var scanner requestScanner
		text := allowed + "\r\n" + strings.Repeat("\n", 400) + allowed + strings.Repeat("a:\r\n", 50) + "\r\n"
		accepted := 0
		for rest := text; rest != ""; {
			chunk := rest[:min(chunkSize, len(rest))]
			accepted += scanner.scan([]byte(chunk))
			rest = rest[len(chunk):]
		}
		if want := 2*len(allowed) + len("\r\n") + 400; accepted < want || accepted > want+len("a:\r") || !scanner.tooManyFields {
			t.Errorf("chunks of %d: %d bytes accepted, too large: %v; want %d, true", chunkSize, accepted, scanner.tooManyFields, want)
		}
		if scanner.completed != 1 || !scanner.inBody {
			t.Errorf("chunks of %d: %d requests completed, in a body: %v; want 1, true", chunkSize, scanner.completed, scanner.inBody)
		}
	}
}

// Guards the answers to heads with too many fields: a complete one gets status 400 and the end of
// the connection, also behind a request that is served; an incomplete one gets no answer yet.
func TestHeadWithTooManyFieldsIsRefused(t *testing.T) {
	const request = "GET /lookup HTTP/1.1\r\nHost: x\r\n"
	large := request + strings.Repeat("abc:\r\n", 2500) + "\r\n"
	addr := startServer(t, NewTracker(4, NewMemoryBudget(testMemory)))
	for name, before := range map[string]int{"alone": 0, "behind another request": 1} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			io.WriteString(c, strings.Repeat(request+"\r\n", before)+large)
			for range before {
				if status := c.readStatus(); status != http.StatusOK {
					t.Errorf("the request before has status %d, want %d", status, http.StatusOK)
				}
			}
			if status := c.readStatus(); status != http.StatusBadRequest {
				t.Errorf("status %d, want %d", status, http.StatusBadRequest)
			}
			if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
				t.Errorf("after the response: %q, error %v; want the end of the connection", rest, err)
			}
		})
	}
}
