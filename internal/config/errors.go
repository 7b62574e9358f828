package config

import (
	"errors"
	"fmt"
)

// ErrMissing is wrapped by a [KeyError] whose key has no value.
var ErrMissing = errors.New("not set")

// ErrUnknownValue is wrapped by a [KeyError] whose value is none of the permitted names.
var ErrUnknownValue = errors.New("unknown value")

// KeyError reports an invalid value of one key or environment variable.
type KeyError struct {
	Key string // JSON key in the file, or name of the environment variable
	Err error
}

// Error implements the error interface.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause without the key.
func (e *KeyError) Unwrap() error { return e.Err }

// missingKeyError returns the error for a key without a value.
func missingKeyError(key string) error { return &KeyError{Key: key, Err: ErrMissing} }

// unknownValueError returns the error for a key whose value is none of the permitted names.
func unknownValueError(key string, value []byte) error {
	return &KeyError{Key: key, Err: fmt.Errorf("%w %q", ErrUnknownValue, value)}
}
