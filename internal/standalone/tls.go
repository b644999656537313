package standalone

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/node"
	"cobaltward/transport/secure"
)

// TLS is who is spoken to by TLS, and by which keys.
type TLS struct {
	PollInterval        time.Duration   `toml:"every" min:"20ms" max:"1h"` // between looks at the files; 0: 1s
	WarnBefore          []time.Duration `toml:"warn" min:"1s"`             // before a certificate ends; none: 30 days, 7 days, 1 day
	CPUShare            float64         `toml:"share" min:"0.01" max:"1"`  // of a core, for the arithmetic of handshakes while requests are in flight
	HandshakeTimeout    time.Duration   `toml:"timeout" min:"10ms" max:"1m"`
	MaxConcurrent       int             `toml:"at_once" min:"1" max:"10000"` // handshakes towards all servers
	MaxPerServer        int             `toml:"per_server" min:"1" max:"1000"`
	MaxPerWarmingServer int             `toml:"per_cold" min:"1" max:"1000"` // towards one whose process is new
	Servers             []TLSServers    `toml:"servers"`
	Clients             *TLSListener    `toml:"clients"`
	AdminAPI            *TLSListener    `toml:"door"`
}

// TLSServers is how some app servers are spoken to; the first that fits a server holds for it.
type TLSServers struct {
	IDs   []string `toml:"ids"`
	Zones []string `toml:"zones"`
	Pools []string `toml:"pools"`
	Kinds []string `toml:"kinds"`
	Plain bool     `toml:"plain"`
	Name  string   `toml:"name"`
	URIs  []string `toml:"uris"`
	Pins  []string `toml:"pins"`
	Trust string   `toml:"trust"`
	Cert  string   `toml:"cert"`
	Key   string   `toml:"key"`
	// Secrets of the control plane, in place of files.
	TrustSDS string `toml:"trust_sds"`
	CertSDS  string `toml:"cert_sds"`

	ALPN  []string `toml:"alpn"`
	TLS12 bool     `toml:"tls12"`
}

// TLSListener is how clients come in.
type TLSListener struct {
	Dir               string        `toml:"dir"`
	Cert              string        `toml:"cert"`
	Key               string        `toml:"key"`
	Trust             string        `toml:"trust"`
	TrustSDS          string        `toml:"trust_sds"`
	CertSDS           string        `toml:"cert_sds"`
	RequireClientCert bool          `toml:"require"` // a certificate of the client's
	Tickets           string        `toml:"tickets"` // file of keys, for nodes that share it
	TLS12             bool          `toml:"tls12"`
	HandshakeTimeout  time.Duration `toml:"timeout" min:"100ms" max:"1m"`
}

