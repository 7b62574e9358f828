package frontend

import (
	"fmt"
	"math"
	"strings"

	"swiftpitch/internal/decimal"
)

// requestTerms is the content of an Api-Terms header.
type requestTerms struct {
	units  term // that the request counts
	spread term // gateways through which the tenant's requests come
	first  term // the first of those gateways; checked and not used
}

// term is one figure of an Api-Terms header.
type term struct {
	value   float64
	present bool
}

// named returns the figure of a name; nil: it is not known.
func (t *requestTerms) named(name string) *term {
	switch name {
	case "units":
		return &t.units
	case "spread":
		return &t.spread
	case "first":
		return &t.first
	}
	return nil
}

// parseTerms reads an Api-Terms header of the form units=2,spread=3,first=1. Figures of
// other names are skipped.
func (p *Parser) parseTerms(text string) (requestTerms, error) {
	var terms requestTerms
	for part := range strings.SplitSeq(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, ok := decimal.Parse(figure)
		if !ok {
			return terms, termsError("%q is no number", name)
		}
		term := terms.named(name)
		if term == nil {
			continue
		}
		if term.present {
			return terms, termsError("%s stands twice", name)
		}
		if !p.inRange(name, value) {
			return terms, termsError("%s out of range", name)
		}
		term.value = value
		term.present = true
	}
	if !terms.units.present || !terms.spread.present || !terms.first.present {
		return terms, termsError("units, spread and first are wanted")
	}
	return terms, nil
}

// inRange reports whether a figure is one that a request may name.
func (p *Parser) inRange(name string, value float64) bool {
	gateways := float64(p.settings.Gateways)
	maxUnits := p.settings.Accounting.MaxRequestUnits // 0: any number
	switch name {
	case "units":
		return value != 0 && (maxUnits <= 0 || value <= maxUnits)
	case "spread":
		return value == math.Trunc(value) && value >= 1 && value <= gateways
	case "first":
		return value == math.Trunc(value) && value < gateways
	}
	return true
}

func termsError(format string, args ...any) error {
	return &HeaderError{Header: termsHeader, Problem: fmt.Sprintf(format, args...)}
}
