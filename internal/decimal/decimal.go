// Package decimal parses the plain decimal numbers that clients, endpoints and the counter
// service send in headers and responses. It keeps no state; [Parse] may be called from any
// goroutine.
package decimal

import (
	"strconv"
	"strings"
)

// maxLength limits the text of a number in bytes. Every number of that length is finite and
// at most 1e32.
const maxLength = 32

// Parse parses a non-negative number made of digits and at most one decimal point. It
// returns false for any other text, including what [strconv.ParseFloat] accepts (signs,
// exponents, NaN, infinities, hexadecimal numbers, underscores).
func Parse(text string) (float64, bool) {
	if text == "" || len(text) > maxLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
