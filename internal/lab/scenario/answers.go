package scenario

import (
	"strings"

	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// engineAnswers recomputes the answers of the engine stand-ins.
type engineAnswers struct{}

// Expected implements check.Answers.
func (engineAnswers) Expected(target history.Target, body string, maxTokens int) string {
	tokens, _ := engine.Answer([]byte(body), maxTokens, target.Model, target.Adapter)
	return strings.Join(tokens, "")
}
