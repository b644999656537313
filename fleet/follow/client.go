// Package follow is a process that follows the council: it reads the state, has its node do what is held and what an
// owner asks for, and may own work itself.
//
// It stands a council that is away: it goes on with the last state. It trusts its own monotonic clock for its lease, as
// package owner says, and its wall clock for the end of a hold. From a proposal that was never answered nothing
// follows, and it is made again in a form that is harmless twice.
package follow

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
	"cobaltward/fleet/council"
	"cobaltward/internal/door"
)

// Client speaks to the council, and to followers.
type Client struct {
	Council []string
	Via     map[string]string
	Token   string
	HTTP    *http.Client
	Secure  bool // calls go by TLS, as HTTP has it

	good atomic.Int64 // the member that answered last
}

// NewClient makes one whose connections are its own; secure is how TLS is spoken, nil for plain links.
func NewClient(members []string, via map[string]string, token string, secure *tls.Config) *Client {
	return &Client{Council: members, Via: via, Token: token, Secure: secure != nil,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 32, IdleConnTimeout: 30 * time.Second, DisableCompression: true, TLSClientConfig: secure}}}
}

// Errors of calls.
var (
	// ErrAway says that no answer came: what was asked for may be done or not.
	ErrAway = errors.New("no answer")
	// ErrNo says that what was asked for is refused, and was not done.
	ErrNo = errors.New("refused")
)

const mostAnswer = 64 << 20

// Call asks an address, and reads its answer into to.
func (c *Client) Call(ctx context.Context, method, addr, path string, body, to any) error {
	if via := c.Via[addr]; via != "" {
		addr = via
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	scheme := "http://"
	if c.Secure {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+addr+"/v1"+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w from %s: %w", ErrAway, addr, err)
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	switch {
	case err != nil:
		return fmt.Errorf("%w: that of %s broke off: %w", ErrAway, addr, err)
	case resp.StatusCode >= 500:
		return fmt.Errorf("%w: %s says %s: %s", ErrAway, addr, resp.Status, bytes.TrimSpace(raw))
	case resp.StatusCode >= 300:
		var e door.Error
		_ = json.Unmarshal(raw, &e) // the status tells as much
		return fmt.Errorf("%w by %s: %s", ErrNo, addr, cmp.Or(e.Error, resp.Status))
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%w: that of %s is none of this version: %w", ErrAway, addr, err)
	}
	return nil
}

// results are the state's errors by their texts.
var results = func() map[string]error {
	m := make(map[string]error)
	for _, err := range []error{fleet.ErrConflict, fleet.ErrLeaseLost, fleet.ErrNotFound, fleet.ErrAlreadyExists, fleet.ErrFormatTooNew, fleet.ErrLimitExceeded, fleet.ErrInvalidEntry} {
		m[err.Error()] = err
	}
	return m
}()

// Propose asks the member that answered last for an entry. An error says that what became of it is not known; the next
// call asks another member.
func (c *Client) Propose(ctx context.Context, e fleet.Entry) (fleet.Result, error) {
	i := int(c.good.Load()) % len(c.Council)
	var p council.Proposed
	if err := c.Call(ctx, http.MethodPost, c.Council[i], "/propose", e, &p); err != nil {
		c.good.CompareAndSwap(int64(i), int64(i+1)%int64(len(c.Council)))
		return fleet.Result{}, err
	}
	r := fleet.Result{Position: p.At, FencingToken: p.Token}
	if p.Error != "" {
		if r.Err = results[p.Error]; r.Err == nil {
			r.Err = errors.New(p.Error)
		}
	}
	return r, nil
}

// Statuses asks all members; those that don't answer are missing.
func (c *Client) Statuses(ctx context.Context) map[string]council.Status {
	type one struct {
		addr string
		s    council.Status
		err  error
	}
	came := make(chan one, len(c.Council))
	for _, addr := range c.Council {
		go func() {
			o := one{addr: addr}
			o.err = c.Call(ctx, http.MethodGet, addr, "/status", nil, &o.s)
			came <- o
		}()
	}
	all := make(map[string]council.Status)
	for range c.Council {
		if o := <-came; o.err == nil {
			all[o.addr] = o.s
		}
	}
	return all
}
