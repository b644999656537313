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

// settings are those of a process's own file.
type settings struct {
	*standalone.Fleet
	token     string     // bearer token of all calls of the fleet
	mutualTLS *mutualTLS // nil: calls are not encrypted
	nodeAdmin nodeconfig.AdminAPI
	log       *slog.Logger
}

// load reads a process's own file. Its log is written to logs.
func load(path string, logs io.Writer) (*settings, error) {
	if path == "" {
		return nil, errors.New("want the process's own file, by --config or WAYHOLD_CONFIG")
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
	loaded := &settings{Fleet: file.Fleet, nodeAdmin: options.AdminAPI, log: newLogger(options.Log, logs)}
	if loaded.token, err = nodeconfig.ReadToken(file.Fleet.TokenFile); err != nil {
		return nil, fmt.Errorf("%s: fleet.token_file: %w", path, err)
	}
	if loaded.Cert == "" {
		return loaded, nil
	}
	sources := certificates.Sources{Cert: loaded.Cert, Key: loaded.Key, Trust: loaded.Trust}
	store, err := certificates.Open(sources, time.Now())
	if err != nil {
		return nil, fmt.Errorf("%s: fleet: %w", path, err)
	}
	loaded.mutualTLS = &mutualTLS{store: store, serverName: loaded.TLSName, log: loaded.log}
	return loaded, nil
}

func newLogger(config nodeconfig.Log, logs io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: config.Level.Level}
	if config.Format == "json" {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}

// clientTLS returns the TLS configuration of this process's calls; nil: they are not encrypted.
func (s *settings) clientTLS() *tls.Config {
	if s.mutualTLS == nil {
		return nil
	}
	return s.mutualTLS.client()
}
