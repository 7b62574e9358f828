package config

import (
	"errors"
	"fmt"
)

// ErrMissing is wrapped by a [KeyError] whose key has no value.
var ErrMissing = errors.New("not set")

// ErrUnknownValue is wrapped by a [KeyError] whose key has a value outside its list.
var ErrUnknownValue = errors.New("unknown value")

// KeyError is a fault in the value of one key or environment variable.
type KeyError struct {
	Key string // as in the file, or the variable's name
	Err error
}

// Error implements the error interface.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the fault without its key.
func (e *KeyError) Unwrap() error { return e.Err }

// missingKeyError returns the error for a key without a value.
func missingKeyError(key string) error { return &KeyError{Key: key, Err: ErrMissing} }

// unknownValueError returns the error for a key with a value outside its list.
func unknownValueError(key string, value []byte) error {
	return &KeyError{Key: key, Err: fmt.Errorf("%w %q", ErrUnknownValue, value)}
}
