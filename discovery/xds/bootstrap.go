package xds

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/jsonconfig"

	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/encoding/protojson"
)

// userAgent is how the node names itself to control planes.
const userAgent = "wayhold"

// Types of channel credentials that a bootstrap may name.
const (
	credentialsInsecure = "insecure"
	credentialsTLS      = "tls"
)

// bootstrapJSON is the standard bootstrap file, as far as it is read.
type bootstrapJSON struct {
	Servers []serverJSON    `json:"xds_servers"`
	Node    json.RawMessage `json:"node"`
}

// serverJSON is a control plane of a bootstrap file.
type serverJSON struct {
	URI         string            `json:"server_uri"`
	Credentials []credentialsJSON `json:"channel_creds"`
}

type credentialsJSON struct {
	Type string `json:"type"`
}

// ParseBootstrap reads the standard bootstrap JSON of gRPC clients (gRFC A27): xds_servers, all of them in order of
// preference, each with the first of its channel_creds that is supported; and node. Other keys are ignored. caFile is
// the PEM file of the authorities that certificates of control planes are verified against; where it is empty, the
// system's are used. Errors name the key.
func ParseBootstrap(raw []byte, caFile string) (Config, error) {
	var parsed bootstrapJSON
	if err := jsonconfig.Unmarshal(raw, &parsed); err != nil {
		return Config{}, fmt.Errorf("bootstrap: %w", err)
	}
	if len(parsed.Servers) == 0 {
		return Config{}, errors.New("bootstrap: xds_servers: there are none")
	}
	config := Config{Node: &xdspb.Node{}}
	for i, entry := range parsed.Servers {
		server, err := entry.server(fmt.Sprintf("bootstrap: xds_servers[%d]", i), caFile)
		if err != nil {
			return Config{}, err
		}
		config.Servers = append(config.Servers, server)
	}
	if len(parsed.Node) > 0 {
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(parsed.Node, config.Node); err != nil {
			return Config{}, fmt.Errorf("bootstrap: node: %s", firstLine(err))
		}
	}
	config.Node.UserAgentName = userAgent
	return config, nil
}

// server is the control plane of an entry; key is where the entry stands.
func (s serverJSON) server(key, caFile string) (Server, error) {
	if err := jsonconfig.CheckAddress(s.URI); err != nil {
		return Server{}, fmt.Errorf("%s.server_uri: %w", key, err)
	}
	for _, creds := range s.Credentials {
		switch creds.Type {
		case credentialsInsecure:
			return Server{Addr: s.URI}, nil
		case credentialsTLS:
			roots, err := certPool(caFile)
			if err != nil {
				return Server{}, err
			}
			config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
			return Server{Addr: s.URI, TLS: credentials.NewTLS(config)}, nil
		}
	}
	return Server{}, fmt.Errorf("%s.channel_creds: want %s or %s", key, credentialsInsecure, credentialsTLS)
}

// certPool is the authorities of a PEM file; nil, for those of the system, where no file is named.
func certPool(caFile string) (*x509.CertPool, error) {
	if caFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("ca_file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("ca_file: %s holds no certificate", caFile)
	}
	return roots, nil
}
