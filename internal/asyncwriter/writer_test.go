package asyncwriter

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// blockingWriter takes a line only after it has received from ready, and fails if fail is set.
type blockingWriter struct {
	bytes.Buffer
	ready chan struct{}
	fail  bool
}

// Write implements io.Writer.
func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.ready
	if w.fail {
		return 0, errors.New("no space left on device")
	}
	return w.Buffer.Write(line)
}

// Guards against a program that waits for the reader of its log: lines beyond the capacity are
// dropped and counted.
func TestBlockedDestinationDropsLines(t *testing.T) {
	destination := &blockingWriter{ready: make(chan struct{})}
	writer := New(destination, 2)
	const lines = 10
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			fmt.Fprintf(writer, "line %d\n", i)
		}
	}()
	testsupport.Receive(t, "the return of all writes", done)
	destination.ready <- struct{}{}
	testsupport.Eventually(t, "room for a line", func() bool { return len(writer.lines) < cap(writer.lines) })
	fmt.Fprint(writer, "last line\n")
	close(destination.ready)
	writer.Close(testsupport.MaxWait)
	text := destination.String()
	if !bytes.Contains([]byte(text), []byte("line 0\nline 1\n")) || !bytes.Contains([]byte(text), []byte("lines dropped from the log: ")) ||
		!bytes.HasSuffix([]byte(text), []byte("last line\n")) {
		t.Errorf("the log has %q, want the first lines, the number of dropped ones, and the last line", text)
	}
}

// Guards that a destination that fails, or that blocks when the writer is closed, stops nobody.
func TestWriterOutlastsFailures(t *testing.T) {
	failing := &blockingWriter{ready: make(chan struct{}), fail: true}
	close(failing.ready)
	writer := New(failing, 2)
	fmt.Fprint(writer, "lost\n")
	writer.Close(testsupport.MaxWait)
	if n, err := fmt.Fprint(writer, "late\n"); n != len("late\n") || err != nil {
		t.Errorf("a write after Close returned %d and error %v, want no error", n, err)
	}

	blocked := New(&blockingWriter{ready: make(chan struct{})}, 2)
	fmt.Fprint(blocked, "stuck\n")
	blocked.Close(time.Millisecond)
}
