package fleetcli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"time"

	"cobaltward/certificates"
)

// reloadInterval is the time between two checks for changed files of keys and certificates.
const reloadInterval = time.Second

// mutualTLS authenticates the processes of the fleet to one another. Each process presents a certificate for a name
// that all processes share. The certificate is issued by an authority that all processes trust. Keys and authorities
// may be replaced while processes run.
type mutualTLS struct {
	store      *certificates.Store
	serverName string // name in all certificates of the fleet
	log        *slog.Logger
}

// server returns the TLS configuration of a listener that accepts only processes of the fleet.
func (m *mutualTLS) server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   m.store.GetCertificate,
		ClientAuth:       tls.RequireAnyClientCert, // VerifyConnection verifies the certificate
		VerifyConnection: m.verify(x509.ExtKeyUsageClientAuth),
		NextProtos:       []string{"http/1.1"},
	}
}

// client returns the TLS configuration for calls to other processes of the fleet.
func (m *mutualTLS) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         m.serverName,
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate, with the current authorities
		VerifyConnection:   m.verify(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &m.store.Set().Pairs[0].Cert, nil
		},
	}
}

// verify returns a function that verifies the certificate of a peer. The function uses the authorities that are
// trusted at the time of the handshake.
func (m *mutualTLS) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(connection tls.ConnectionState) error {
		if len(connection.PeerCertificates) == 0 {
			return errors.New("the peer presented no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         m.store.Set().Pool,
			DNSName:       m.serverName,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, certificate := range connection.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		_, err := connection.PeerCertificates[0].Verify(options)
		return err
	}
}

// watch reloads changed files of keys and certificates until ctx is done.
func (m *mutualTLS) watch(ctx context.Context) {
	watcher := m.store.Watch()
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			switch change := watcher.Poll(now); {
			case change.Err != nil:
				m.log.Error("fleet: reloading the keys failed, keeping the current ones", "error", change.Err)
			case change.Changed:
				m.log.Info("fleet: keys reloaded", "source", change.Source)
			}
		case <-ctx.Done():
			return
		}
	}
}
