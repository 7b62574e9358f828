// Package httpresponse reads HTTP/1.x responses from a connection whose server may send malformed
// ones. Unlike [http.ReadResponse] alone, it fails a response that states its length in
// contradictory ways, and it shows the data that follows a response, which may be the rest of a
// body that is longer than its stated length.
//
// Packages upstream and counterclient read with it. A [Reader] belongs to the goroutine that reads
// the connection.
package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

const (
	// maxInterimResponses limits the interim (1xx) responses that precede a final one.
	maxInterimResponses = 8
	// maxRetainedHeadBytes limits the memory for the text of a head that a reader keeps after
	// [Reader.ReleaseHead], in bytes.
	maxRetainedHeadBytes = 1 << 10
)

var (
	// ErrTooManyInterimResponses reports more interim (1xx) responses than are skipped.
	ErrTooManyInterimResponses = errors.New("too many interim (1xx) responses")
	// ErrConflictingLengths reports a response that has both a Content-Length and a
	// Transfer-Encoding, or one of them in a form that net/http ignores. Its end is not known.
	ErrConflictingLengths = errors.New("response states its length in contradictory ways")
)

// Reader reads the responses on one connection, one after another. The caller reads the body of a
// response to its end before it reads the next head.
type Reader struct {
	recorder recorder
	buffer   *bufio.Reader
	headText []byte // text of the latest head
}

// NewReader returns a reader with a buffer of the given size in bytes. The source limits how much
// can be read.
func NewReader(source io.Reader, bufferSize int) *Reader {
	r := &Reader{recorder: recorder{source: source}}
	r.buffer = bufio.NewReaderSize(&r.recorder, bufferSize)
	return r
}

// ReadHead reads the head of the next final response and skips interim (1xx) responses before it.
// It returns [ErrTooManyInterimResponses], [ErrConflictingLengths], or an error of
// [http.ReadResponse].
func (r *Reader) ReadHead() (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := r.readHead()
		if err != nil || head.StatusCode >= http.StatusOK {
			return head, err
		}
	}
	return nil, ErrTooManyInterimResponses
}

// HeadText returns the text of the latest head that was read, with the empty line that ends it. It
// is valid until the next call of [Reader.ReadHead] or [Reader.ReleaseHead].
func (r *Reader) HeadText() []byte { return r.headText }

// ReleaseHead ends the use of the head's text, and frees its memory if the head was large. It is
// called when a response is done, as the reader of an idle connection may live for long.
func (r *Reader) ReleaseHead() {
	r.headText = nil
	if cap(r.recorder.text) > maxRetainedHeadBytes {
		r.recorder.text = nil
	}
}

// Wait blocks until data can be read.
func (r *Reader) Wait() error {
	_, err := r.buffer.Peek(1)
	return err
}

// Following returns the data behind the latest response that is already in the buffer, without
// consuming it. It is valid until the next read.
func (r *Reader) Following() []byte {
	data, _ := r.buffer.Peek(r.buffer.Buffered())
	return data
}

// SourceDrained reports whether the last read from the source returned less data than there was
// room for: the source had no more at that time.
func (r *Reader) SourceDrained() bool { return r.recorder.drained }

// readHead reads the next head, interim or final.
func (r *Reader) readHead() (*http.Response, error) {
	r.recorder.start(r.Following())
	head, err := http.ReadResponse(r.buffer, nil)
	text := r.recorder.stop()
	r.headText = text[:len(text)-r.buffer.Buffered()]
	if err != nil {
		return nil, err
	}
	if hasConflictingLengths(head, r.headText) {
		return nil, ErrConflictingLengths
	}
	return head, nil
}

// recorder passes data through and, between start and stop, keeps a copy of it.
type recorder struct {
	source    io.Reader
	recording bool
	text      []byte
	drained   bool // the last read returned less than there was room for
}

// start begins a new recording. ahead is the data that was read before and belongs to it.
func (r *recorder) start(ahead []byte) {
	r.recording = true
	r.text = append(r.text[:0], ahead...)
}

// stop ends the recording and returns it. It is valid until the next start.
func (r *recorder) stop() []byte {
	r.recording = false
	return r.text
}

// Read implements [io.Reader].
func (r *recorder) Read(b []byte) (int, error) {
	count, err := r.source.Read(b)
	r.drained = count < len(b)
	if r.recording {
		r.text = append(r.text, b[:count]...)
	}
	return count, err
}
