package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
)

// Node is the node that an agent controls. The node does not know about the fleet.
type Node interface {
	// Serving reports whether the node answers and accepts requests.
	Serving(ctx context.Context) bool
	// Drain takes the node out of service for the given reason, and waits until no request is open. It returns an error
	// if requests are still open after deadline, or if ctx is done first.
	Drain(ctx context.Context, deadline time.Duration, reason string) error
	// Resume puts the node back in service on behalf of who. It returns once the node serves, or when ctx is done.
	Resume(ctx context.Context, who string) error
	// DisableServer disables one server at the node.
	DisableServer(ctx context.Context, server string) error
	// EnableServer reverts DisableServer. It returns nil if the server is already enabled.
	EnableServer(ctx context.Context, server string) error
	// DisabledServers returns the servers that the agent or an operator has disabled at the node.
	DisabledServers(ctx context.Context) ([]string, error)
	// ServersByZone returns the servers of the node's endpoint list, by zone.
	ServersByZone(ctx context.Context) (map[string][]string, error)
}

// NodeClient implements Node through the admin API of a node.
type NodeClient struct {
	client *Client
	base   string // host part of request URLs
}

const (
	// pollInterval is the time between two status requests while the client waits for a node.
	pollInterval = 50 * time.Millisecond
	// socketHost is the placeholder for the host in request URLs over a Unix socket.
	socketHost = "door"
	// requester is the name of the operator that the agent gives in its drain requests.
	requester = "fleet"
)

// NewNodeClient returns a client of the admin API at address, which is the path of a Unix socket or IP:port.
// authToken is the bearer token.
func NewNodeClient(address, authToken string) *NodeClient {
	httpClient, _ := adminapi.NewClient(address, authToken, nil)
	base := address
	if strings.HasPrefix(address, "/") {
		base = socketHost
	}
	return &NodeClient{client: &Client{AuthToken: authToken, HTTP: httpClient}, base: base}
}

func (c *NodeClient) call(ctx context.Context, method, path string, body, result any) error {
	return c.client.Call(ctx, method, c.base, path, body, result)
}

func (c *NodeClient) status(ctx context.Context) (status node.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/status", struct{}{}, &status)
	return status, err
}

// Serving implements Node.
func (c *NodeClient) Serving(ctx context.Context) bool {
	status, err := c.status(ctx)
	return err == nil && status.Drain.State == drain.Serving
}

// Drain implements Node. If an earlier request or an operator has already started a drain, Drain waits for the end of
// that drain.
func (c *NodeClient) Drain(ctx context.Context, deadline time.Duration, reason string) error {
	order := node.DrainRequest{Timeout: deadline.String(), RequestedBy: requester, Reason: reason}
	for ctx.Err() == nil {
		status, err := c.status(ctx)
		switch {
		case err != nil: // retry after pollInterval
		case status.Drain.State == drain.Forced:
			return fmt.Errorf("the drain deadline passed with %d requests open; they were answered", status.Drain.OpenAtDeadline)
		case status.Drain.State.Done():
			return nil
		case status.Drain.State == drain.Serving:
			err := c.call(ctx, http.MethodPost, "/drain", order, new(node.Status))
			if errors.Is(err, ErrRejected) {
				return err
			}
		}
		waitPollInterval(ctx)
	}
	return fmt.Errorf("draining the node: %w", ctx.Err())
}

// Resume implements Node. If the node was restarted, it already serves, and there is no drain to cancel.
func (c *NodeClient) Resume(ctx context.Context, who string) error {
	for ctx.Err() == nil {
		status, err := c.status(ctx)
		if err == nil {
			if status.Drain.State == drain.Serving {
				return nil
			}
			// An error needs no handling, because the next status shows whether the node serves.
			_ = c.call(ctx, http.MethodDelete, "/drain", node.DrainRequest{RequestedBy: who}, new(node.Status))
		}
		waitPollInterval(ctx)
	}
	return fmt.Errorf("resuming the node: %w", ctx.Err())
}

func waitPollInterval(ctx context.Context) {
	select {
	case <-time.After(pollInterval):
	case <-ctx.Done():
	}
}

func serverDrainPath(server string) string { return "/servers/" + url.PathEscape(server) + "/drain" }

// DisableServer implements Node.
func (c *NodeClient) DisableServer(ctx context.Context, server string) error {
	return c.call(ctx, http.MethodPost, serverDrainPath(server), struct{}{}, new(map[string][]string))
}

// EnableServer implements Node.
func (c *NodeClient) EnableServer(ctx context.Context, server string) error {
	err := c.call(ctx, http.MethodDelete, serverDrainPath(server), struct{}{}, new(map[string][]string))
	if !errors.Is(err, ErrRejected) {
		return err
	}
	disabled, statusErr := c.DisabledServers(ctx)
	if statusErr == nil && !slices.Contains(disabled, server) {
		return nil // already enabled
	}
	return err
}

// DisabledServers implements Node.
func (c *NodeClient) DisabledServers(ctx context.Context) ([]string, error) {
	status, err := c.status(ctx)
	return status.DisabledServers, err
}

// ServersByZone implements Node.
func (c *NodeClient) ServersByZone(ctx context.Context) (servers map[string][]string, err error) {
	err = c.call(ctx, http.MethodGet, "/servers", struct{}{}, &servers)
	return servers, err
}
