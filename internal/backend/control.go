package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

const (
	controlDialTimeout     = 500 * time.Millisecond
	controlIdleConnections = 2
	controlIdleTimeout     = 90 * time.Second
	// maxStateBytes limits the size of a control response.
	maxStateBytes = 8 << 20
)

// FenceRefusedError reports that the engine rejected a claim or an order because
// of its fence or incarnation. The engine's state is unchanged.
type FenceRefusedError struct{ Refusal FenceRefusal }

// Error implements error.
func (e *FenceRefusedError) Error() string {
	return fmt.Sprintf("fence refused: engine holds fence %s in incarnation %d", e.Refusal.Fence, e.Refusal.Incarnation)
}

// OrderRefusedError reports that the engine cannot execute the order. The
// engine's state is unchanged.
type OrderRefusedError struct{ Refusal OrderRefusal }

// Error implements error.
func (e *OrderRefusedError) Error() string { return "order refused: " + e.Refusal.Reason }

// UnavailableError reports that no usable response arrived. A claim or an order
// may have taken effect, or may still do so.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "engine unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// EngineControl is the client of the engines' control API. Only the context
// limits the duration of a call.
type EngineControl struct {
	zone   fleet.Zone
	client *http.Client
}

// NewEngineControl returns a client that names zone as the caller's zone.
func NewEngineControl(zone fleet.Zone) *EngineControl {
	return &EngineControl{
		zone: zone,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: controlDialTimeout}).DialContext,
			MaxIdleConnsPerHost: controlIdleConnections,
			IdleConnTimeout:     controlIdleTimeout,

			MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
		}},
	}
}

// CountTraffic counts the client's traffic in channel. It must be called before
// the first request.
func (c *EngineControl) CountTraffic(channel *traffic.ChannelCounters) {
	channel.InstrumentClient(c.client)
}

// Close closes idle connections.
func (c *EngineControl) Close() { c.client.CloseIdleConnections() }

// State returns the engine's current state.
func (c *EngineControl) State(ctx context.Context, address string) (fleet.EngineState, error) {
	return c.call(ctx, http.MethodGet, address, PathEngineState, nil)
}

// Claim claims leadership of the engine and returns its state at the time of the
// grant.
func (c *EngineControl) Claim(ctx context.Context, address string, claim Claim) (fleet.EngineState, error) {
	return c.call(ctx, http.MethodPost, address, PathEngineClaim, claim)
}

// Order sends an order and returns the engine's state after accepting it.
func (c *EngineControl) Order(ctx context.Context, address string, order Order) (fleet.EngineState, error) {
	return c.call(ctx, http.MethodPost, address, PathEngineOrders, order)
}

func (c *EngineControl) call(ctx context.Context, method, address, path string, body any) (fleet.EngineState, error) {
	request, err := c.request(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fleet.EngineState{}, &UnavailableError{Cause: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fleet.EngineState{}, &UnavailableError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := bounded.CheckHead(response); err != nil {
		return fleet.EngineState{}, &UnavailableError{Cause: err}
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return fleet.EngineState{}, &UnavailableError{Cause: err}
	}
	return decodeControlResponse(response.StatusCode, content)
}

func (c *EngineControl) request(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(HeaderZone, string(c.zone))
	return request, nil
}

func decodeControlResponse(status int, content []byte) (fleet.EngineState, error) {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		var state fleet.EngineState
		if err := json.Unmarshal(content, &state); err != nil {
			return fleet.EngineState{}, &UnavailableError{Cause: err}
		}
		return state, nil
	case http.StatusConflict:
		var refusal FenceRefusal
		if err := json.Unmarshal(content, &refusal); err != nil {
			return fleet.EngineState{}, &UnavailableError{Cause: err}
		}
		return fleet.EngineState{}, &FenceRefusedError{Refusal: refusal}
	case http.StatusUnprocessableEntity:
		var refusal OrderRefusal
		if err := json.Unmarshal(content, &refusal); err != nil {
			return fleet.EngineState{}, &UnavailableError{Cause: err}
		}
		return fleet.EngineState{}, &OrderRefusedError{Refusal: refusal}
	default:
		return fleet.EngineState{}, &UnavailableError{Cause: fmt.Errorf("status %d: %.200s", status, content)}
	}
}
