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
	fleetName = "wayhold-fleet" // that certificates of the fleet are for
	testToken = "a token of the test"
)

// keyFiles writes keys, certificates and trust into a directory.
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

// issue returns a process whose certificate is by an authority for a host, and that trusts another authority.
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

// startTLSServer serves calls over TLS until the test ends, and returns its address.
func startTLSServer(t *testing.T, server *mutualTLS) string {
	t.Helper()
	addresses := make(chan string, 1)
	loaded := &settings{
		Fleet:     &standalone.Fleet{Listen: "127.0.0.1:0"},
		token:     testToken,
		log:       slog.New(addressHandler{slog.DiscardHandler, addresses}),
		mutualTLS: server,
	}
	handler := func(w http.ResponseWriter, _ *http.Request) { adminapi.WriteJSON(w, http.StatusOK, map[string]int{}) }
	stop, err := serveHTTP(t.Context(), loaded, http.HandlerFunc(handler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return <-addresses
}

// call makes one call of its own connection.
func call(t *testing.T, address string, config *tls.Config) error {
	t.Helper()
	client := agent.NewClient(nil, nil, testToken, config)
	defer client.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return client.Call(ctx, http.MethodGet, address, "/x", struct{}{}, new(map[string]int))
}

// Clients without a certificate, with one of another authority, or with one for another name are rejected, and a server
// that is not trusted is not called.
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
				t.Errorf("error %v, accepted should be %v", err, test.accepted)
			}
		})
	}
}

// Authorities that change while the server runs apply from the next handshake on: a client that was accepted is
// rejected, and the other way round.
func TestMutualTLS_FollowsReloadedTrust(t *testing.T) {
	files := keyFiles{t, t.TempDir()}
	ours, theirs := pki.NewAuthority("ours"), pki.NewAuthority("theirs")
	server := files.issue("server", ours, ours, fleetName)
	address := startTLSServer(t, server)
	good := files.issue("good", ours, ours, fleetName)
	if err := call(t, address, good.client()); err != nil {
		t.Errorf("before the reload: %v", err)
	}
	files.write("server.ca", theirs.PEM())
	if _, err := server.store.Reload(time.Now()); err != nil {
		t.Fatal(err)
	}
	if call(t, address, good.client()) == nil {
		t.Error("an authority that was removed is still accepted")
	}
	if err := call(t, address, files.issue("other", theirs, ours, fleetName).client()); err != nil {
		t.Errorf("the newly trusted authority: %v", err)
	}
}

// addressHandler sends the address that is logged to a channel.
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
