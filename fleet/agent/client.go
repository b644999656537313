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
	"cobaltward/internal/adminapi"
)

// Errors of calls.
var (
	// ErrNoResponse reports that no answer came. The request may have been carried out or not.
	ErrNoResponse = errors.New("no answer")
	// ErrRejected reports that the request is rejected, and was not carried out.
	ErrRejected = errors.New("call rejected")
)

const (
	maxResponseBody    = 64 << 20 // bytes
	maxIdleConns       = 4        // to one host
	maxConns           = 32       // to one host
	idleConnTimeout    = 30 * time.Second
	firstErrorStatus   = 300 // of HTTP: the request was not carried out
	firstUnknownStatus = 500 // of HTTP: the request may have been carried out
)

// Client calls the replicas of the consensus group, and agents. Its methods may be called from several goroutines at
// once.
type Client struct {
	Replicas []string // addresses
	// AddressOverrides are the addresses under which this process reaches others, where they differ, by address.
	AddressOverrides map[string]string
	AuthToken        string // bearer token of all calls
	HTTP             *http.Client
	UseTLS           bool // calls are encrypted, as HTTP is configured

	lastResponder atomic.Int64 // the index of the replica that proposals go to
}

// NewClient returns a client with connections of its own; tlsConfig is nil for calls that are not encrypted.
func NewClient(replicas []string, addressOverrides map[string]string, authToken string, tlsConfig *tls.Config) *Client {
	return &Client{
		Replicas:         replicas,
		AddressOverrides: addressOverrides,
		AuthToken:        authToken,
		UseTLS:           tlsConfig != nil,
		HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			MaxConnsPerHost:     maxConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			TLSClientConfig:     tlsConfig,
		}},
	}
}

// Call sends body, as JSON, to a path of an address, and decodes the answer into the value that to points at. Its
// errors wrap ErrNoResponse or ErrRejected, but for those of a request that could not be made.
func (c *Client) Call(ctx context.Context, method, address, path string, body, to any) error {
	if override := c.AddressOverrides[address]; override != "" {
		address = override
	}
	request, err := c.newRequest(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("%w from %s: %w", ErrNoResponse, address, err)
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil {
		return fmt.Errorf("%w from %s: reading it: %w", ErrNoResponse, address, err)
	}
	if response.StatusCode >= firstErrorStatus {
		return statusError(address, response, raw)
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%w from %s: decoding it: %w", ErrNoResponse, address, err)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if c.UseTLS {
		scheme = "https://"
	}
	url := scheme + address + "/" + adminapi.Version + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.AuthToken)
	return request, nil
}

// statusError returns the error of an answer that reports one.
func statusError(address string, response *http.Response, raw []byte) error {
	if response.StatusCode >= firstUnknownStatus {
		return fmt.Errorf("%w: %s says %s: %s", ErrNoResponse, address, response.Status, bytes.TrimSpace(raw))
	}
	var body adminapi.ErrorBody
	_ = json.Unmarshal(raw, &body) // the status tells as much
	return fmt.Errorf("%w by %s: %s", ErrRejected, address, cmp.Or(body.Message, response.Status))
}

// Propose proposes an entry to the replica that answered last. An error reports that the outcome is unknown, or that
// the entry was not proposed; the next call goes to another replica then.
func (c *Client) Propose(ctx context.Context, entry fleet.Entry) (fleet.Result, error) {
	index := c.lastResponder.Load()
	address := c.Replicas[int(index)%len(c.Replicas)]
	var response consensus.ProposeResponse
	if err := c.Call(ctx, http.MethodPost, address, "/propose", entry, &response); err != nil {
		c.lastResponder.CompareAndSwap(index, (index+1)%int64(len(c.Replicas)))
		return fleet.Result{}, err
	}
	result := fleet.Result{Position: response.Position, FencingToken: response.FencingToken}
	if response.Error != "" {
		result.Err = fleet.ParseRejection(response.Error)
	}
	return result, nil
}

// Statuses asks all replicas for their status. The result has those that answered, by address.
func (c *Client) Statuses(ctx context.Context) map[string]consensus.Status {
	type answer struct {
		address string
		status  consensus.Status
		err     error
	}
	answers := make(chan answer, len(c.Replicas))
	for _, address := range c.Replicas {
		go func() { // ends with ctx at the latest, and is waited for below
			result := answer{address: address}
			result.err = c.Call(ctx, http.MethodGet, address, "/status", nil, &result.status)
			answers <- result
		}()
	}
	statuses := make(map[string]consensus.Status)
	for range c.Replicas {
		if result := <-answers; result.err == nil {
			statuses[result.address] = result.status
		}
	}
	return statuses
}
