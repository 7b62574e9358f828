package frontend

import (
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
				scanner.scan([]byte(chunk))
				rest = rest[len(chunk):]
			}
			if scanner.completed != test.completed || scanner.started != test.started {
				t.Errorf("%s, in chunks of %d: %d requests completed, another one started: %v; want %d, %v",
					test.name, chunkSize, scanner.completed, scanner.started, test.completed, test.started)
			}
		}
	}
}
