package frontend

import (
	"errors"
	"fmt"
)

// Errors of [Parser.Parse] that do not concern a single header. Their texts, like those of
// [HeaderError] and [ClassError], are sent to clients as bodies of responses with status 400.
var (
	ErrFraming            = errors.New("wanted: HTTP/1.1 with a Content-Length")
	ErrInvalidTarget      = errors.New("target or Host can't be passed on")
	ErrUnknownClassOrPlan = errors.New("unknown class or plan")
	ErrBodyTooLong        = errors.New("body too long")
)

// errTooManyFields is returned to net/http for a head with more than maxHeaderFields fields. Its
// response then has status 400.
var errTooManyFields = errors.New("too many header fields")

// HeaderError reports that a header is missing, repeated or malformed.
type HeaderError struct {
	Header  string // the header's name
	Problem string
}

// Error implements error.
func (e *HeaderError) Error() string { return e.Header + ": " + e.Problem }

// ClassError reports that a request violates a rule of the class that it names.
type ClassError struct {
	Class   string // the class's name
	Problem string // the violated rule; the class's name follows it in the text
}

// Error implements error.
func (e *ClassError) Error() string { return fmt.Sprintf("%s class %s", e.Problem, e.Class) }
