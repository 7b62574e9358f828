package decimal

import (
	"strings"
	"testing"
)

// FuzzParse checks that Parse accepts only plain decimal numbers.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"7", "0.61", "NaN", "Inf", "-1", "+1", "1e9", "0x1p3", "1_0", ".", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		v, ok := Parse(text)
		if ok && (!(v >= 0) || v > 1e32 || strings.Trim(text, "0123456789.") != "") {
			t.Errorf("Parse(%q) = %v, want only digits and points accepted, and a result from 0 to 1e32", text, v)
		}
	})
}
