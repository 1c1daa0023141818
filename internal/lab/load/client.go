package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// Headers and the content type of refusals in the API for callers.
const (
	headerRequestID = "X-Request-Id"
	headerLabels    = "X-Spanlanding-Labels"
	headerKey       = "Idempotency-Key"
	problemType     = "application/problem+json"
)

const (
	dialTimeout = 2 * time.Second
	// giveUpMargin is how long after the deadline the client gives up on a
	// request. It is long enough to tell a late answer from one that never comes.
	giveUpMargin = 10 * time.Second
	// maxTokenTime is the time allowed for the generation of one token.
	maxTokenTime = 200 * time.Millisecond
	// maxAnswerBytes limits how much of an answer is read.
	maxAnswerBytes = 4 << 20
)

// Client sends requests over HTTP.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses each connection for one request only. On
// a reused connection that breaks, net/http may retry a request on its own, and a
// key that the load generator sent twice would look like a retry by the system.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// Send sends one call and returns its record when the call has ended or timed
// out.
func (c *Client) Send(ctx context.Context, call Call, id fleet.RequestID) history.Record {
	record := history.Record{
		RequestID: id, Phase: call.Phase, Node: call.Node, Kind: call.Kind,
		Method: call.Method, Path: call.Path, Key: call.Key, Model: call.Class.Model,
		MaxTokens: call.MaxTokens, Deadline: call.Class.Deadline, Targets: call.Class.Targets,
	}
	ctx, cancel := context.WithTimeout(ctx, call.Class.Deadline+time.Duration(call.MaxTokens)*maxTokenTime+giveUpMargin)
	defer cancel()
	body, err := requestBody(call)
	if err != nil {
		recordFailure(&record, history.Malformed, err)
		return record
	}
	record.Body = string(body)
	request, err := newRequest(ctx, call, id, body)
	record.Sent = time.Now()
	if err != nil {
		recordFailure(&record, history.Malformed, err)
		return record
	}
	response, err := c.http.Do(request)
	if err != nil {
		recordFailure(&record, outcomeOf(ctx, err), err)
		return record
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.AnswerID = response.Header.Get(headerRequestID)
	record.RetryAfter = response.Header.Get("Retry-After")
	readAnswer(ctx, &record, response)
	record.Ended = time.Now()
	return record
}

func newRequest(ctx context.Context, call Call, id fleet.RequestID, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Node+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, string(id))
	if call.Key != "" {
		request.Header.Set(headerKey, call.Key)
	}
	if len(call.Class.Labels) > 0 {
		request.Header.Set(headerLabels, labelHeader(call.Class.Labels))
	}
	return request, nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type modelRequest struct {
	Model     string        `json:"model,omitempty"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
}

func requestBody(call Call) ([]byte, error) {
	if !call.Kind.ForModel() {
		return []byte(call.Body), nil
	}
	body := modelRequest{
		Model: call.Class.Model, MaxTokens: call.MaxTokens,
		Stream: call.Kind == history.KindStream,
	}
	if call.Path == pathChat {
		body.Messages = []chatMessage{{Role: "user", Content: call.Prompt}}
	} else {
		body.Prompt = call.Prompt
	}
	return json.Marshal(body)
}

// readAnswer reads a refusal, a stream or a non-streamed answer into the record.
func readAnswer(ctx context.Context, record *history.Record, response *http.Response) {
	contentType := response.Header.Get("Content-Type")
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case strings.HasPrefix(contentType, problemType):
		readProblem(ctx, record, body)
	case response.StatusCode >= http.StatusBadRequest:
		recordFailure(record, history.Malformed, fmt.Errorf("status %d with content type %q", response.StatusCode, contentType))
	case record.Kind == history.KindStream:
		readStream(ctx, record, body)
	default:
		readWhole(ctx, record, body)
	}
}

// problem has the fields of a refusal that are recorded.
type problem struct {
	Outcome history.Outcome `json:"outcome"`
	Code    string          `json:"code"`
	Detail  string          `json:"detail"`
}

func readProblem(ctx context.Context, record *history.Record, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		recordFailure(record, outcomeOf(ctx, err), err)
		return
	}
	var refusal problem
	if err := json.Unmarshal(content, &refusal); err != nil {
		recordFailure(record, history.Malformed, err)
		return
	}
	recordRefusal(record, refusal)
}

// recordRefusal records the outcome that a refusal states.
func recordRefusal(record *history.Record, refusal problem) {
	record.Code, record.Error = refusal.Code, refusal.Detail
	switch refusal.Outcome {
	case history.NotRun, history.Unknown, history.Failed:
		record.Outcome = refusal.Outcome
		record.Ends++
	default:
		recordFailure(record, history.Malformed, fmt.Errorf("a refusal with the outcome %q", refusal.Outcome))
	}
}

// recordFailure records an outcome with its error and the time of the end.
func recordFailure(record *history.Record, outcome history.Outcome, err error) {
	record.Outcome = outcome
	record.Error = err.Error()
	record.Ended = time.Now()
}

// outcomeOf classifies a connection error from the caller's point of view.
func outcomeOf(ctx context.Context, err error) history.Outcome {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return history.Unreachable
	case ctx.Err() != nil:
		return history.Unended
	default:
		return history.Broken
	}
}
