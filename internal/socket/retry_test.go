package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingStream fails a number of times and then reads and writes one byte at a time.
type failingStream struct {
	errno    syscall.Errno
	failures int
	data     string
}

// next returns an error as package net does, while there are failures left.
func (s *failingStream) next(operation string) error {
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return &net.OpError{Op: operation, Net: "tcp", Err: os.NewSyscallError(operation, s.errno)}
}

// Read implements io.Reader.
func (s *failingStream) Read(b []byte) (int, error) {
	if err := s.next("read"); err != nil {
		return 0, err
	}
	if s.data == "" {
		return 0, io.EOF
	}
	count := copy(b[:1], s.data)
	s.data = s.data[count:]
	return count, nil
}

// Write implements io.Writer. It writes one byte before each failure.
func (s *failingStream) Write(b []byte) (int, error) {
	if err := s.next("write"); err != nil {
		s.data += string(b[:1])
		return 1, err
	}
	s.data += string(b)
	return len(b), nil
}

// Guards connections against errors of read and write that pass: the data is still transferred
// completely, once and in order. Other errors and those that last are returned.
func TestTransientErrorsAreRetried(t *testing.T) {
	for _, test := range []struct {
		errno    syscall.Errno
		failures int
		passes   bool
	}{
		{syscall.ENOBUFS, 0, true}, {syscall.ENOBUFS, 3, true}, {syscall.ENOMEM, 1, true}, {syscall.EINTR, 2, true},
		{syscall.ENOMEM, maxRetries, false}, {syscall.ECONNRESET, 1, false}, {syscall.ETIMEDOUT, 1, false}, {syscall.EHOSTUNREACH, 1, false},
	} {
		const text = "0123456789"
		stream := &failingStream{errno: test.errno, failures: test.failures, data: text}
		got, err := io.ReadAll(Reader{stream})
		if passed := err == nil && string(got) == text; passed != test.passes || !test.passes && !errors.Is(err, test.errno) {
			t.Errorf("%v %d times: read %q, error %v; want success: %v", test.errno, test.failures, got, err, test.passes)
		}
		stream = &failingStream{errno: test.errno, failures: test.failures}
		count, err := Write(stream, []byte(text))
		if passed := err == nil && count == len(text) && stream.data == text; passed != test.passes || !test.passes && !errors.Is(err, test.errno) {
			t.Errorf("%v %d times: wrote %d bytes, %q, error %v; want success: %v", test.errno, test.failures, count, stream.data, err, test.passes)
		}
	}
}
