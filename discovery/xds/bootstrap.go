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

// userAgent is the user_agent_name that the node sends to control planes.
const userAgent = "wayhold"

// The supported types of channel credentials in a bootstrap file.
const (
	credentialsInsecure = "insecure"
	credentialsTLS      = "tls"
)

// bootstrapJSON contains the keys of the standard bootstrap file that this package uses.
type bootstrapJSON struct {
	Servers []serverJSON    `json:"xds_servers"`
	Node    json.RawMessage `json:"node"`
}

// serverJSON is the entry of one control plane in a bootstrap file.
type serverJSON struct {
	URI         string            `json:"server_uri"`
	Credentials []credentialsJSON `json:"channel_creds"`
}

type credentialsJSON struct {
	Type string `json:"type"`
}

// ParseBootstrap parses the standard bootstrap JSON of gRPC clients (gRFC A27). It reads the keys node and
// xds_servers. xds_servers lists control planes in order of preference, and for each control plane the first
// supported entry of channel_creds is used. Other keys are ignored. caFile is a PEM file of the authorities that
// verify the certificates of control planes. If caFile is empty, the system's authorities are used. Errors name the
// invalid key.
func ParseBootstrap(raw []byte, caFile string) (Config, error) {
	var parsed bootstrapJSON
	if err := jsonconfig.Unmarshal(raw, &parsed); err != nil {
		return Config{}, fmt.Errorf("bootstrap: %w", err)
	}
	if len(parsed.Servers) == 0 {
		return Config{}, errors.New("bootstrap: xds_servers: empty or missing")
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

// server returns the Server for an entry. key is the path of the entry, for errors.
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

// certPool returns the certificate authorities in a PEM file. If caFile is empty, it returns nil, which means the
// system's authorities.
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
		return nil, fmt.Errorf("ca_file: %s contains no certificate", caFile)
	}
	return roots, nil
}
