package xds

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/router"
)

func inline(raw []byte) *xdspb.DataSource {
	return &xdspb.DataSource{Specifier: &xdspb.DataSource_InlineBytes{InlineBytes: raw}}
}

func authorities(name string, raw []byte) *xdspb.Secret {
	return &xdspb.Secret{
		Name: name,
		Type: &xdspb.Secret_ValidationContext{
			ValidationContext: &xdspb.CertificateValidationContext{TrustedCa: inline(raw)},
		},
	}
}

func ownCertificate(cert, key []byte) *xdspb.Secret {
	return &xdspb.Secret{
		Name: "own",
		Type: &xdspb.Secret_TlsCertificate{
			TlsCertificate: &xdspb.TlsCertificate{CertificateChain: inline(cert), PrivateKey: inline(key)},
		},
	}
}

// Secrets come from the control plane in both variants; an invalid one is rejected, and the secret in force
// stays, also when the control plane removes it or is gone.
func TestSource_Secrets(t *testing.T) { forEachVariant(t, testSecrets) }

func testSecrets(t *testing.T, delta bool) {
	controlPlane := startControlPlane(t)
	ca, next := pki.NewAuthority("one"), pki.NewAuthority("two")
	good := ca.Issue(pki.Leaf{Names: []string{"a"}})
	expired := ca.Issue(pki.Leaf{Names: []string{"a"}, To: time.Now().Add(-time.Second)})
	trust, own := certificates.NewEmptyStore(), certificates.NewEmptyStore()
	controlPlane.Set(
		cluster("rooms"),
		assignment("rooms", "127.0.0.1:1"),
		authorities("trust", ca.PEM()),
		ownCertificate(pki.PEM(good.Cert), good.KeyPEM()),
		authorities("other", ca.PEM()),
	)
	source, err := New(Config{
		Servers: []Server{{Addr: controlPlane.Addr}},
		Delta:   delta,
		Secrets: map[string]func(*certificates.Set){"trust": trust.Replace, "own": own.Replace},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { source.Run(ctx, func(router.EndpointUpdate) {}) })
	defer running.Wait()
	defer stop()
	testkit.Await(t, "the secrets", func() bool {
		return trust.Set().Pool != nil && own.Set().PairFor("a") != nil && source.Status().Complete
	})
	first := trust.Set().TrustDigest
	controlPlane.Set(authorities("trust", append(ca.PEM(), next.PEM()...)))
	testkit.Await(t, "another trust", func() bool { return trust.Set().TrustDigest != first })
	held := own.Set()
	for want, bad := range map[string]*xdspb.Secret{
		"has expired":                ownCertificate(pki.PEM(expired.Cert), expired.KeyPEM()),
		"does not match certificate": ownCertificate(pki.PEM(good.Cert), expired.KeyPEM()),
		"want tls_certificate or":    {Name: "own"},
		"want inline_bytes or":       certificateInFile("/etc/passwd"),
		"contains no certificate":    ownCertificate(nil, good.KeyPEM()),
		"incomplete PEM block":       ownCertificate(pki.PEM(good.Cert)[:100], good.KeyPEM()),
	} {
		controlPlane.Set(bad)
		testkit.Await(t, want, func() bool {
			all := controlPlane.Nacks()
			return len(all) > 0 && strings.Contains(all[len(all)-1], want)
		})
		if own.Set() != held {
			t.Errorf("%s: it is in force", want)
		}
	}
	controlPlane.Remove(resource.SecretURL, "own")
	controlPlane.Set(cluster("desks"), assignment("desks", "127.0.0.1:2"))
	testkit.Await(t, "what came after", func() bool { return len(source.Status().Endpoints) == 2 })
	if own.Set() != held {
		t.Error("what the control plane has taken away is gone")
	}
}

// certificateInFile is a certificate that the node is to read from a file of its own.
func certificateInFile(path string) *xdspb.Secret {
	chain := &xdspb.DataSource{Specifier: &xdspb.DataSource_Filename{Filename: path}}
	return &xdspb.Secret{
		Name: "own",
		Type: &xdspb.Secret_TlsCertificate{TlsCertificate: &xdspb.TlsCertificate{CertificateChain: chain}},
	}
}
