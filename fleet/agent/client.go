// Package agent is a process that follows the council: it reads the state, has its node do what is held and what an
// owner asks for, and may own work itself.
//
// It stands a council that is away: it goes on with the last state. It trusts its own monotonic clock for its lease, as
// package owner says, and its wall clock for the end of a hold. From a proposal that was never answered nothing
// follows, and it is made again in a form that is harmless twice.
package agent

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/door"
)

// Client speaks to the council, and to followers.
type Client struct {
	Replicas         []string
	AddressOverrides map[string]string
	AuthToken        string
	HTTP             *http.Client
	UseTLS           bool // calls go by TLS, as HTTP has it

	lastResponder atomic.Int64 // the member that answered last
}

// NewClient makes one whose connections are its own; secure is how TLS is spoken, nil for plain links.
func NewClient(members []string, via map[string]string, token string, secure *tls.Config) *Client {
	return &Client{Replicas: members, AddressOverrides: via, AuthToken: token, UseTLS: secure != nil,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 32, IdleConnTimeout: 30 * time.Second, DisableCompression: true, TLSClientConfig: secure}}}
}

// Errors of calls.
var (
	// ErrNoResponse says that no answer came: what was asked for may be done or not.
	ErrNoResponse = errors.New("no answer")
	// ErrRejected says that what was asked for is refused, and was not done.
	ErrRejected = errors.New("refused")
)

const maxResponseBody = 64 << 20

// Call asks an address, and reads its answer into to.
func (c *Client) Call(ctx context.Context, method, addr, path string, body, to any) error {
	if via := c.AddressOverrides[addr]; via != "" {
		addr = via
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	scheme := "http://"
	if c.UseTLS {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+addr+"/v1"+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.AuthToken)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w from %s: %w", ErrNoResponse, addr, err)
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	switch {
	case err != nil:
		return fmt.Errorf("%w: that of %s broke off: %w", ErrNoResponse, addr, err)
	case resp.StatusCode >= 500:
		return fmt.Errorf("%w: %s says %s: %s", ErrNoResponse, addr, resp.Status, bytes.TrimSpace(raw))
	case resp.StatusCode >= 300:
		var e door.Error
		_ = json.Unmarshal(raw, &e) // the status tells as much
		return fmt.Errorf("%w by %s: %s", ErrRejected, addr, cmp.Or(e.Error, resp.Status))
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%w: that of %s is none of this version: %w", ErrNoResponse, addr, err)
	}
	return nil
}

// stateErrors are the state's errors by their texts.
var stateErrors = func() map[string]error {
	m := make(map[string]error)
	for _, err := range []error{fleet.ErrConflict, fleet.ErrLeaseLost, fleet.ErrNotFound, fleet.ErrAlreadyExists, fleet.ErrFormatTooNew, fleet.ErrLimitExceeded, fleet.ErrInvalidEntry} {
		m[err.Error()] = err
	}
	return m
}()

// Propose asks the member that answered last for an entry. An error says that what became of it is not known; the next
// call asks another member.
func (c *Client) Propose(ctx context.Context, e fleet.Entry) (fleet.Result, error) {
	i := int(c.lastResponder.Load()) % len(c.Replicas)
	var p consensus.ProposeResponse
	if err := c.Call(ctx, http.MethodPost, c.Replicas[i], "/propose", e, &p); err != nil {
		c.lastResponder.CompareAndSwap(int64(i), int64(i+1)%int64(len(c.Replicas)))
		return fleet.Result{}, err
	}
	r := fleet.Result{Position: p.Position, FencingToken: p.FencingToken}
	if p.Error != "" {
		if r.Err = stateErrors[p.Error]; r.Err == nil {
			r.Err = errors.New(p.Error)
		}
	}
	return r, nil
}

// Statuses asks all members; those that don't answer are missing.
func (c *Client) Statuses(ctx context.Context) map[string]consensus.Status {
	type one struct {
		addr string
		s    consensus.Status
		err  error
	}
	came := make(chan one, len(c.Replicas))
	for _, addr := range c.Replicas {
		go func() {
			o := one{addr: addr}
			o.err = c.Call(ctx, http.MethodGet, addr, "/status", nil, &o.s)
			came <- o
		}()
	}
	all := make(map[string]consensus.Status)
	for range c.Replicas {
		if o := <-came; o.err == nil {
			all[o.addr] = o.s
		}
	}
	return all
}
