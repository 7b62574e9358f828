package socket

import (
	"errors"
	"io"
	"slices"
	"syscall"
	"time"
)

const (
	// minRetryDelay is the pause after the first transient error of a read or write. It doubles
	// with each further one in a row.
	minRetryDelay = time.Millisecond
	// maxRetries limits the transient errors in a row; with the pauses they last half a second.
	maxRetries = 9
)

// transientErrors are the errors of system calls on a connection that tell nothing about it: the
// same call may succeed in a moment.
var transientErrors = []error{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// IsOneOf reports whether an error is one of a list, see [errors.Is].
func IsOneOf(err error, list []error) bool {
	return slices.ContainsFunc(list, func(listed error) bool { return errors.Is(err, listed) })
}

// isTransient reports whether an error tells nothing about the connection.
func isTransient(err error) bool {
	return IsOneOf(err, transientErrors)
}

// Read reads once from a connection, and again after transient errors.
func Read(reader io.Reader, b []byte) (count int, err error) {
	delay := minRetryDelay
	for range maxRetries {
		count, err = reader.Read(b)
		if count > 0 || !isTransient(err) {
			return count, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return count, err
}

// Write writes all bytes to a connection, and goes on after transient errors.
func Write(writer io.Writer, b []byte) (written int, err error) {
	delay := minRetryDelay
	for range maxRetries {
		var count int
		count, err = writer.Write(b[written:])
		written += count
		if !isTransient(err) {
			return written, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return written, err
}

// Reader reads from a connection with [Read].
type Reader struct{ io.Reader }

// Read implements [io.Reader].
func (r Reader) Read(b []byte) (int, error) { return Read(r.Reader, b) }
