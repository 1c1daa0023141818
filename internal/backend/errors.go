package backend

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// SendError says that a call brought no answer.
type SendError struct {
	// NeverSent is set where it is proved that no byte can have left.
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

// Refusal is an answer with an error status.
type Refusal struct {
	Status int
	// NotRun is the back end's own word that nothing ran.
	NotRun     bool
	RetryAfter time.Duration
	// Word is what the back end told of its own future.
	Hint inventory.Hint
	// Body is the beginning of the answer.
	Body []byte
}

// Error implements error.
func (e *Refusal) Error() string {
	return fmt.Sprintf("back end answered %d: %.200s", e.Status, e.Body)
}

func isLeavingProblem(body []byte) bool {
	var problem struct {
		Code string `json:"code"`
	}
	return json.Unmarshal(body, &problem) == nil && problem.Code == ReasonLeaving
}

// ProtocolError says that a stream does not hold to its form.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string {
	return "answer stream: " + e.Detail
}
