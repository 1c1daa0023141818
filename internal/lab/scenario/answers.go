package scenario

import (
	"strings"

	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// engineAnswers works out anew what the engine stand-ins answer.
type engineAnswers struct{}

// Expected implements check.Answers.
func (engineAnswers) Expected(target history.Target, body string, maxTokens int) string {
	tokens, _ := engine.Answer([]byte(body), maxTokens, target.Model, target.Adapter)
	return strings.Join(tokens, "")
}
