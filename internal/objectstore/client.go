package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

// ZoneHeader is the request header with the zone of the calling process.
const ZoneHeader = "X-Zone"

const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 4
	// maxErrorBytes bounds how much of an error response's body is read.
	maxErrorBytes = 4 << 10
	// maxListBytes bounds the body of any other response; lists are the largest.
	maxListBytes = 64 << 20
)

// Client calls the object API and the machine list. It is safe for concurrent
// use. It sets no timeout for a whole call: the caller's context must.
type Client struct {
	base string
	zone fleet.Zone
	http *http.Client
}

// NewClient returns a client of the platform at the address (a URL or IP:port) for
// a process in the zone.
func NewClient(address string, zone fleet.Zone) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
	}
	return &Client{
		base: strings.TrimSuffix(address, "/"),
		zone: zone,
		http: &http.Client{Transport: transport},
	}
}

// CountTraffic counts the traffic of all calls in channel. It must be called before the first
// call.
func (c *Client) CountTraffic(channel *traffic.ChannelCounters) {
	channel.InstrumentClient(c.http)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List returns the objects of a kind, or of all kinds if kind is empty, without
// tombstones.
func (c *Client) List(ctx context.Context, kind string) (ObjectList, error) {
	var list ObjectList
	query := url.Values{}
	if kind != "" {
		query.Set("kind", kind)
	}
	err := c.call(ctx, http.MethodGet, "/v1/objects", query, nil, &list)
	return list, err
}

// Get returns one object; it fails with NotFound if the object does not exist or was deleted.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	object, err := c.getWithTombstone(ctx, key)
	if err == nil && object.Deleted {
		return object, NotFound.New("%s/%s was deleted at version %d", key.Kind, key.Name, object.Version)
	}
	return object, err
}

// getWithTombstone is like Get but also returns tombstones.
func (c *Client) getWithTombstone(ctx context.Context, key Key) (Object, error) {
	var object Object
	query := url.Values{"tombstones": {"true"}}
	err := c.call(ctx, http.MethodGet, objectPath(key), query, nil, &object)
	return object, err
}

// Machines returns the list of machines, which may be out of date.
func (c *Client) Machines(ctx context.Context) (MachineList, error) {
	var list MachineList
	err := c.call(ctx, http.MethodGet, "/v1/machines", nil, nil, &list)
	return list, err
}

func objectPath(key Key) string {
	return "/v1/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

// call sends one request and decodes the response into result.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, result any) error {
	response, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxListBytes))
	if err := decoder.Decode(result); err != nil {
		return Unavailable.Wrap(err, "decode the response to %s %s", method, path)
	}
	return nil
}

// send sends one request. Its error is NotSent where no connection could be made.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, Rejected.Wrap(err, "encode the request")
		}
		reader = bytes.NewReader(raw)
	}
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, Rejected.Wrap(err, "create the request")
	}
	request.Header.Set(ZoneHeader, string(c.zone))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	switch {
	case err == nil:
	case isDialError(err):
		return nil, NotSent.Wrap(err, "%s %s", method, path)
	default:
		return nil, Unavailable.Wrap(err, "%s %s", method, path)
	}
	if err := bounded.CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, Unavailable.Wrap(err, "%s %s", method, path)
	}
	return response, nil
}

// isDialError reports whether no connection could be made.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// responseError returns the error for a response with a status other than 200.
func responseError(response *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	text := strings.TrimSpace(string(raw))
	switch {
	case response.StatusCode == http.StatusConflict:
		var conflict ConflictResponse
		if err := json.Unmarshal(raw, &conflict); err != nil {
			return Unavailable.Wrap(err, "decode the conflict response")
		}
		return &ConflictError{Current: conflict.Current}
	case response.StatusCode == http.StatusNotFound:
		return NotFound.New("%s", text)
	case response.StatusCode == http.StatusGone:
		return Compacted.New("%s", text)
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode >= http.StatusInternalServerError:
		return Unavailable.New("status %d: %s", response.StatusCode, text)
	default:
		return Rejected.New("status %d: %s", response.StatusCode, text)
	}
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
