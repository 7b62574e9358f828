package frontend

import (
	"fmt"
	"math"
	"strings"

	"swiftpitch/internal/decimal"
)

// requestTerms is the content of an Api-Terms header.
type requestTerms struct {
	units        term // "units": quota units that the request takes
	gateways     term // "spread": number of gateways that receive the tenant's requests
	firstGateway term // "first": index of the first of those gateways; validated but not used
}

// term is one number in an Api-Terms header.
type term struct {
	value   float64
	present bool
}

// byName returns the term with that name in the header, or nil if the name is unknown.
func (t *requestTerms) byName(name string) *term {
	switch name {
	case "units":
		return &t.units
	case "spread":
		return &t.gateways
	case "first":
		return &t.firstGateway
	}
	return nil
}

// parseTerms parses an Api-Terms header of the form units=2,spread=3,first=1. Numbers with
// other names are ignored.
func (p *Parser) parseTerms(text string) (requestTerms, error) {
	var terms requestTerms
	for part := range strings.SplitSeq(text, ",") {
		name, valueText, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, ok := decimal.Parse(valueText)
		if !ok {
			return terms, termsError("%q is no number", name)
		}
		term := terms.byName(name)
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
	if !terms.units.present || !terms.gateways.present || !terms.firstGateway.present {
		return terms, termsError("units, spread and first are wanted")
	}
	return terms, nil
}

// inRange reports whether a request may set the named term to value.
func (p *Parser) inRange(name string, value float64) bool {
	gateways := float64(p.settings.Gateways)
	maxUnits := p.settings.Accounting.MaxRequestUnits // 0: no limit
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

// termsError returns a [*HeaderError] for the Api-Terms header.
func termsError(format string, args ...any) error {
	return &HeaderError{Header: termsHeader, Problem: fmt.Sprintf(format, args...)}
}
