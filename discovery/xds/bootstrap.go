package xds

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/fields"

	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/encoding/protojson"
)

// ParseBootstrap reads the standard bootstrap JSON, as gRPC clients do (gRFC A27): xds_servers, of which
// the first with channel_creds that are known is not enough here: all are taken, in order of preference;
// and node. What else it holds is for others. ca, where it is not empty, is a PEM file that certificates
// of control planes are checked against; else the system's are.
func ParseBootstrap(raw []byte, ca string) (Config, error) {
	var f struct {
		Servers []struct {
			URI   string `json:"server_uri"`
			Creds []struct {
				Type string `json:"type"`
			} `json:"channel_creds"`
		} `json:"xds_servers"`
		Node json.RawMessage `json:"node"`
	}
	if err := fields.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("bootstrap: %w", err)
	}
	if len(f.Servers) == 0 {
		return Config{}, errors.New("bootstrap: xds_servers: there are none")
	}
	c := Config{Node: &xdspb.Node{}}
	for i, s := range f.Servers {
		at := fmt.Sprintf("bootstrap: xds_servers[%d]", i)
		if err := fields.CheckAddress(s.URI); err != nil {
			return Config{}, fmt.Errorf("%s.server_uri: %w", at, err)
		}
		to, known := Server{Addr: s.URI}, false
		for _, creds := range s.Creds {
			switch creds.Type {
			case "insecure":
			case "tls":
				roots, err := certPool(ca)
				if err != nil {
					return Config{}, err
				}
				to.TLS = credentials.NewTLS(&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12})
			default:
				continue // another that is known may follow
			}
			known = true
			break
		}
		if !known {
			return Config{}, fmt.Errorf("%s.channel_creds: want insecure or tls", at)
		}
		c.Servers = append(c.Servers, to)
	}
	if len(f.Node) > 0 {
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(f.Node, c.Node); err != nil {
			return Config{}, fmt.Errorf("bootstrap: node: %s", firstLine(err))
		}
	}
	c.Node.UserAgentName = "wayhold"
	return c, nil
}

// certPool is the certificates that control planes are checked against; nil is the system's.
func certPool(ca string) (*x509.CertPool, error) {
	if ca == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("ca_file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("ca_file: %s holds no certificate", ca)
	}
	return roots, nil
}
