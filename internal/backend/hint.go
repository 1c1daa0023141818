package backend

import (
	"errors"
	"net/http"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// readHint reads what a back end tells of its own future with the head of an answer.
func readHint(response *http.Response) inventory.Hint {
	hint := inventory.Hint{
		Draining: response.Header.Get(HeaderLeaving) == "true",
		Limit:    inventory.ParseRateLimit(response.Header.Values(HeaderRateLimit)),
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		hint.Backoff = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	return hint
}

// HintOf is what a back end told as a stream was opened, which it may have refused.
func HintOf(stream *Stream, err error) inventory.Hint {
	if err == nil {
		return stream.hint
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Hint
	}
	return inventory.Hint{}
}
