package standalone

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/node"
	"cobaltward/transport/secure"
)

// TLS is the table [tls]. It configures which connections use TLS, and with which certificates. Limits of zero mean
// the defaults of package handshakes.
type TLS struct {
	PollInterval        time.Duration   `toml:"every" min:"20ms" max:"1h"` // interval between file checks; default: 1 s
	WarnBefore          []time.Duration `toml:"warn" min:"1s"`             // lead times; default: 30 days, 7 days, 1 day
	CPUShare            float64         `toml:"share" min:"0.01" max:"1"`  // fraction of a core for handshakes under load
	HandshakeTimeout    time.Duration   `toml:"timeout" min:"10ms" max:"1m"`
	MaxConcurrent       int             `toml:"at_once" min:"1" max:"10000"` // concurrent handshakes with all servers
	MaxPerServer        int             `toml:"per_server" min:"1" max:"1000"`
	MaxPerWarmingServer int             `toml:"per_cold" min:"1" max:"1000"` // concurrent, for a server in slow start
	Servers             []TLSServers    `toml:"servers"`
	Clients             *TLSListener    `toml:"clients"`
	AdminAPI            *TLSListener    `toml:"door"`
}

// TLSServers configures connections to the servers that it matches. The first matching table applies.
type TLSServers struct {
	IDs   []string `toml:"ids"`
	Zones []string `toml:"zones"`
	Pools []string `toml:"pools"`
	Kinds []string `toml:"kinds"`
	Plain bool     `toml:"plain"` // whether connections use no TLS
	Name  string   `toml:"name"`
	URIs  []string `toml:"uris"`
	Pins  []string `toml:"pins"`
	Trust string   `toml:"trust"`
	Cert  string   `toml:"cert"`
	Key   string   `toml:"key"`
	// Names of secrets from the control plane, which replace files.
	TrustSDS string `toml:"trust_sds"`
	CertSDS  string `toml:"cert_sds"`

	ALPN  []string `toml:"alpn"`
	TLS12 bool     `toml:"tls12"` // allow TLS 1.2
}

// TLSListener configures how a listener uses TLS.
type TLSListener struct {
	Dir               string        `toml:"dir"`
	Cert              string        `toml:"cert"`
	Key               string        `toml:"key"`
	Trust             string        `toml:"trust"`
	TrustSDS          string        `toml:"trust_sds"`
	CertSDS           string        `toml:"cert_sds"`
	RequireClientCert bool          `toml:"require"`
	Tickets           string        `toml:"tickets"` // file of session ticket keys that several nodes share
	TLS12             bool          `toml:"tls12"`   // allow TLS 1.2
	HandshakeTimeout  time.Duration `toml:"timeout" min:"100ms" max:"1m"`
}

const defaultTLSPollInterval = time.Second

// defaultExpiryWarnings returns the default lead times of warnings of a certificate's expiry.
func defaultExpiryWarnings() []time.Duration {
	const day = 24 * time.Hour
	return []time.Duration{30 * day, 7 * day, day}
}

// NodeTLS reads the files that the table [tls] names, and returns the node's TLS configuration. It returns nil if
// there is no table [tls]. Errors name the line.
func (f *File) NodeTLS(now time.Time) (*node.TLS, error) {
	table := f.TLS
	if table == nil {
		return nil, nil
	}
	config := &node.TLS{
		CheckInterval:          cmp.Or(table.PollInterval, defaultTLSPollInterval),
		ExpiryWarnings:         table.WarnBefore,
		CPUShare:               table.CPUShare,
		ServerHandshakeTimeout: table.HandshakeTimeout,
		HandshakeLimits: handshakes.Limits{
			MaxConcurrent:       table.MaxConcurrent,
			MaxPerServer:        table.MaxPerServer,
			MaxPerWarmingServer: table.MaxPerWarmingServer,
		},
	}
	if len(config.ExpiryWarnings) == 0 {
		config.ExpiryWarnings = defaultExpiryWarnings()
	}
	stores := newStoreSet(f, now)
	for i, servers := range table.Servers {
		rule, err := f.serverRule(stores, fmt.Sprintf("tls.servers[%d]", i), servers)
		if err != nil {
			return nil, err
		}
		config.ServerRules = append(config.ServerRules, rule)
	}
	for _, listener := range []struct {
		key  string
		from *TLSListener
		to   **node.TLSListener
	}{{"tls.clients", table.Clients, &config.Clients}, {"tls.door", table.AdminAPI, &config.AdminAPI}} {
		if listener.from == nil {
			continue
		}
		var err error
		if *listener.to, err = stores.openListener(listener.from); err != nil {
			return nil, f.lines.Errorf(listener.key, "%s", err)
		}
	}
	if len(config.ServerRules) == 0 && config.Clients == nil && config.AdminAPI == nil {
		return nil, f.lines.Errorf("tls", "neither servers, nor clients, nor door is set: the table has no effect")
	}
	config.Stores, config.Secrets = stores.all, stores.bySecret
	return config, nil
}

