package bounded

import (
	"io"
	"net/http"
	"strings"
)

// LimitBodies returns a transport whose responses fail with ErrTooLong once more than limit bytes of their
// body were read, and with ErrUnframed at once if they have neither a length nor chunks: a part of one looks
// whole. Heads that are malformed fail as CheckHead says; they are bounded by http.Transport.MaxResponseHeaderBytes.
func LimitBodies(next http.RoundTripper, limit int64) http.RoundTripper {
	return &bodyLimiter{next: next, limit: limit}
}

type bodyLimiter struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (l *bodyLimiter) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := l.check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: l.limit}
	return response, nil
}

func (l *bodyLimiter) check(response *http.Response) error {
	if isUnframed(response) {
		return ErrUnframed.New("the response with status %d has neither a length nor chunks", response.StatusCode)
	}
	return CheckHead(response)
}

// isUnframed reports whether the body ends with its connection. The length of a body that net/http decompresses is
// not known either.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed
}

// CloseIdleConnections closes those of the underlying transport, as http.Client does.
func (l *bodyLimiter) CloseIdleConnections() {
	if closer, ok := l.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	b.left -= int64(count)
	if b.left < 0 {
		return 0, ErrTooLong.New("a body is longer than allowed")
	}
	return count, err
}

// maxDiscardedBytes is how much net/http reads of a body that no handler read, to keep the connection.
const maxDiscardedBytes = 256 << 10

// LeaveLongBody is LeaveBody for a request whose body net/http would not read to its end.
func LeaveLongBody(writer http.ResponseWriter, request *http.Request) {
	if request.ContentLength > maxDiscardedBytes {
		LeaveBody(writer)
	}
}

// LeaveBody makes the connection close after a response that is written before the request's body was read.
// net/http resets such a connection at once while the caller still sends, and the caller does not get the
// response, unless a MaxBytesReader has met its limit: then it closes its side first and waits a little.
func LeaveBody(writer http.ResponseWriter) {
	beyond := http.MaxBytesReader(writer, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = beyond.Read(make([]byte, 1))
}
