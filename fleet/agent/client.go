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

// Errors that the methods of Client wrap.
var (
	// ErrNoResponse reports that there was no valid response. The request may have been carried out.
	ErrNoResponse = errors.New("no answer")
	// ErrRejected reports that the request was rejected and not carried out.
	ErrRejected = errors.New("call rejected")
)

const (
	maxResponseBody    = 64 << 20 // maximum bytes read of a response
	maxIdleConns       = 4        // maximum idle connections per host
	maxConns           = 32       // maximum connections per host
	idleConnTimeout    = 30 * time.Second
	firstErrorStatus   = 300 // from this status on, the request was rejected
	firstUnknownStatus = 500 // from this status on, the outcome is unknown
)

// Client calls agents and the replicas of the consensus group. It is safe for concurrent use.
type Client struct {
	Replicas []string // addresses of the replicas
	// AddressOverrides maps an address to the address at which this process reaches it, if the two differ.
	AddressOverrides map[string]string
	AuthToken        string // bearer token of all calls
	HTTP             *http.Client
	UseTLS           bool // whether calls use TLS, with the configuration of HTTP

	lastResponder atomic.Int64 // index of the replica that gets the next proposal
}

// NewClient returns a client with its own connection pool. If tlsConfig is nil, calls are not encrypted.
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

// Call sends body as JSON to path at address, and decodes the response into the value that result points to. Its
// errors wrap ErrNoResponse or ErrRejected, except for errors of creating the request.
func (c *Client) Call(ctx context.Context, method, address, path string, body, result any) error {
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
	defer func() { _ = response.Body.Close() }() // the body was only read, so the error does not matter
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil {
		return fmt.Errorf("%w from %s: reading the response: %w", ErrNoResponse, address, err)
	}
	if response.StatusCode >= firstErrorStatus {
		return statusError(address, response, raw)
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("%w from %s: decoding the response: %w", ErrNoResponse, address, err)
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

// statusError returns the error for a response with an error status.
func statusError(address string, response *http.Response, raw []byte) error {
	if response.StatusCode >= firstUnknownStatus {
		return fmt.Errorf("%w: %s returned %s: %s", ErrNoResponse, address, response.Status, bytes.TrimSpace(raw))
	}
	var body adminapi.ErrorBody
	_ = json.Unmarshal(raw, &body) // without a decodable body, the error has only the HTTP status
	return fmt.Errorf("%w by %s: %s", ErrRejected, address, cmp.Or(body.Message, response.Status))
}

// Propose proposes an entry to the replica that responded last. An error means that the outcome is unknown or that
// the entry was not proposed. After an error the next call goes to another replica.
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

// Statuses requests the status of all replicas. It returns the status of each replica that responds, by address.
func (c *Client) Statuses(ctx context.Context) map[string]consensus.Status {
	type answer struct {
		address string
		status  consensus.Status
		err     error
	}
	answers := make(chan answer, len(c.Replicas))
	for _, address := range c.Replicas {
		go func() { // ends when Call returns, at the latest when ctx is done
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
