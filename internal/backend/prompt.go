package backend

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// PromptBytesPerToken is the assumed length of a prompt token.
	PromptBytesPerToken = 4
	// PrefixBlockTokens is the number of tokens in one block of an engine's
	// prefix cache.
	PrefixBlockTokens = 64

	prefixBlockBytes = PrefixBlockTokens * PromptBytesPerToken
)

// PromptText returns the prompt in a request body: its "messages" and "prompt"
// members without insignificant white space. It returns nil for malformed JSON.
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

// PromptTokens estimates the number of tokens in a prompt text.
func PromptTokens(prompt []byte) int {
	return (len(prompt) + PromptBytesPerToken - 1) / PromptBytesPerToken
}

// PrefixHashes returns the hashes by which an engine's cache events identify the
// prefixes of a prompt text, shortest first. There is one for each complete
// block, and it covers the block and all text before it.
func PrefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/prefixBlockBytes)
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.Write(prompt[end-prefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
