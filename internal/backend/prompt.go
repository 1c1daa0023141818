package backend

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// PromptBytesPerToken is the length of a prompt token that estimates use.
	PromptBytesPerToken = 4
	// PrefixBlockTokens is the length of one block of an engine's prefix cache.
	PrefixBlockTokens = 64

	prefixBlockBytes = PrefixBlockTokens * PromptBytesPerToken
)

// PromptText returns the part of a request's body that is the prompt: its
// messages or its prompt, without insignificant white space.
func PromptText(body []byte) []byte {
	var parts struct {
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if json.Unmarshal(body, &parts) != nil {
		return nil
	}
	var text bytes.Buffer
	for _, part := range []json.RawMessage{parts.Messages, parts.Prompt} {
		if len(part) > 0 && json.Compact(&text, part) != nil {
			return nil
		}
	}
	return text.Bytes()
}

// PromptTokens estimates the tokens of a prompt text.
func PromptTokens(prompt []byte) int {
	return (len(prompt) + PromptBytesPerToken - 1) / PromptBytesPerToken
}

// PrefixHashes names the whole blocks of a prompt text as an engine's cache
// events do, shortest prefix first: each hash covers all text before it too.
func PrefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/prefixBlockBytes)
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.Write(prompt[end-prefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
