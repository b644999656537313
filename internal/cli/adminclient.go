package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/nodeconfig"

	"github.com/spf13/cobra"
)

const adminTimeout = 10 * time.Second // time limit for a complete response; event streams have none

// adminClient calls the admin API of a running node.
type adminClient struct {
	configPath *string // operator's configuration file; gives the address if no flag does
	address    string  // path of a Unix socket, or IP:port; empty: the address in the file
	tokenFile  string  // file with the bearer token; empty: no token
	caFile     string  // PEM file of trusted certificate authorities; empty: no TLS
	serverName string  // name expected in the node's certificate; empty: the host of the address
}

// addFlags adds the flags that configure how to reach the admin API.
func (a *adminClient) addFlags(command *cobra.Command) {
	flags := command.PersistentFlags()
	flags.StringVar(&a.address, "door", os.Getenv("WAYHOLD_DOOR"),
		"the admin API's socket, or IP:port; else as --config says; WAYHOLD_DOOR names it too")
	flags.StringVar(&a.tokenFile, "token-file", "", "the token for IP:port; else as --config says")
	flags.StringVar(&a.caFile, "ca", "", "authorities of an admin API with TLS, as PEM")
	flags.StringVar(&a.serverName, "name", "", "name in its certificate; else its address")
}

// connect returns an HTTP client for the node's admin API, and the base URL of all paths.
func (a *adminClient) connect() (client *http.Client, baseURL string, err error) {
	address, tokenFile := a.address, a.tokenFile
	if address == "" && *a.configPath != "" {
		config, err := nodeconfig.Load(*a.configPath)
		if err != nil {
			return nil, "", err
		}
		address, tokenFile = config.AdminAPI.Socket, ""
		if address == "" {
			address, tokenFile = config.AdminAPI.Listen, config.AdminAPI.TokenFile
		}
	}
	if address == "" {
		return nil, "", errors.New(
			"ctl: no node given: name its admin API by --door or WAYHOLD_DOOR, or its configuration file by --config")
	}
	token := ""
	if tokenFile != "" {
		if token, err = nodeconfig.ReadToken(tokenFile); err != nil {
			return nil, "", err
		}
	}
	tlsConfig, err := a.tlsConfig()
	if err != nil {
		return nil, "", err
	}
	client, baseURL = adminapi.NewClient(address, token, tlsConfig)
	return client, baseURL, nil
}

// tlsConfig returns the TLS configuration for the admin API, or nil for plain HTTP.
func (a *adminClient) tlsConfig() (*tls.Config, error) {
	if a.caFile == "" {
		return nil, nil
	}
	set, err := certificates.Load(certificates.Sources{Trust: a.caFile}, time.Now())
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: set.Pool, ServerName: a.serverName, MinVersion: tls.VersionTLS13}, nil
}

// call sends a request with body encoded as JSON, or with an empty body if body is nil. It returns the body of the
// response. Unless result is nil, call also decodes the body into the value that result points to.
func (a *adminClient) call(method, path string, body, result any) ([]byte, error) {
	client, baseURL, err := a.connect()
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	client.Timeout = adminTimeout
	var encoded []byte
	if body != nil {
		if encoded, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequest(method, baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, unreachableError(err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, statusError{fmt.Errorf("ctl: reading the response: %w", err), errUnreachable}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, rejectionError(response, answer)
	}
	if result == nil {
		return answer, nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return nil, fmt.Errorf("ctl: decoding the response, which may come from a node of another version: %w", err)
	}
	return answer, nil
}

// stream opens the node's event stream, which ends when ctx is done. The caller must close the returned body.
func (a *adminClient) stream(ctx context.Context) (io.ReadCloser, error) {
	client, baseURL, err := a.connect()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/events", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, unreachableError(err)
	}
	return response.Body, nil
}

func unreachableError(err error) error {
	return statusError{fmt.Errorf("ctl: no node answers: %w", errors.Unwrap(err)), errUnreachable}
}

// rejectionError returns the error for response, which has an error status and the body answer.
func rejectionError(response *http.Response, answer []byte) error {
	var body adminapi.ErrorBody
	if json.Unmarshal(answer, &body) != nil || body.Message == "" {
		body.Message = response.Status
	}
	err := fmt.Errorf("ctl: %s", body.Message)
	if response.StatusCode == http.StatusConflict {
		return statusError{err, errConflict}
	}
	return err
}
