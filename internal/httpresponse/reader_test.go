package httpresponse

import (
	"io"
	"strings"
	"testing"
)

// Guards against idle connections that keep the memory of large heads.
func TestReleaseHeadFreesLargeHead(t *testing.T) {
	const small = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	large := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + strings.Repeat("x", 4*maxRetainedHeadBytes) + "\r\n\r\n"
	reader := NewReader(strings.NewReader(large+small), 4<<10)
	for _, text := range []string{large, small} {
		head, err := reader.ReadHead()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(head.Body); err != nil {
			t.Fatal(err)
		}
		if got := string(reader.HeadText()); got != text {
			t.Errorf("the text of the head is %q, want %q", got, text)
		}
		reader.ReleaseHead()
		if kept := cap(reader.recorder.text); kept > maxRetainedHeadBytes {
			t.Errorf("%d bytes are kept after the release, want at most %d", kept, maxRetainedHeadBytes)
		}
	}
}
