package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	serviceDialTimeout     = 500 * time.Millisecond
	serviceIdleConnections = 16
	// maxServiceAnswerBytes limits the body of a service's response.
	maxServiceAnswerBytes = 4 << 20
)

// HeaderIdempotencyKey carries the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// ServiceCall is one attempt of a call to a service.
type ServiceCall struct {
	RequestID fleet.RequestID
	Attempt   int
	Method    string
	// Target is the path and query.
	Target      string
	ContentType string
	Accept      string
	Key         string
	Body        []byte
	// Repeatable calls may reuse a connection, on which net/http may send a
	// request twice.
	Repeatable bool
	// MayStart is called before the first byte is written to a connection that
	// has not been used before; if it returns false, nothing is sent. Nil
	// always allows the write.
	MayStart func() bool
}

// ServiceAnswer is the complete response to a service call.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Location    string
	RetryAfter  string
	Body        []byte
	// Length is the length in bytes that the service announced for the body, also in response to HEAD; negative
	// if none.
	Length int64
	// EndedByClose is set if the response had neither a length nor chunks, so that the end of its connection
	// ended its body.
	EndedByClose bool
	// NotRun is set if the backend states that nothing was executed.
	NotRun bool
	// Hint holds what the backend announced about its availability.
	Hint inventory.Hint
}

// Services sends calls to service backends. A call that is not repeatable uses a
// new connection: net/http retries a request only on a reused connection, and
// there it retries even a POST if the request has an Idempotency-Key or if it
// believes that nothing was written.
type Services struct {
	zone      fleet.Zone
	pooled    *http.Transport
	singleUse *http.Transport
}

// NewServices returns a client that names zone as the caller's zone.
func NewServices(zone fleet.Zone) *Services {
	return &Services{
		zone: zone,
		pooled: &http.Transport{
			DialContext:         dialTracked,
			MaxIdleConnsPerHost: serviceIdleConnections,
			IdleConnTimeout:     engineIdleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
		},
		singleUse: &http.Transport{
			DialContext:        dialTracked,
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
		},
	}
}

// Close closes idle connections.
func (s *Services) Close() {
	s.pooled.CloseIdleConnections()
	s.singleUse.CloseIdleConnections()
}

// Call sends the call once and reads the whole response. It does not follow
// redirects. The error is a *SendError.
func (s *Services) Call(ctx context.Context, address string, call ServiceCall) (*ServiceAnswer, error) {
	var used atomic.Pointer[trackedConn]
	var sent sentOver
	ctx = sent.trace(ctx, func(conn net.Conn) {
		connection, _ := conn.(*trackedConn)
		if connection != nil {
			connection.mayStart = call.MayStart
		}
		used.Store(connection)
	})
	defer func() { used.Load().endExchange() }()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &SendError{NeverSent: true, Err: err}
	}
	transport := s.singleUse
	if call.Repeatable {
		transport = s.pooled
	}
	s.setHeader(request.Header, call)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, &SendError{NeverSent: used.Load().blockIfUnwritten(), Err: err}
	}
	defer response.Body.Close()
	if err := bounded.CheckHead(response); err != nil {
		return nil, &SendError{Err: err}
	}
	if err := sent.checkIdentity(request, response); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err == nil {
		err = bounded.CheckFields(response.Trailer)
	}
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, &SendError{Err: &ProtocolError{Detail: "the answer is too long"}}
	}
	answer := &ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Location:    response.Header.Get("Location"),
		RetryAfter:  response.Header.Get("Retry-After"),
		Body:        body,
		NotRun:      response.Header.Get(HeaderNotRun) == "true",
		Hint:        readHint(response),

		Length:       response.ContentLength,
		EndedByClose: isEndedByClose(response),
	}
	answer.Hint.Draining = answer.Hint.Draining || answer.NotRun && isDrainingProblem(body)
	return answer, nil
}

// isEndedByClose reports whether the response's body ends with its connection (RFC 9112, section 6.3).
func isEndedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

func (s *Services) setHeader(header http.Header, call ServiceCall) {
	header.Set(HeaderRequestID, string(call.RequestID))
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Set(HeaderZone, string(s.zone))
	setIfNotEmpty(header, "Content-Type", call.ContentType)
	setIfNotEmpty(header, "Accept", call.Accept)
	setIfNotEmpty(header, HeaderIdempotencyKey, call.Key)
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// RetryAfterDuration returns the backend's Retry-After, or 0 if there is none.
func (a *ServiceAnswer) RetryAfterDuration() time.Duration {
	return parseRetryAfter(a.RetryAfter)
}
