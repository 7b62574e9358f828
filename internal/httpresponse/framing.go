package httpresponse

import (
	"bytes"
	"net/http"
)

// The header fields that state where a response ends.
var (
	contentLengthField    = []byte("Content-Length")
	transferEncodingField = []byte("Transfer-Encoding")
)

// IsUnframed reports whether a response has neither a length nor chunked encoding, so that its
// body ends with the connection.
func IsUnframed(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// hasConflictingLengths reports whether the text of a head has both fields that state a length, or
// one that net/http has ignored. net/http drops the Content-Length of a chunked response.
func hasConflictingLengths(head *http.Response, text []byte) bool {
	hasLength := hasField(text, contentLengthField)
	hasEncoding := hasField(text, transferEncodingField)
	switch {
	case hasLength && hasEncoding:
		return true
	case hasLength:
		return head.ContentLength < 0
	case hasEncoding:
		return len(head.TransferEncoding) == 0
	}
	return false
}

// hasField reports whether the text of a head has a field of the given name, also if there is
// space before its colon.
func hasField(text, name []byte) bool {
	for line := range bytes.Lines(text) {
		field, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimRight(field, " \t"), name) {
			return true
		}
	}
	return false
}