// NodeTLS is what the table [tls] asks for, with its files read; nil where there is none. Errors name the line.
func (f *File) NodeTLS(now time.Time) (*node.TLS, error) {
	t := f.TLS
	if t == nil {
		return nil, nil
	}
	c := &node.TLS{
		CheckInterval: or(t.PollInterval, time.Second), ExpiryWarnings: t.WarnBefore, CPUShare: t.CPUShare, ServerHandshakeTimeout: t.HandshakeTimeout,
		HandshakeLimits: handshakes.Limits{MaxConcurrent: t.MaxConcurrent, MaxPerServer: t.MaxPerServer, MaxPerWarmingServer: t.MaxPerWarmingServer},
	}
	if len(c.ExpiryWarnings) == 0 {
		c.ExpiryWarnings = []time.Duration{30 * 24 * time.Hour, 7 * 24 * time.Hour, 24 * time.Hour}
	}
	open := stores{now: now, at: func(name string) string {
		if name == "" || filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(f.path), name)
	}, known: make(map[certificates.Sources]*certificates.Store), secrets: make(map[string]*certificates.Store)}
	for i, s := range t.Servers {
		at := fmt.Sprintf("tls.servers[%d]", i)
		r := secure.Rule{Servers: s.IDs, Zones: s.Zones, Pools: s.Pools, Kinds: s.Kinds, Plaintext: s.Plain, ServerName: s.Name, URIs: s.URIs, PublicKeyPins: s.Pins, AllowTLS12: s.TLS12, ALPN: s.ALPN}
		var err error
		if r.Trust, err = open.store(certificates.Sources{Trust: s.Trust}, s.TrustSDS); err != nil {
			return nil, f.lines.Errorf(at+".trust", "%s", err)
		}
		if r.ClientCertificate, err = open.store(certificates.Sources{Cert: s.Cert, Key: s.Key}, s.CertSDS); err != nil {
			return nil, f.lines.Errorf(at+".cert", "%s", err)
		}
		if err := r.Validate(); err != nil {
			return nil, f.lines.Errorf(at, "%s", err)
		}
		c.ServerRules = append(c.ServerRules, r)
	}
	for _, l := range []struct {
		at   string
		from *TLSListener
		to   **node.TLSListener
	}{{"tls.clients", t.Clients, &c.Clients}, {"tls.door", t.AdminAPI, &c.AdminAPI}} {
		if l.from == nil {
			continue
		}
		var err error
		if *l.to, err = open.listener(l.from); err != nil {
			return nil, f.lines.Errorf(l.at, "%s", err)
		}
	}
	if len(c.ServerRules) == 0 && c.Clients == nil && c.AdminAPI == nil {
		return nil, f.lines.Errorf("tls", "neither servers, nor clients, nor the door: the table does nothing")
	}
	c.Stores, c.Secrets = open.all, open.secrets
	return c, nil
}

// stores opens each source once.
type stores struct {
	now     time.Time
	at      func(string) string
	known   map[certificates.Sources]*certificates.Store
	all     []*certificates.Store
	secrets map[string]*certificates.Store
}

// store is the one of files, or of a secret; nil where neither is named.
func (o *stores) store(from certificates.Sources, secret string) (*certificates.Store, error) {
	if secret != "" {
		if from != (certificates.Sources{}) {
			return nil, fmt.Errorf("want either files or the secret %q, got both", secret)
		}
		if o.secrets[secret] == nil {
			o.secrets[secret] = certificates.Handed()
			o.all = append(o.all, o.secrets[secret])
		}
		return o.secrets[secret], nil
	}
	from = certificates.Sources{Dir: o.at(from.Dir), Cert: o.at(from.Cert), Key: o.at(from.Key), Trust: o.at(from.Trust)}
	if from == (certificates.Sources{}) {
		return nil, nil
	}
	if s := o.known[from]; s != nil {
		return s, nil
	}
	s, err := certificates.Open(from, o.now)
	if err != nil {
		return nil, err
	}
	o.known[from] = s
	o.all = append(o.all, s)
	return s, nil
}

func (o *stores) listener(l *TLSListener) (*node.TLSListener, error) {
	k, err := o.store(certificates.Sources{Dir: l.Dir, Cert: l.Cert, Key: l.Key}, l.CertSDS)
	if err != nil {
		return nil, err
	}
	trust, err := o.store(certificates.Sources{Trust: l.Trust}, l.TrustSDS)
	switch {
	case err != nil:
		return nil, err
	case k == nil:
		return nil, errors.New("no certificate: name cert and key, dir, or cert_sds")
	case l.RequireClientCert && trust == nil:
		return nil, errors.New("require: by which authorities do clients prove who they are? Name trust")
	}
	c := &node.TLSListener{Certificates: k, ClientCAs: trust, RequireClientCert: l.RequireClientCert, AllowTLS12: l.TLS12, HandshakeTimeout: l.HandshakeTimeout}
	if l.Tickets != "" {
		if c.Tickets, err = certificates.OpenTickets(o.at(l.Tickets)); err != nil {
			return nil, err
		}
	}
	return c, nil
}
