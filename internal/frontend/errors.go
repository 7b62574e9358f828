package frontend

import (
	"errors"
	"fmt"
)

// The faults of a request that are not those of one header's value. Their texts, like those
// of [HeaderError] and [ClassError], are the bodies of the responses with status 400.
var (
	ErrFraming            = errors.New("wanted: HTTP/1.1 with a Content-Length")
	ErrInvalidTarget      = errors.New("target or Host can't be passed on")
	ErrUnknownClassOrPlan = errors.New("unknown class or plan")
	ErrBodyTooLong        = errors.New("body too long")
)

// HeaderError tells that a header is missing, stands twice or has a malformed value.
type HeaderError struct {
	Header  string // the header's name
	Problem string
}

// Error implements error.
func (e *HeaderError) Error() string { return e.Header + ": " + e.Problem }

// ClassError tells that a request does not fit the class that it names.
type ClassError struct {
	Class   string // the class's name
	Problem string // what does not fit
}

// Error implements error.
func (e *ClassError) Error() string { return fmt.Sprintf("%s class %s", e.Problem, e.Class) }
