package fleetcli

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/standalone"
)

// settings holds the configuration of a process of the fleet, as read from its file.
type settings struct {
	*standalone.Fleet
	token     string              // bearer token of all calls within the fleet
	mutualTLS *mutualTLS          // nil: calls are not encrypted
	nodeAdmin nodeconfig.AdminAPI // address and token of the admin API of the agent's node
	log       *slog.Logger
}

// load reads the configuration file of a process. The logger in the returned settings writes to logs.
func load(path string, logs io.Writer) (*settings, error) {
	if path == "" {
		return nil, errors.New("no configuration file: name it with --config or WAYHOLD_CONFIG")
	}
	file, err := standalone.Load(path)
	if err != nil {
		return nil, err
	}
	if file.Fleet == nil {
		return nil, fmt.Errorf("%s: the table [fleet] is missing", path)
	}
	options, err := nodeconfig.Load(path)
	if err != nil {
		return nil, err
	}
	cfg := &settings{Fleet: file.Fleet, nodeAdmin: options.AdminAPI, log: newLogger(options.Log, logs)}
	if cfg.token, err = nodeconfig.ReadToken(file.Fleet.TokenFile); err != nil {
		return nil, fmt.Errorf("%s: fleet.token_file: %w", path, err)
	}
	if cfg.Cert == "" {
		return cfg, nil
	}
	sources := certificates.Sources{Cert: cfg.Cert, Key: cfg.Key, Trust: cfg.Trust}
	store, err := certificates.Open(sources, time.Now())
	if err != nil {
		return nil, fmt.Errorf("%s: fleet: %w", path, err)
	}
	cfg.mutualTLS = &mutualTLS{store: store, serverName: cfg.TLSName, log: cfg.log}
	return cfg, nil
}

func newLogger(config nodeconfig.Log, logs io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: config.Level.Level}
	if config.Format == "json" {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}

// clientTLS returns the TLS configuration for calls to other processes, or nil if calls are not encrypted.
func (s *settings) clientTLS() *tls.Config {
	if s.mutualTLS == nil {
		return nil
	}
	return s.mutualTLS.client()
}
