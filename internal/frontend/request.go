package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
)

const (
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = config.MaxBodyBytes
	// maxIdempotencyKeyBytes limits the length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 256
	// tenantBits limits a tenant's number, in bits. It is sent as 16 hexadecimal digits.
	tenantBits = 33
	// timeoutBits limits the number of milliseconds in X-Expires-In-Ms, in bits.
	timeoutBits = 31
)

// Headers that every request must contain exactly once.
const (
	traceIDHeader = "X-Trace-Id"
	classHeader   = "X-Qos"
	planHeader    = "Api-Plan"
	tenantHeader  = "Api-Customer"
	timeoutHeader = "X-Expires-In-Ms"
	termsHeader   = "Api-Terms"
)

// idempotencyKeyHeader is the header that some classes require; the others do not allow it.
const idempotencyKeyHeader = "Idempotency-Key"

// Request is a client's request, validated and read completely.
type Request struct {
	Event       policy.RequestReceived // the event that reports the request to the policy
	ForwardHead []byte                 // the head for endpoints, up to the value of X-Expires-In-Ms
	Body        []byte
	ReceivedAt  time.Time // when the last byte was read; the client's timeout counts from then on
	Deadline    time.Time // when the client stops waiting
	Idempotent  bool      // its class may run any number of times
	// DedupWindow is how long endpoints discard duplicates of the request; 0: its class has
	// no idempotency key.
	DedupWindow time.Duration
}

// SetArrival corrects when the last byte of the request arrived, if that was before it was read.
// The time that the client still waits becomes shorter, and may be negative.
func (r *Request) SetArrival(at time.Time) {
	if at.IsZero() || at.After(r.ReceivedAt) {
		return
	}
	r.Event.Timeout -= r.ReceivedAt.Sub(at)
	r.Deadline = r.Deadline.Add(at.Sub(r.ReceivedAt))
	r.ReceivedAt = at
}

// Parser validates clients' requests against the settings. It is stateless and may be used
// by any number of goroutines.
type Parser struct{ settings *config.Settings }

// NewParser returns a parser for the classes and plans in settings.
func NewParser(settings *config.Settings) *Parser { return &Parser{settings: settings} }

// Parse validates a request and reads its body. The text of the error may be sent to the
// client: it is a [*HeaderError], a [*ClassError], one of this package's sentinel errors, or
// the error of reading the body. If the head is invalid, the body is not read.
func (p *Parser) Parse(req *http.Request) (Request, error) {
	if err := checkFramingAndTarget(req); err != nil {
		return Request{}, err
	}
	headers, err := readHeaders(req.Header)
	if err != nil {
		return Request{}, err
	}
	event, err := p.parseEvent(req, &headers)
	if err != nil {
		return Request{}, err
	}
	class := &p.settings.Classes[event.Class]
	key, err := checkClass(req, class)
	if err != nil {
		return Request{}, err
	}
	body, err := readBody(req)
	if err != nil {
		return Request{}, err
	}
	receivedAt := time.Now()
	request := Request{
		Event:       event,
		ForwardHead: forwardHead(req, headers.traceID, key, len(body)),
		Body:        body,
		ReceivedAt:  receivedAt,
		Deadline:    receivedAt.Add(event.Timeout),
		Idempotent:  policy.Idempotency(class.Idempotency) == policy.Idempotent,
	}
	if key != "" {
		request.DedupWindow = class.DedupWindow
	}
	return request, nil
}

// checkFramingAndTarget checks the framing, and the target and host, which are forwarded
// unchanged.
func checkFramingAndTarget(req *http.Request) error {
	// net/http removes a Content-Length that comes with a Transfer-Encoding, and under
	// HTTP/1.0 the Transfer-Encoding, so a request smuggled in a body can't be detected.
	if len(req.TransferEncoding) > 0 || !req.ProtoAtLeast(1, 1) {
		return ErrFraming
	}
	if !isVisibleASCII(req.RequestURI) || !isVisibleASCII(req.Host) {
		return ErrInvalidTarget
	}
	return nil
}

// requestHeaders holds the values of the headers that every request must contain.
type requestHeaders struct {
	traceID, class, plan, tenant, timeout, terms string
}

// readHeaders returns the values of the headers that every request must contain, or the
// error for the first invalid one.
func readHeaders(header http.Header) (requestHeaders, error) {
	reader := headerReader{header: header}
	values := requestHeaders{
		traceID: reader.singleValue(traceIDHeader),
		class:   reader.singleValue(classHeader),
		plan:    reader.singleValue(planHeader),
		tenant:  reader.singleValue(tenantHeader),
		timeout: reader.singleValue(timeoutHeader),
		terms:   reader.singleValue(termsHeader),
	}
	return values, reader.err
}

// headerReader reads the values of headers and keeps the first error.
type headerReader struct {
	header http.Header
	err    error // for the first invalid header; nil: none so far
}

