package fleetcli

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/fleet/agent"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/pki"
	"cobaltward/internal/standalone"
)

const (
	fleetName = "wayhold-fleet"       // DNS name in the certificates of the fleet
	testToken = "a token of the test" // bearer token of the fleet
)

// keyFiles writes keys, certificates and trusted authorities into a directory.
type keyFiles struct {
	t   *testing.T
	dir string
}

func (f keyFiles) write(name string, raw []byte) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// issue returns the TLS settings of a process. The process has a certificate for host from authority, and trusts the
// authority trusted.
func (f keyFiles) issue(name string, authority, trusted *pki.Authority, host string) *mutualTLS {
	f.t.Helper()
	pair := authority.Issue(pki.Leaf{Names: []string{host}})
	store, err := certificates.Open(certificates.Sources{
		Cert:  f.write(name+".pem", pki.PEM(pair.Cert)),
		Key:   f.write(name+".key", pair.KeyPEM()),
		Trust: f.write(name+".ca", trusted.PEM()),
	}, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return &mutualTLS{store: store, serverName: fleetName, log: slog.New(slog.DiscardHandler)}
}

// startTLSServer serves HTTP over TLS until the test ends, and returns its address.
func startTLSServer(t *testing.T, server *mutualTLS) string {
	t.Helper()
	addresses := make(chan string, 1)
	cfg := &settings{
		Fleet:     &standalone.Fleet{Listen: "127.0.0.1:0"},
		token:     testToken,
		log:       slog.New(addressHandler{slog.DiscardHandler, addresses}),
		mutualTLS: server,
	}
	handler := func(w http.ResponseWriter, _ *http.Request) { adminapi.WriteJSON(w, http.StatusOK, map[string]int{}) }
	stop, err := serveHTTP(t.Context(), cfg, http.HandlerFunc(handler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return <-addresses
}

// call makes one call on a new connection, and returns its error.
func call(t *testing.T, address string, config *tls.Config) error {
	t.Helper()
	client := agent.NewClient(nil, nil, testToken, config)
	defer client.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return client.Call(ctx, http.MethodGet, address, "/x", struct{}{}, new(map[string]int))
}

// TestMutualTLS_RejectsPeersOutsideTheFleet checks that the server rejects clients without a certificate, with a
// certificate of another authority, or with a certificate for another name. A client must not call a server whose
// authority the client does not trust.
func TestMutualTLS_RejectsPeersOutsideTheFleet(t *testing.T) {
	files := keyFiles{t, t.TempDir()}
	ours, theirs := pki.NewAuthority("ours"), pki.NewAuthority("theirs")
	address := startTLSServer(t, files.issue("server", ours, ours, fleetName))
	for _, test := range []struct {
		name     string
		config   *tls.Config
		accepted bool
	}{
		{"a process of the fleet", files.issue("good", ours, ours, fleetName).client(), true},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"a certificate of another authority", files.issue("other", theirs, ours, fleetName).client(), false},
		{"a certificate for another name", files.issue("name", ours, ours, "elsewhere").client(), false},
		{"a server that is not trusted", files.issue("trust", ours, theirs, fleetName).client(), false},
		{"no TLS where TLS is spoken", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := call(t, address, test.config); (err == nil) != test.accepted {
				t.Errorf("got error %v, want accepted = %v", err, test.accepted)
			}
		})
	}
}

// TestMutualTLS_FollowsReloadedTrust checks that reloaded authorities apply from the next handshake on. Clients of
// the removed authority must be rejected, and clients of the added authority accepted.
func TestMutualTLS_FollowsReloadedTrust(t *testing.T) {
	files := keyFiles{t, t.TempDir()}
	ours, theirs := pki.NewAuthority("ours"), pki.NewAuthority("theirs")
	server := files.issue("server", ours, ours, fleetName)
	address := startTLSServer(t, server)
	good := files.issue("good", ours, ours, fleetName)
	if err := call(t, address, good.client()); err != nil {
		t.Errorf("a client was rejected before the reload: %v", err)
	}
	files.write("server.ca", theirs.PEM())
	if _, err := server.store.Reload(time.Now()); err != nil {
		t.Fatal(err)
	}
	if call(t, address, good.client()) == nil {
		t.Error("a client of the removed authority is still accepted")
	}
	if err := call(t, address, files.issue("other", theirs, ours, fleetName).client()); err != nil {
		t.Errorf("a client of the newly trusted authority is rejected: %v", err)
	}
}

// addressHandler is a log handler that sends the value of each attribute "address" to a channel.
type addressHandler struct {
	slog.Handler
	addresses chan string
}

// Enabled implements slog.Handler.
func (h addressHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h addressHandler) Handle(_ context.Context, record slog.Record) error {
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == "address" {
			h.addresses <- attr.Value.String()
		}
		return true
	})
	return nil
}
