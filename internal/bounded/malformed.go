package bounded

import (
	"net/http"
	"strings"
)

// ErrMalformed reports that bytes are no response of HTTP/1.x, though net/http reads them as one.
var ErrMalformed = errorNamespace.NewType("malformed")

// minStatus is the smallest status of a response (RFC 9110, section 15).
const minStatus = 100

// CheckHead returns ErrMalformed if the head of a response, as net/http has read it, has another major version than 1,
// a status below 100, or a field whose name is no token. net/http accepts blanks in names and overlooks such fields: a
// length with a blank before its colon is none, and the body is then framed in another way than its sender did. Statuses
// over 599 are left to the receiver.
func CheckHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return ErrMalformed.New("a response of %.20q", response.Proto)
	case response.StatusCode < minStatus:
		return ErrMalformed.New("a response with status %d", response.StatusCode)
	default:
		return CheckFields(response.Header)
	}
}

// CheckFields returns ErrMalformed if the name of a header or trailer field is no token (RFC 9110, section 5.6.2).
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return ErrMalformed.New("a field with the name %.40q", name)
		}
	}
	return nil
}

func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, isNoTokenRune) < 0
}

// isNoTokenRune reports whether a token may not have the rune.
func isNoTokenRune(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
}
