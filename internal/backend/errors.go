package backend

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// SendError reports that a call got no response.
type SendError struct {
	// NeverSent is set only if it is certain that no byte was sent.
	NeverSent bool
	Err       error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.NeverSent {
		return "not sent: " + e.Err.Error()
	}
	return "no answer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Refusal is a response with an error status.
type Refusal struct {
	Status int
	// NotRun is set if the backend states that nothing was executed.
	NotRun     bool
	RetryAfter time.Duration
	// Hint holds what the backend announced about its availability.
	Hint inventory.Hint
	// Body is the beginning of the response body.
	Body []byte
}

// Error implements error.
func (e *Refusal) Error() string {
	return fmt.Sprintf("back end answered %d: %.200s", e.Status, e.Body)
}

func isDrainingProblem(body []byte) bool {
	var problem struct {
		Code string `json:"code"`
	}
	return json.Unmarshal(body, &problem) == nil && problem.Code == ReasonLeaving
}

// ProtocolError reports that a response violates the protocol.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string {
	return "answer stream: " + e.Detail
}
