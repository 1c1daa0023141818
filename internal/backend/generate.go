package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	engineDialTimeout     = time.Second
	engineIdleConnections = 64
	engineIdleTimeout     = 60 * time.Second
	// maxRefusalBytes limits how much of an error response is read.
	maxRefusalBytes = 4 << 10
	cancelTimeout   = 2 * time.Second
)

// HeaderZone carries the zone of the calling node.
const HeaderZone = "X-Zone"

// GenerateRequest is one attempt of a model request.
type GenerateRequest struct {
	RequestID fleet.RequestID
	Attempt   int
	Priority  int
	Model     fleet.ModelVersion
	Adapter   fleet.AdapterName
	// Path is PathChat or PathCompletions.
	Path string
	Body Body
	// ContinueFrom holds the tokens already delivered to the caller.
	ContinueFrom []string
}

// Generator sends model requests to engines and opens their response streams.
type Generator struct {
	transport *http.Transport
	zone      fleet.Zone
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewGenerator returns a client that names zone as the caller's zone. A nil dial uses the real network.
func NewGenerator(zone fleet.Zone, dial DialFunc) *Generator {
	if dial == nil {
		dial = (&net.Dialer{Timeout: engineDialTimeout}).DialContext
	}
	return &Generator{
		zone: zone,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: engineIdleConnections,
			IdleConnTimeout:     engineIdleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
		},
	}
}

// Close closes idle connections.
func (g *Generator) Close() {
	g.transport.CloseIdleConnections()
}

// Open sends the request. The stream stays open until it is closed or the
// context ends. The error is a *SendError or a *Refusal.
func (g *Generator) Open(ctx context.Context, address string, request GenerateRequest) (*Stream, error) {
	body, err := request.Body.encode(request.ContinueFrom)
	if err != nil {
		return nil, &SendError{NeverSent: true, Err: err}
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.Path, bytes.NewReader(body))
	if err != nil {
		return nil, &SendError{NeverSent: true, Err: err}
	}
	header := call.Header
	header.Set("Content-Type", "application/json")
	header.Set(HeaderModel, request.Model.String())
	if request.Adapter != "" {
		header.Set(HeaderAdapter, string(request.Adapter))
	}
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	g.setAttemptHeaders(header, request.RequestID, request.Attempt)
	return g.openStream(call)
}

// Resume requests the remainder of an attempt's response, starting at sequence
// number from.
func (g *Generator) Resume(ctx context.Context, address string, id fleet.RequestID, attempt, from int) (*Stream, error) {
	target := fmt.Sprintf("http://%s%s%s/stream?from=%d", address, PathRequests, url.PathEscape(string(id)), from)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &SendError{NeverSent: true, Err: err}
	}
	g.setAttemptHeaders(call.Header, id, attempt)
	return g.openStream(call)
}

// Cancel tells the engine to stop the attempt because nobody waits for its
// response. It has a timeout of its own and is independent of the caller's
// context.
func (g *Generator) Cancel(address string, id fleet.RequestID, attempt int) error {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	target := "http://" + address + PathRequests + url.PathEscape(string(id))
	call, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	g.setAttemptHeaders(call.Header, id, attempt)
	response, err := g.transport.RoundTrip(call)
	if err != nil {
		return err
	}
	drainBody(response)
	return nil
}

func (g *Generator) setAttemptHeaders(header http.Header, id fleet.RequestID, attempt int) {
	header.Set(HeaderRequestID, string(id))
	header.Set(HeaderAttempt, strconv.Itoa(attempt))
	header.Set(HeaderZone, string(g.zone))
}

// openStream sends the request without following redirects, since a redirect
// would send the body a second time.
func (g *Generator) openStream(call *http.Request) (*Stream, error) {
	var used sentOver
	call = call.WithContext(used.trace(call.Context(), nil))
	response, err := g.transport.RoundTrip(call)
	if err != nil {
		return nil, &SendError{NeverSent: used.conn.Load() == nil, Err: err}
	}
	if err := bounded.CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, &SendError{Err: err}
	}
	if response.StatusCode != http.StatusOK {
		if err := used.checkIdentity(call, response); err != nil {
			return nil, err
		}
		return nil, readRefusal(response)
	}
	opened := newStream(response.Body)
	opened.hint = readHint(response)
	return opened, nil
}

func readRefusal(response *http.Response) *Refusal {
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	refusal := &Refusal{
		Status:     response.StatusCode,
		NotRun:     response.Header.Get(HeaderNotRun) == "true",
		RetryAfter: parseRetryAfter(response.Header.Get("Retry-After")),
		Hint:       readHint(response),
		Body:       body,
	}
	refusal.Hint.Draining = refusal.Hint.Draining || refusal.NotRun && isDrainingProblem(body)
	return refusal
}

func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

const maxRetryAfterSeconds = 3600

// drainBody reads the rest of a short response so that its connection can be
// reused.
func drainBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close()
}

// Body is a caller's JSON object without the members that the node sets itself.
type Body map[string]json.RawMessage

// Members of a request body that the node sets itself.
const (
	memberStream       = "stream"
	memberContinueFrom = "continue_from"
)

var errNullBody = errors.New("null is no object")

// ParseBody parses a caller's body.
func ParseBody(body []byte) (Body, error) {
	var members Body
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, err
	}
	if members == nil {
		return nil, errNullBody
	}
	// Engines may match member names case-insensitively, as encoding/json does.
	for name := range members {
		if strings.EqualFold(name, memberContinueFrom) || strings.EqualFold(name, memberStream) {
			delete(members, name)
		}
	}
	return members, nil
}

// encode returns the body to send to an engine. Engines are always asked to
// stream.
func (b Body) encode(continueFrom []string) ([]byte, error) {
	members := make(map[string]json.RawMessage, len(b)+2)
	for name, value := range b {
		members[name] = value
	}
	members[memberStream] = json.RawMessage("true")
	if len(continueFrom) > 0 {
		tokens, err := json.Marshal(continueFrom)
		if err != nil {
			return nil, err
		}
		members[memberContinueFrom] = tokens
	}
	return json.Marshal(members)
}
