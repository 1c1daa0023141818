package backend

import (
	"errors"
	"net/http"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// readHint returns the availability hint in the headers of a backend's response.
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

// HintOf returns the hint that came with the result of opening a stream: that of
// the stream, or that of the refusal in err.
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
