package follow

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

// Door is the node behind its door.
type Door struct {
	client *Client
	base   string
}

const doorEvery = 50 * time.Millisecond // between looks at a node's progress

// NewDoor makes a Node of a door at a socket's path, or at IP:port with a token.
func NewDoor(at, token string) *Door {
	c, _ := door.Dial(at, token, nil)
	if at[0] == '/' {
		at = "door"
	}
	return &Door{client: &Client{Token: token, HTTP: c}, base: at}
}

func (d *Door) call(ctx context.Context, method, path string, body, to any) error {
	return d.client.Call(ctx, method, d.base, path, body, to)
}

func (d *Door) status(ctx context.Context) (s node.Status, err error) {
	err = d.call(ctx, http.MethodGet, "/status", struct{}{}, &s)
	return s, err
}

// Serving implements Node.
func (d *Door) Serving(ctx context.Context) bool {
	s, err := d.status(ctx)
	return err == nil && s.Drain.State == drain.Serving
}

// Out implements Node. A drain that is there already, of an earlier ask or of an operator, is waited for.
func (d *Door) Out(ctx context.Context, deadline time.Duration, reason string) error {
	order := node.DrainOrder{Deadline: deadline.String(), Who: "fleet", Reason: reason}
	for ctx.Err() == nil {
		s, err := d.status(ctx)
		switch {
		case err == nil && s.Drain.State == drain.Forced:
			return fmt.Errorf("the deadline passed with %d requests open; they were answered", s.Drain.Failed)
		case err == nil && s.Drain.State.Over():
			return nil
		case err == nil && s.Drain.State == drain.Serving:
			if err := d.call(ctx, http.MethodPost, "/drain", order, new(node.Status)); errors.Is(err, ErrNo) {
				return err
			}
		}
		rest(ctx)
	}
	return fmt.Errorf("the node is not out: %w", ctx.Err())
}

// In implements Node. A node that has been replaced meanwhile serves by itself.
func (d *Door) In(ctx context.Context, who string) error {
	for ctx.Err() == nil {
		s, err := d.status(ctx)
		switch {
		case err == nil && s.Drain.State == drain.Serving:
			return nil
		case err == nil:
			_ = d.call(ctx, http.MethodDelete, "/drain", node.DrainOrder{Who: who}, new(node.Status)) // looked at again
		}
		rest(ctx)
	}
	return fmt.Errorf("the node does not serve: %w", ctx.Err())
}

func rest(ctx context.Context) {
	select {
	case <-time.After(doorEvery):
	case <-ctx.Done():
	}
}

// Hold implements Node.
func (d *Door) Hold(ctx context.Context, server string) error {
	return d.call(ctx, http.MethodPost, "/servers/"+url.PathEscape(server)+"/drain", struct{}{}, new(map[string][]string))
}

// Lift implements Node. A server that is not held any more is lifted.
func (d *Door) Lift(ctx context.Context, server string) error {
	err := d.call(ctx, http.MethodDelete, "/servers/"+url.PathEscape(server)+"/drain", struct{}{}, new(map[string][]string))
	if errors.Is(err, ErrNo) {
		if held, heldErr := d.Held(ctx); heldErr == nil && !slices.Contains(held, server) {
			return nil
		}
	}
	return err
}

// Held implements Node.
func (d *Door) Held(ctx context.Context) ([]string, error) {
	s, err := d.status(ctx)
	return s.ByHand, err
}

// Zones implements Node.
func (d *Door) Zones(ctx context.Context) (zones map[string][]string, err error) {
	err = d.call(ctx, http.MethodGet, "/servers", struct{}{}, &zones)
	return zones, err
}
