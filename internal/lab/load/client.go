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

// Headers of the callers' API.
const (
	headerRequestID = "X-Request-Id"
	headerLabels    = "X-Spanlanding-Labels"
	headerKey       = "Idempotency-Key"
	problemType     = "application/problem+json"
)

const (
	dialTimeout = 2 * time.Second
	// grace is how long beyond any deadline a caller waits before it gives up,
	// so that a request without an end is seen as one.
	grace = 10 * time.Second
	// tokenTime bounds the time of one token.
	tokenTime = 200 * time.Millisecond
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 4 << 20
)

// Client sends single requests.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses each connection once: net/http would
// otherwise send a request again by itself when a reused connection breaks,
// and a key sent twice by the load generator would look like the system's act.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// Send sends one call and returns when it has ended or the caller gave up.
func (c *Client) Send(ctx context.Context, call Call, id fleet.RequestID) history.Record {
	record := history.Record{
		RequestID: id, Phase: call.Phase, Node: call.Node, Kind: call.Kind,
		Method: call.Method, Path: call.Path, Key: call.Key, Model: call.Class.Model,
		MaxTokens: call.MaxTokens, Deadline: call.Class.Deadline, Targets: call.Class.Targets,
	}
	ctx, cancel := context.WithTimeout(ctx, call.Class.Deadline+time.Duration(call.MaxTokens)*tokenTime+grace)
	defer cancel()
	body, err := bodyOf(call)
	if err != nil {
		fail(&record, history.Malformed, err)
		return record
	}
	record.Body = string(body)
	request, err := newRequest(ctx, call, id, body)
	record.Sent = time.Now()
	if err != nil {
		fail(&record, history.Malformed, err)
		return record
	}
	response, err := c.http.Do(request)
	if err != nil {
		fail(&record, outcomeOfError(ctx, err), err)
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

func bodyOf(call Call) ([]byte, error) {
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

// readAnswer reads a refusal, a stream or a whole answer into the record.
func readAnswer(ctx context.Context, record *history.Record, response *http.Response) {
	contentType := response.Header.Get("Content-Type")
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case strings.HasPrefix(contentType, problemType):
		readProblem(ctx, record, body)
	case response.StatusCode >= http.StatusBadRequest:
		fail(record, history.Malformed, fmt.Errorf("status %d with content type %q", response.StatusCode, contentType))
	case record.Kind == history.KindStream:
		readStream(ctx, record, body)
	default:
		readWhole(ctx, record, body)
	}
}

// problem is the part of a refusal that is judged.
type problem struct {
	Outcome history.Outcome `json:"outcome"`
	Code    string          `json:"code"`
	Detail  string          `json:"detail"`
}

func readProblem(ctx context.Context, record *history.Record, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		fail(record, outcomeOfError(ctx, err), err)
		return
	}
	var refusal problem
	if err := json.Unmarshal(content, &refusal); err != nil {
		fail(record, history.Malformed, err)
		return
	}
	refuse(record, refusal)
}

// refuse ends the record with what a refusal states.
func refuse(record *history.Record, refusal problem) {
	record.Code, record.Error = refusal.Code, refusal.Detail
	switch refusal.Outcome {
	case history.NotRun, history.Unknown, history.Failed:
		record.Outcome = refusal.Outcome
		record.Ends++
	default:
		fail(record, history.Malformed, fmt.Errorf("a refusal with the outcome %q", refusal.Outcome))
	}
}

func fail(record *history.Record, outcome history.Outcome, err error) {
	record.Outcome = outcome
	record.Error = err.Error()
	record.Ended = time.Now()
}

// outcomeOfError tells what an error of the connection means for the caller.
func outcomeOfError(ctx context.Context, err error) history.Outcome {
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
