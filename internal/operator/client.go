package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxAnswerBytes bounds an answer of an operators' port.
const maxAnswerBytes = 64 << 20

// NodeClient calls the operators' port of a node.
type NodeClient struct {
	base   string
	client *http.Client
}

// NewNodeClient returns a client for IP:port or an http URL.
func NewNodeClient(address string, client *http.Client) *NodeClient {
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &NodeClient{base: base, client: client}
}

// Status returns what the node knows.
func (c *NodeClient) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, PathStatus, &status)
}

// Versions returns the configuration in force at the members that it knows.
func (c *NodeClient) Versions(ctx context.Context) (VersionReport, error) {
	var report VersionReport
	return report, c.call(ctx, http.MethodGet, PathVersions, &report)
}

// Drain begins a planned stop of the node.
func (c *NodeClient) Drain(ctx context.Context) (DrainReport, error) {
	var report DrainReport
	return report, c.call(ctx, http.MethodPost, PathDrain, &report)
}

func (c *NodeClient) call(ctx context.Context, method, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return ErrUsage.Wrap(err, "no address of a node: %s", c.base)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ErrUnreachable.Wrap(err, "no answer from the node at %s", c.base)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return ErrUnreachable.Wrap(err, "the answer of the node at %s broke off", c.base)
	}
	if response.StatusCode/100 != 2 {
		return ErrUnreachable.New("the node at %s answered %s: %s", c.base, response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return ErrUnreachable.Wrap(err, "the answer of the node at %s is no JSON", c.base)
	}
	return nil
}
