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

func inlineSource(raw []byte) *xdspb.DataSource {
	return &xdspb.DataSource{Specifier: &xdspb.DataSource_InlineBytes{InlineBytes: raw}}
}

func authoritiesSecret(name string, raw []byte) *xdspb.Secret {
	return &xdspb.Secret{
		Name: name,
		Type: &xdspb.Secret_ValidationContext{
			ValidationContext: &xdspb.CertificateValidationContext{TrustedCa: inlineSource(raw)},
		},
	}
}

func certificateSecret(cert, key []byte) *xdspb.Secret {
	return &xdspb.Secret{
		Name: "own",
		Type: &xdspb.Secret_TlsCertificate{
			TlsCertificate: &xdspb.TlsCertificate{CertificateChain: inlineSource(cert), PrivateKey: inlineSource(key)},
		},
	}
}

// TestSource_Secrets checks that secrets are received from the control plane in both variants. An invalid version
// must be rejected. The last valid version must stay in use, even after the control plane removes the secret.
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
		authoritiesSecret("trust", ca.PEM()),
		certificateSecret(pki.PEM(good.Cert), good.KeyPEM()),
		authoritiesSecret("other", ca.PEM()),
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
	controlPlane.Set(authoritiesSecret("trust", append(ca.PEM(), next.PEM()...)))
	testkit.Await(t, "the new authorities", func() bool { return trust.Set().TrustDigest != first })
	before := own.Set()
	for want, bad := range map[string]*xdspb.Secret{
		"has expired":                certificateSecret(pki.PEM(expired.Cert), expired.KeyPEM()),
		"does not match certificate": certificateSecret(pki.PEM(good.Cert), expired.KeyPEM()),
		"want tls_certificate or":    {Name: "own"},
		"want inline_bytes or":       certificateFileSecret("/etc/passwd"),
		"contains no certificate":    certificateSecret(nil, good.KeyPEM()),
		"incomplete PEM block":       certificateSecret(pki.PEM(good.Cert)[:100], good.KeyPEM()),
	} {
		controlPlane.Set(bad)
		testkit.Await(t, want, func() bool {
			all := controlPlane.Nacks()
			return len(all) > 0 && strings.Contains(all[len(all)-1], want)
		})
		if own.Set() != before {
			t.Errorf("%s: the invalid secret is in use", want)
		}
	}
	controlPlane.Remove(resource.SecretURL, "own")
	controlPlane.Set(cluster("desks"), assignment("desks", "127.0.0.1:2"))
	testkit.Await(t, "the update after the removal", func() bool { return len(source.Status().Endpoints) == 2 })
	if own.Set() != before {
		t.Error("the secret that the control plane removed is no longer in use")
	}
}

// certificateFileSecret returns a secret that refers to a certificate file of the node at path.
func certificateFileSecret(path string) *xdspb.Secret {
	chain := &xdspb.DataSource{Specifier: &xdspb.DataSource_Filename{Filename: path}}
	return &xdspb.Secret{
		Name: "own",
		Type: &xdspb.Secret_TlsCertificate{TlsCertificate: &xdspb.TlsCertificate{CertificateChain: chain}},
	}
}
