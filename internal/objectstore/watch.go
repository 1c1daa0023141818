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

// Watch reads the changes after a revision in order, until its context ends or the
// platform closes the connection. It is not safe for concurrent use.
type Watch struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Watch starts a watch of all changes after a revision. It fails with Compacted if
// the store does not have all of them. The caller must close the watch, and start a
// new one after an error.
func (c *Client) Watch(ctx context.Context, since uint64) (*Watch, error) {
	query := url.Values{"since": {formatVersion(since)}}
	response, err := c.send(ctx, http.MethodGet, "/v1/watch", query, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, responseError(response)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	return &Watch{body: response.Body, lines: lines}, nil
}

// Next waits for the next event. An error, of type Unavailable, ends the watch.
func (w *Watch) Next() (WatchEvent, error) {
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		var event WatchEvent
		if err := json.Unmarshal(w.lines.Bytes(), &event); err != nil {
			return WatchEvent{}, Unavailable.Wrap(err, "decode the watch event")
		}
		return event, nil
	}
	if err := w.lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return WatchEvent{}, Unavailable.Wrap(err, "read the watch")
	}
	return WatchEvent{}, Unavailable.New("watch ended")
}

// Close closes the watch's connection.
func (w *Watch) Close() {
	_ = w.body.Close()
}
