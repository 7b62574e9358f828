// Package asyncwriter passes lines of a log to a destination that may block or fail, such as a
// pipe whose reader is slow or gone, without letting the program that logs wait for it.
//
// cmd/edgenode creates one [Writer] for the process; its methods may be called from any
// goroutine.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer passes lines to a destination from a goroutine of its own, in order. If the destination
// does not keep up, further lines are dropped, and a line that tells their number follows once
// it does. A line that cannot be written is dropped.
type Writer struct {
	destination io.Writer
	lines       chan []byte
	finished    chan struct{} // closed when all lines are written after Close

	mu      sync.Mutex
	dropped int // lines dropped since the last one that was queued
	closed  bool
}

// New returns a writer that holds at most capacity lines that are not written yet.
func New(destination io.Writer, capacity int) *Writer {
	w := &Writer{
		destination: destination,
		lines:       make(chan []byte, capacity),
		finished:    make(chan struct{}),
	}
	go w.run()
	return w
}

// run writes the lines until the writer is closed.
func (w *Writer) run() {
	defer close(w.finished)
	for line := range w.lines {
		w.destination.Write(line) // on an error the line is lost, and the next one is tried
	}
}

// Write implements [io.Writer] for one line. It neither blocks nor fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	text := bytes.Clone(line)
	if w.dropped > 0 {
		text = append(fmt.Appendf(nil, "lines dropped from the log: %d\n", w.dropped), text...)
	}
	select {
	case w.lines <- text:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close waits until all lines are written, but no longer than timeout. Lines that are written
// later are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.finished:
	case <-time.After(timeout):
	}
}
