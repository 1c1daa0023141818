package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// NodeClient calls the operator port of a node.
type NodeClient struct {
	baseURL string
	client  *http.Client
}

// NewNodeClient returns a client for a node; address is IP:port or an HTTP URL.
func NewNodeClient(address string, client *http.Client) *NodeClient {
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &NodeClient{baseURL: base, client: client}
}

// Status returns the node's view of itself and of the fleet.
func (c *NodeClient) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, PathStatus, &status)
}

// Versions returns the active configuration version of each member known to the
// node.
func (c *NodeClient) Versions(ctx context.Context) (VersionReport, error) {
	var report VersionReport
	return report, c.call(ctx, http.MethodGet, PathVersions, &report)
}

// Drain starts a graceful shutdown of the node.
func (c *NodeClient) Drain(ctx context.Context) (DrainReport, error) {
	var report DrainReport
	return report, c.call(ctx, http.MethodPost, PathDrain, &report)
}

func (c *NodeClient) call(ctx context.Context, method, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	if err != nil {
		return ErrUsage.Wrap(err, "no address of a node: %s", c.baseURL)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ErrUnreachable.Wrap(err, "no answer from the node at %s", c.baseURL)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ErrUnreachable.Wrap(err, "the answer of the node at %s broke off", c.baseURL)
	}
	if response.StatusCode/100 != 2 {
		return ErrUnreachable.New("the node at %s answered %s: %s", c.baseURL, response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, result); err != nil {
		return ErrUnreachable.Wrap(err, "the answer of the node at %s is no JSON", c.baseURL)
	}
	return nil
}
