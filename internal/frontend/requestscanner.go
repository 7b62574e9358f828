package frontend

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxHeaderFields limits the fields of a request's head. net/http limits only the bytes, and
	// the parsed form of many short fields takes some thirty times as much memory.
	maxHeaderFields = 100
	// maxScannedLineBytes is how much of a line of a head is kept to recognize its field.
	maxScannedLineBytes = 48
)

// contentLengthField is the name of the field that gives the length of a request's body.
const contentLengthField = "content-length"

// requestScanner follows the bytes of a connection that are passed to net/http and finds where
// requests begin and end. A request that net/http refuses may be scanned wrongly, as its
// connection ends after the response. The tracker's lock guards it.
type requestScanner struct {
	completed     int  // requests that were passed on completely
	started       bool // part of a further request was passed on
	tooManyFields bool // the head of that request has too many fields

	inBody   bool
	bodyLeft int64 // bytes of the body that are still to come

	lines      int // complete lines of the head
	line       [maxScannedLineBytes]byte
	lineLength int   // bytes of the current line, without the line end
	bodyLength int64 // as given in the head
}

// scan scans the next bytes and returns how many of them may be passed on: all, unless the head
// of a request has too many fields. The others are scanned as well.
func (s *requestScanner) scan(chunk []byte) (accepted int) {
	rest := chunk
	for len(rest) > 0 {
		if s.inBody {
			rest = rest[s.scanBody(rest):]
		} else {
			rest = rest[s.scanLine(rest):]
		}
		if !s.tooManyFields {
			accepted = len(chunk) - len(rest)
		}
	}
	return accepted
}

// scanBody scans bytes of a body and returns how many belong to it.
func (s *requestScanner) scanBody(text []byte) int {
	count := int(min(int64(len(text)), s.bodyLeft))
	s.bodyLeft -= int64(count)
	if s.bodyLeft == 0 {
		s.endRequest()
	}
	return count
}

// scanLine scans bytes up to the end of a line of a head and returns their number.
func (s *requestScanner) scanLine(text []byte) int {
	s.started = true
	end := bytes.IndexByte(text, '\n')
	part := text
	if end >= 0 {
		part = text[:end]
	}
	if s.lineLength < maxScannedLineBytes {
		copy(s.line[s.lineLength:], part)
	}
	s.lineLength += len(part)
	if end < 0 {
		return len(text)
	}
	s.endLine()
	return end + 1
}

// endLine handles a complete line of a head.
func (s *requestScanner) endLine() {
	line := strings.TrimSuffix(string(s.line[:min(s.lineLength, maxScannedLineBytes)]), "\r")
	s.lineLength = 0
	if line == "" {
		s.endHead()
		return
	}
	s.lines++
	s.tooManyFields = s.tooManyFields || s.lines > maxHeaderFields+1 // the first line is no field
	name, value, _ := strings.Cut(line, ":")
	if len(name) == len(contentLengthField) && strings.EqualFold(name, contentLengthField) {
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil && length > 0 {
			s.bodyLength = length
		}
	}
}

// endHead handles the empty line at the end of a head.
func (s *requestScanner) endHead() {
	s.lines = 0
	s.bodyLeft = s.bodyLength
	s.bodyLength = 0
	s.inBody = s.bodyLeft > 0
	if !s.inBody {
		s.endRequest()
	}
}

// endRequest handles the last byte of a request.
func (s *requestScanner) endRequest() {
	s.completed++
	s.started = false
	s.inBody = false
}
