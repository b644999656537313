package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"cobaltward/certificates"
	"cobaltward/router"
	"cobaltward/transport/secure"

	"github.com/spf13/cobra"
)

const (
	probeTimeout       = 5 * time.Second        // time limit for connecting and the TLS handshake
	ticketTimeout      = 100 * time.Millisecond // maximum wait for a session ticket after the handshake
	ticketPollInterval = 5 * time.Millisecond   // interval of the checks for a session ticket
)

// certificateProbe holds the flags of certs probe.
type certificateProbe struct {
	rule       secure.Rule
	trust      string // path of a PEM bundle of trusted authorities; empty: the pins alone decide
	clientCert certificates.Sources
	server     router.Endpoint
}

// certsProbeCommand returns the command that tests TLS handshakes with a server.
func certsProbeCommand() *cobra.Command {
	var probe certificateProbe
	command := &cobra.Command{
		Use:   "probe ADDR",
		Short: "Make two handshakes with a server as a node would, and print their results",
		Long: `Make two handshakes with the server at ADDR, by the same rules as a table [[tls.servers]], without a request.
Printed are the server's certificates and their validity, whether the session was resumed, and how long it took; or why
a node would reject the server. The exit status is 0 if a node would use the server, 9 if it would reject it, and 1
otherwise.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return probe.run(c.OutOrStdout(), args[0]) },
	}
	flags := command.Flags()
	flags.StringVar(&probe.trust, "trust", "", "a bundle of authorities")
	flags.StringVar(&probe.rule.ServerName, "name", "", "name in the certificate; else ADDR's host")
	flags.StringSliceVar(&probe.rule.URIs, "uri", nil,
		"in place of the name: a URI of the certificate, which may end with *")
	flags.StringSliceVar(&probe.rule.PublicKeyPins, "pin", nil, "SHA-256 of the server's public key, in hexadecimal")
	flags.StringSliceVar(&probe.rule.ALPN, "alpn", nil, "protocols to offer")
	flags.BoolVar(&probe.rule.AllowTLS12, "tls12", false, "allow TLS 1.2 as well")
	flags.StringVar(&probe.clientCert.Cert, "cert", "", "a client certificate")
	flags.StringVar(&probe.clientCert.Key, "key", "", "its key")
	flags.StringVar(&probe.server.ID, "id", "", "of the server, if the name has {id}")
	flags.StringVar(&probe.server.Zone, "zone", "", "of the server, if the name has {zone}")
	return command
}

func (p *certificateProbe) run(out io.Writer, address string) error {
	now := time.Now()
	var err error
	if p.trust != "" {
		if p.rule.Trust, err = certificates.Open(certificates.Sources{Trust: p.trust}, now); err != nil {
			return err
		}
	}
	if p.clientCert.Cert != "" || p.clientCert.Key != "" {
		if p.rule.ClientCertificate, err = certificates.Open(p.clientCert, now); err != nil {
			return err
		}
	}
	p.server.Addr = address
	clientTLS, err := secure.New(secure.Config{Rules: []secure.Rule{p.rule}})
	if err != nil {
		return err
	}
	defer clientTLS.Close()
	clientTLS.UpdateServer(p.server)
	for range 2 {
		if err := p.handshake(out, clientTLS); err != nil {
			return err
		}
	}
	return nil
}

// handshake makes one handshake, and prints its result.
func (p *certificateProbe) handshake(out io.Writer, clientTLS *secure.ClientTLS) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	startedAt := time.Now()
	conn, err := clientTLS.Handshake(ctx, ctx, &p.server, true, func() (*net.TCPConn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", p.server.Addr)
		if err != nil {
			return nil, err
		}
		return conn.(*net.TCPConn), nil
	})
	var untrusted *secure.UntrustedError
	switch {
	case errors.As(err, &untrusted):
		return statusError{fmt.Errorf("a node would reject the server: %w", err), errServerRejected}
	case err != nil:
		return err
	}
	defer func() { _ = conn.Close() }() // the error does not matter, because no data was sent
	duration := time.Since(startedAt).Round(durationPrecision)
	for end := time.Now().Add(ticketTimeout); time.Now().Before(end) && conn.IsIdle(); {
		time.Sleep(ticketPollInterval)
	}
	return printHandshake(out, conn, duration)
}

func printHandshake(out io.Writer, conn *secure.Conn, duration time.Duration) error {
	kind := "full handshake"
	if conn.Resumed() {
		kind = "session resumed"
	}
	version, protocol, chain := conn.Negotiated()
	if protocol == "" {
		protocol = "none"
	}
	output := &printer{out: out}
	output.printf("%s in %v: %s, ALPN %s\n", kind, duration, version, protocol)
	for i, certificate := range chain {
		output.printf("  %d  %s  serial %s  %s\n", i+1, formatRemaining(time.Until(certificate.NotAfter)),
			certificate.SerialNumber.Text(16), certificate.Subject)
	}
	return output.err
}
