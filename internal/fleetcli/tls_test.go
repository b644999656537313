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

	"cobaltward/fleet/agent"
	"cobaltward/internal/door"
	"cobaltward/internal/pki"
	"cobaltward/internal/site"
	"cobaltward/keys"
)

// Links by TLS: who shows no certificate, one of another authority, or one for another name is not heard; keys and
// trust that change while all runs count from the next handshake on.
func TestLinks(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, raw []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	linksOf := func(name string, a *pki.Authority, trust *pki.Authority, host string) *mutualTLS {
		p := a.Issue(pki.Leaf{Names: []string{host}})
		store, err := keys.Open(keys.Sources{Cert: write(name+".pem", pki.PEM(p.Cert)), Key: write(name+".key", p.KeyPEM()), Trust: write(name+".ca", trust.PEM())}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return &mutualTLS{store: store, serverName: "wayhold-fleet", log: slog.New(slog.DiscardHandler)}
	}
	ours, theirs := pki.Year("ours"), pki.Year("theirs")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &settings{Fleet: &site.Fleet{Listen: "127.0.0.1:0"}, token: "a token of the test", log: slog.New(slog.DiscardHandler), tls: linksOf("server", ours, ours, "wayhold-fleet")}
	addr := make(chan string, 1)
	s.log = slog.New(heard{slog.DiscardHandler, addr})
	end, err := serveHTTP(ctx, s, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { door.Reply(w, http.StatusOK, map[string]int{}) }))
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	at := <-addr
	call := func(conf *tls.Config) error {
		c := agent.NewClient(nil, nil, s.token, conf)
		defer c.HTTP.CloseIdleConnections()
		ctx, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		return c.Call(ctx, http.MethodGet, at, "/x", struct{}{}, new(map[string]int))
	}
	good := linksOf("good", ours, ours, "wayhold-fleet")
	if err := call(good.client()); err != nil {
		t.Error(err)
	}
	for what, conf := range map[string]*tls.Config{
		"no certificate":             {InsecureSkipVerify: true},
		"one of another authority":   linksOf("other", theirs, ours, "wayhold-fleet").client(),
		"one for another name":       linksOf("name", ours, ours, "elsewhere").client(),
		"a server it does not trust": linksOf("trust", ours, theirs, "wayhold-fleet").client(),
		"no TLS where TLS is spoken": nil,
	} {
		if call(conf) == nil {
			t.Errorf("%s was let in", what)
		}
	}
	// Trust moves to the other authority: who was good is out, and who was not is in.
	write("server.ca", theirs.PEM())
	if _, err := s.tls.store.Reload(time.Now()); err != nil {
		t.Fatal(err)
	}
	if call(good.client()) == nil {
		t.Error("an authority that is trusted no more still lets in")
	}
	if err := call(linksOf("other", theirs, ours, "wayhold-fleet").client()); err != nil {
		t.Error(err)
	}
}

// heard tells the address that is logged.
type heard struct {
	slog.Handler
	addr chan string
}

func (h heard) Enabled(context.Context, slog.Level) bool { return true }

func (h heard) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "address" {
			h.addr <- a.Value.String()
		}
		return true
	})
	return nil
}
