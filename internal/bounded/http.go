package bounded

import (
	"io"
	"net/http"
)

// LimitBodies returns a transport whose responses fail with ErrTooLong once more than limit bytes of their
// body were read. Their heads are bounded by http.Transport.MaxResponseHeaderBytes.
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
	response.Body = &limitedBody{ReadCloser: response.Body, left: l.limit}
	return response, nil
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
