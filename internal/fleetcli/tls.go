package fleetcli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"time"

	"cobaltward/keys"
)

const reloadInterval = time.Second // between looks at the files

// mutualTLS is how processes of the fleet prove who they are to one another: each shows a certificate by an authority that
// all trust, for a name that all have. Keys change while all runs.
type mutualTLS struct {
	store      *keys.Store
	serverName string
	log        *slog.Logger
}

// server is what a listener goes by; it lets nobody in who can't prove to be of the fleet.
func (l *mutualTLS) server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: l.store.GetCertificate, ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: l.verify(x509.ExtKeyUsageClientAuth), NextProtos: []string{"http/1.1"}}
}

// client is what calls go by.
func (l *mutualTLS) client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: l.serverName,
		InsecureSkipVerify:   true, // verify does it, by what is trusted at the moment of the handshake
		VerifyConnection:     l.verify(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &l.store.Set().Pairs[0].Cert, nil }}
}

// verify holds a peer's certificate against what is trusted now, and against the name of the fleet.
func (l *mutualTLS) verify(use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("the peer shows no certificate")
		}
		o := x509.VerifyOptions{Roots: l.store.Set().Pool, DNSName: l.serverName, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{use}}
		for _, c := range s.PeerCertificates[1:] {
			o.Intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(o)
		return err
	}
}

// watch reads the files again when they change, until ctx ends.
func (l *mutualTLS) watch(ctx context.Context) {
	w := l.store.Watch()
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			switch look := w.Look(now); {
			case look.Err != nil:
				l.log.Error("fleet: keys are refused, and the former ones go on", "error", look.Err)
			case look.Changed:
				l.log.Info("fleet: keys have changed", "source", look.Source)
			}
		case <-ctx.Done():
			return
		}
	}
}