// serverRule returns the rule for a table [[tls.servers]], with the certificate files of the table opened.
func (f *File) serverRule(stores *storeSet, key string, servers TLSServers) (secure.Rule, error) {
	rule := secure.Rule{
		Servers:       servers.IDs,
		Zones:         servers.Zones,
		Pools:         servers.Pools,
		Kinds:         servers.Kinds,
		Plaintext:     servers.Plain,
		ServerName:    servers.Name,
		URIs:          servers.URIs,
		PublicKeyPins: servers.Pins,
		AllowTLS12:    servers.TLS12,
		ALPN:          servers.ALPN,
	}
	var err error
	if rule.Trust, err = stores.open(certificates.Sources{Trust: servers.Trust}, servers.TrustSDS); err != nil {
		return rule, f.lines.Errorf(key+".trust", "%s", err)
	}
	own := certificates.Sources{Cert: servers.Cert, Key: servers.Key}
	if rule.ClientCertificate, err = stores.open(own, servers.CertSDS); err != nil {
		return rule, f.lines.Errorf(key+".cert", "%s", err)
	}
	if err := rule.Validate(); err != nil {
		return rule, f.lines.Errorf(key, "%s", err)
	}
	return rule, nil
}

// storeSet contains the open certificate stores. Each source is opened only once.
type storeSet struct {
	file      *File // resolves relative paths
	now       time.Time
	all       []*certificates.Store
	bySources map[certificates.Sources]*certificates.Store
	bySecret  map[string]*certificates.Store
}

func newStoreSet(file *File, now time.Time) *storeSet {
	return &storeSet{
		file:      file,
		now:       now,
		bySources: make(map[certificates.Sources]*certificates.Store),
		bySecret:  make(map[string]*certificates.Store),
	}
}

// open returns the store of files or of a control plane's secret. If neither is named, it returns nil.
func (s *storeSet) open(sources certificates.Sources, secret string) (*certificates.Store, error) {
	if secret != "" {
		if sources != (certificates.Sources{}) {
			return nil, fmt.Errorf("want either files or the secret %q, got both", secret)
		}
		return s.openSecret(secret), nil
	}
	sources = certificates.Sources{
		Dir:   s.file.resolvePath(sources.Dir),
		Cert:  s.file.resolvePath(sources.Cert),
		Key:   s.file.resolvePath(sources.Key),
		Trust: s.file.resolvePath(sources.Trust),
	}
	if sources == (certificates.Sources{}) {
		return nil, nil
	}
	if store := s.bySources[sources]; store != nil {
		return store, nil
	}
	store, err := certificates.Open(sources, s.now)
	if err != nil {
		return nil, err
	}
	s.bySources[sources] = store
	s.all = append(s.all, store)
	return store, nil
}

// openSecret returns the store of a secret. The store is empty until the control plane sends the secret.
func (s *storeSet) openSecret(secret string) *certificates.Store {
	if s.bySecret[secret] == nil {
		s.bySecret[secret] = certificates.NewEmptyStore()
		s.all = append(s.all, s.bySecret[secret])
	}
	return s.bySecret[secret]
}

// openListener returns the TLS configuration of a listener, with the files of the configuration opened.
func (s *storeSet) openListener(from *TLSListener) (*node.TLSListener, error) {
	own, err := s.open(certificates.Sources{Dir: from.Dir, Cert: from.Cert, Key: from.Key}, from.CertSDS)
	if err != nil {
		return nil, err
	}
	clientCAs, err := s.open(certificates.Sources{Trust: from.Trust}, from.TrustSDS)
	switch {
	case err != nil:
		return nil, err
	case own == nil:
		return nil, errors.New("no certificate: set cert and key, dir, or cert_sds")
	case from.RequireClientCert && clientCAs == nil:
		return nil, errors.New("require: needs trust, the authorities of client certificates")
	}
	listener := &node.TLSListener{
		Certificates:      own,
		ClientCAs:         clientCAs,
		RequireClientCert: from.RequireClientCert,
		AllowTLS12:        from.TLS12,
		HandshakeTimeout:  from.HandshakeTimeout,
	}
	if from.Tickets == "" {
		return listener, nil
	}
	if listener.Tickets, err = certificates.OpenTickets(s.file.resolvePath(from.Tickets)); err != nil {
		return nil, err
	}
	return listener, nil
}
