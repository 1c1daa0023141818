package objectstore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
)

// maxEventBytes bounds one line of a watch.
const maxEventBytes = 4 << 20

// Watch reads the changes after a revision in their order, until its context
// ends or the platform breaks it off. It is used by one goroutine.
type Watch struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Watch starts a watch of all changes after a revision. Compacted means that
// the store cannot tell them all. The caller closes the watch, and starts a
// new one where it broke off.
func (c *Client) Watch(ctx context.Context, since uint64) (*Watch, error) {
	query := url.Values{"since": {formatVersion(since)}}
	response, err := c.send(ctx, http.MethodGet, "/v1/watch", query, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, failure(response)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	return &Watch{body: response.Body, lines: lines}, nil
}

// Next waits for the next event.
func (w *Watch) Next() (WatchEvent, error) {
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		var event WatchEvent
		if err := json.Unmarshal(w.lines.Bytes(), &event); err != nil {
			return WatchEvent{}, Unavailable.Wrap(err, "watch event cannot be read")
		}
		return event, nil
	}
	if err := w.lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return WatchEvent{}, Unavailable.Wrap(err, "watch broke off")
	}
	return WatchEvent{}, Unavailable.New("watch ended")
}

// Close ends the watch.
func (w *Watch) Close() {
	_ = w.body.Close()
}
