// Package decimal parses the plain decimal figures that clients, endpoints and the
// counter service send in headers and replies.
package decimal

import (
	"strconv"
	"strings"
)

// maxLength bounds the text of a figure in bytes; every figure of that length is finite
// and below 1e32.
const maxLength = 32

// Parse reads a non-negative figure made of digits and at most one decimal point. It
// reports false for anything else that [strconv.ParseFloat] would take (signs,
// exponents, NaN, infinities, hexadecimal figures, underscores).
func Parse(text string) (float64, bool) {
	if text == "" || len(text) > maxLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