// singleValue returns the value of a header that a request must contain exactly once.
func (r *headerReader) singleValue(name string) string {
	if r.err != nil {
		return ""
	}
	values := r.header[name]
	if len(values) != 1 || values[0] == "" {
		r.err = &HeaderError{Header: name, Problem: "wanted once"}
		return ""
	}
	return values[0]
}

// parseEvent validates the values of the headers and returns the event for the policy.
func (p *Parser) parseEvent(req *http.Request, headers *requestHeaders) (policy.RequestReceived, error) {
	event := policy.RequestReceived{
		RequestID: headers.traceID,
		Class:     p.classIndex(headers.class),
		Plan:      p.planIndex(headers.plan),
	}
	if event.Class < 0 || event.Plan < 0 {
		return event, ErrUnknownClassOrPlan
	}
	if !isHexID(headers.traceID) {
		return event, &HeaderError{Header: traceIDHeader, Problem: "no id"}
	}
	if !pathMatchesClass(req.RequestURI, headers.class) {
		return event, &ClassError{Class: headers.class, Problem: "the path is not of"}
	}
	var err error
	if event.Tenant, err = parseTenant(headers.tenant); err != nil {
		return event, err
	}
	if event.Timeout, err = parseTimeout(headers.timeout); err != nil {
		return event, err
	}
	if deadline := p.settings.Classes[event.Class].Deadline; deadline > 0 {
		event.Timeout = min(event.Timeout, deadline) // no client of this class waits longer
	}
	terms, err := p.parseTerms(headers.terms)
	event.Units = terms.units.value
	event.TenantGateways = int(terms.gateways.value)
	return event, err
}

// classIndex returns the index of a class in the settings, or -1 if there is none of that name.
func (p *Parser) classIndex(name string) int {
	index := -1
	for i := range p.settings.Classes {
		if p.settings.Classes[i].Name == name {
			index = i
		}
	}
	return index
}

// planIndex returns the index of a plan in the settings, or -1 if there is none of that name.
func (p *Parser) planIndex(name string) int {
	index := -1
	for i := range p.settings.Plans {
		if p.settings.Plans[i].Name == name {
			index = i
		}
	}
	return index
}

// pathMatchesClass reports whether the first segment of a target's path is a class's name.
func pathMatchesClass(target, class string) bool {
	rest, ok := strings.CutPrefix(target, "/"+class)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// parseTenant parses the number of a tenant.
func parseTenant(text string) (uint64, error) {
	tenant, err := strconv.ParseUint(text, 16, tenantBits)
	if err != nil || !isHexID(text) {
		return 0, &HeaderError{Header: tenantHeader, Problem: "no customer"}
	}
	return tenant, nil
}

// parseTimeout parses the number of milliseconds that the client still waits.
func parseTimeout(text string) (time.Duration, error) {
	milliseconds, err := strconv.ParseUint(text, 10, timeoutBits)
	if err != nil || milliseconds == 0 {
		return 0, &HeaderError{Header: timeoutHeader, Problem: "no number of milliseconds"}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// checkClass checks a request's method, idempotency key and body length against its class.
// It returns the key, or "" if the class has none.
func checkClass(req *http.Request, class *config.Class) (key string, err error) {
	method := http.MethodPost
	keyCount := 0
	switch policy.Idempotency(class.Idempotency) {
	case policy.Idempotent:
		method = http.MethodGet
	case policy.IdempotentByKey:
		keyCount = 1
	}
	keys := req.Header[idempotencyKeyHeader]
	if req.Method != method || len(keys) != keyCount || keyCount == 1 && !isIdempotencyKey(keys[0]) {
		return "", &ClassError{Class: class.Name, Problem: "method or Idempotency-Key does not fit"}
	}
	if method == http.MethodGet && req.ContentLength != 0 || req.ContentLength > MaxBodyBytes {
		return "", ErrBodyTooLong
	}
	if keyCount == 0 {
		return "", nil
	}
	return keys[0], nil
}

// isIdempotencyKey reports whether a key can be forwarded unchanged.
func isIdempotencyKey(key string) bool {
	return isVisibleASCII(key) && len(key) <= maxIdempotencyKeyBytes
}

// readBody reads a request's body completely. It returns nil if there is none.
func readBody(req *http.Request) ([]byte, error) {
	if req.ContentLength <= 0 {
		return nil, nil
	}
	body := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, body); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}

// isVisibleASCII reports whether text consists of visible ASCII characters and is not empty.
func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}

// isHexID reports whether text consists of 16 hexadecimal digits.
func isHexID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == 16
}

// forwardHead returns the head that is forwarded to endpoints, up to the value of
// X-Expires-In-Ms, which differs between attempts.
func forwardHead(req *http.Request, traceID, key string, length int) []byte {
	b := make([]byte, 0, 256)
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\nX-Trace-Id: "...)
	b = append(b, traceID...)
	if key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, key...)
	}
	if req.Method == http.MethodPost {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
	}
	return append(b, "\r\nX-Expires-In-Ms: "...)
}
