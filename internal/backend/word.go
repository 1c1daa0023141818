package backend

import (
	"errors"
	"net/http"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// readWord reads what a back end tells of its own future with the head of an answer.
func readWord(response *http.Response) inventory.Word {
	word := inventory.Word{
		Leaving: response.Header.Get(HeaderLeaving) == "true",
		Limit:   inventory.ParseRateLimit(response.Header.Values(HeaderRateLimit)),
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		word.Rest = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	return word
}

// WordOf is what a back end told as a stream was opened, which it may have refused.
func WordOf(stream *Stream, err error) inventory.Word {
	if err == nil {
		return stream.word
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Word
	}
	return inventory.Word{}
}
