package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/door"
	"cobaltward/internal/node"
)

// NodeClient is the node behind its door.
type NodeClient struct {
	client *Client
	base   string
}

const pollInterval = 50 * time.Millisecond // between looks at a node's progress

// NewNodeClient makes a Node of a door at a socket's path, or at IP:port with a token.
func NewNodeClient(at, token string) *NodeClient {
	c, _ := door.Dial(at, token, nil)
	if at[0] == '/' {
		at = "door"
	}
	return &NodeClient{client: &Client{AuthToken: token, HTTP: c}, base: at}
}

func (d *NodeClient) call(ctx context.Context, method, path string, body, to any) error {
	return d.client.Call(ctx, method, d.base, path, body, to)
}

func (d *NodeClient) status(ctx context.Context) (s node.Status, err error) {
	err = d.call(ctx, http.MethodGet, "/status", struct{}{}, &s)
	return s, err
}

// Serving implements Node.
func (d *NodeClient) Serving(ctx context.Context) bool {
	s, err := d.status(ctx)
	return err == nil && s.Drain.State == drain.Serving
}

// Drain implements Node. A drain that is there already, of an earlier ask or of an operator, is waited for.
func (d *NodeClient) Drain(ctx context.Context, deadline time.Duration, reason string) error {
	order := node.DrainOrder{Deadline: deadline.String(), Who: "fleet", Reason: reason}
	for ctx.Err() == nil {
		s, err := d.status(ctx)
		switch {
		case err == nil && s.Drain.State == drain.Forced:
			return fmt.Errorf("the deadline passed with %d requests open; they were answered", s.Drain.Failed)
		case err == nil && s.Drain.State.Over():
			return nil
		case err == nil && s.Drain.State == drain.Serving:
			if err := d.call(ctx, http.MethodPost, "/drain", order, new(node.Status)); errors.Is(err, ErrRejected) {
				return err
			}
		}
		pause(ctx)
	}
	return fmt.Errorf("the node is not out: %w", ctx.Err())
}

// Resume implements Node. A node that has been replaced meanwhile serves by itself.
func (d *NodeClient) Resume(ctx context.Context, who string) error {
	for ctx.Err() == nil {
		s, err := d.status(ctx)
		switch {
		case err == nil && s.Drain.State == drain.Serving:
			return nil
		case err == nil:
			_ = d.call(ctx, http.MethodDelete, "/drain", node.DrainOrder{Who: who}, new(node.Status)) // looked at again
		}
		pause(ctx)
	}
	return fmt.Errorf("the node does not serve: %w", ctx.Err())
}

func pause(ctx context.Context) {
	select {
	case <-time.After(pollInterval):
	case <-ctx.Done():
	}
}

// DisableServer implements Node.
func (d *NodeClient) DisableServer(ctx context.Context, server string) error {
	return d.call(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/drain", struct{}{}, new(map[string][]string))
}

// EnableServer implements Node. A server that is not held any more is lifted.
func (d *NodeClient) EnableServer(ctx context.Context, server string) error {
	err := d.call(ctx, http.MethodDelete, "/servers/"+url.PathEscape(server)+"/drain", struct{}{}, new(map[string][]string))
	if errors.Is(err, ErrRejected) {
		if held, heldErr := d.DisabledServers(ctx); heldErr == nil && !slices.Contains(held, server) {
			return nil
		}
	}
	return err
}

// DisabledServers implements Node.
func (d *NodeClient) DisabledServers(ctx context.Context) ([]string, error) {
	s, err := d.status(ctx)
	return s.ByHand, err
}

// ServersByZone implements Node.
func (d *NodeClient) ServersByZone(ctx context.Context) (zones map[string][]string, err error) {
	err = d.call(ctx, http.MethodGet, "/servers", struct{}{}, &zones)
	return zones, err
}
