package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// DefaultAnswerTokens is the answer length if max_tokens is not set.
	DefaultAnswerTokens = 32
	// MaxAnswerTokens is the maximum answer length.
	MaxAnswerTokens = 8192

	finishLength = "length"
	finishStop   = "stop"

	lettersPerToken = 5
)

// PromptHash hashes the part of a request body that determines the answer: its
// messages or its prompt.
func PromptHash(body []byte) uint64 {
	return xxhash.Sum64(backend.PromptText(body))
}

// TokenText returns the text of an answer's token at the given index. It depends
// only on its parameters, so that every engine gives the same answer to the same
// prompt.
func TokenText(promptHash uint64, model fleet.ModelVersion, adapter fleet.AdapterName, index int) string {
	key := make([]byte, 0, 64)
	key = binary.BigEndian.AppendUint64(key, promptHash)
	key = binary.BigEndian.AppendUint64(key, uint64(index))
	key = append(key, model.String()...)
	key = append(key, 0)
	key = append(key, adapter...)
	sum := xxhash.Sum64(key)
	text := make([]byte, 0, lettersPerToken+1)
	text = append(text, ' ')
	for range lettersPerToken {
		text = append(text, byte('a'+sum%26))
		sum /= 26
	}
	return string(text)
}

// AnswerLength returns the number of tokens and the finish reason of an answer.
func AnswerLength(maxTokens int) (tokens int, finish string) {
	switch {
	case maxTokens <= 0:
		return DefaultAnswerTokens, finishStop
	case maxTokens > MaxAnswerTokens:
		return MaxAnswerTokens, finishStop
	default:
		return maxTokens, finishLength
	}
}

// Answer returns the complete answer that every engine gives to a request body.
func Answer(body []byte, maxTokens int, model fleet.ModelVersion, adapter fleet.AdapterName) (tokens []string, finish string) {
	hash := PromptHash(body)
	count, finish := AnswerLength(maxTokens)
	tokens = make([]string, count)
	for index := range tokens {
		tokens[index] = TokenText(hash, model, adapter, index)
	}
	return tokens, finish
}
