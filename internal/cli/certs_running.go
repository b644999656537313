package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/node"
	"cobaltward/router"
	"cobaltward/transport/secure"

	"github.com/spf13/cobra"
)

// certsShowCommand tells what a running node goes by.
func certsShowCommand(own *string) *cobra.Command {
	t := ctl{own: own}
	var asJSON bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Print what a running node holds, what each server showed last, and what handshakes cost",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var st node.TLSStatus
			raw, err := t.call(http.MethodGet, "/tls", nil, &st)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := c.OutOrStdout().Write(raw)
				return err
			}
			return printTLS(c.OutOrStdout(), &st, time.Now())
		},
	}
	t.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "as the door tells it")
	return c
}

func printTLS(out io.Writer, st *node.TLSStatus, now time.Time) error {
	if st.RejectedFile != "" {
		fmt.Fprintf(out, "refused, and the former ones go on: %s\n", st.RejectedFile)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range st.Certificates {
		fmt.Fprintf(table, "%s\t%s\tserial %s\t%s\t%s\n", e.ExpiresAt.UTC().Format(time.RFC3339), left(e.ExpiresAt.Sub(now)), e.Serial, strings.Join(e.Names, ","), e.Source)
	}
	fmt.Fprintf(table, "\nside\tfull\tresumed\tmean\tresumed mean\tof it work\tfailures\n")
	row := func(side string, full, resumed handshakes.Histogram, failures map[string]uint64) {
		mean := func(d time.Duration, n uint64) time.Duration {
			if n == 0 {
				return 0
			}
			return (d / time.Duration(n)).Round(10 * time.Microsecond)
		}
		n := full.Count + resumed.Count
		fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%v\t%s\n", side, full.Count, resumed.Count, mean(full.TotalTime, full.Count), mean(resumed.TotalTime, resumed.Count),
			mean(full.ComputeTime+resumed.ComputeTime, n), reasons(failures))
	}
	if s := st.Servers; s != nil {
		row("servers", s.Full, s.Resumed, s.Failures)
	}
	if s := st.Clients; s != nil {
		row("clients", s.Full, s.Resumed, s.Failures)
	}
	if s := st.Msgpack; s != nil && s.Full.Count+s.Resumed.Count > 0 {
		row("msgpack", s.Full, s.Resumed, s.Failures)
	}
	if s := st.AdminAPI; s != nil {
		row("door", s.Full, s.Resumed, s.Failures)
	}
	if s := st.Servers; s != nil {
		fmt.Fprintf(table, "\nserver\tserial\tends\t\n")
		for _, p := range s.Servers {
			why := ""
			if p.UntrustedReason != "" {
				why = fmt.Sprintf("gets nothing for %v: %s; looked at again %d times", (time.Duration(p.UntrustedMs) * time.Millisecond).Round(time.Second), p.UntrustedReason, p.Rechecks)
			}
			ends := "-"
			if !p.CertificateExpiry.IsZero() {
				ends = left(p.CertificateExpiry.Sub(now))
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", p.Server, p.CertificateSerial, ends, why)
		}
	}
	return table.Flush()
}

func left(d time.Duration) string {
	switch {
	case d <= 0:
		return "over"
	case d < 48*time.Hour:
		return d.Round(time.Minute).String() + " left"
	}
	return fmt.Sprintf("%d days left", int(d.Hours()/24))
}

func reasons(failures map[string]uint64) string {
	if len(failures) == 0 {
		return "-"
	}
	var all []string
	for why, n := range failures {
		all = append(all, fmt.Sprintf("%s %d", why, n))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// certsProbeCommand has a server prove who it is.
func certsProbeCommand() *cobra.Command {
	var rule secure.Rule
	var trust string
	var own certificates.Sources
	var m router.Endpoint
	c := &cobra.Command{
		Use:   "probe ADDR",
		Short: "Make two handshakes with a server as a node would, and tell what they came to",
		Long: `Make two handshakes with the server at ADDR, by the same rules as a table [[tls.servers]], without a request. Each is told
in words: what the server showed and until when that holds, whether the session was taken up again, how long it took; or why
a node would refuse the server. The exit status is 0 if a node would speak to it, 9 if it would refuse it, and 1 otherwise.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			var err error
			if trust != "" {
				if rule.Trust, err = certificates.Open(certificates.Sources{Trust: trust}, now); err != nil {
					return err
				}
			}
			if own.Cert != "" || own.Key != "" {
				if rule.ClientCertificate, err = certificates.Open(own, now); err != nil {
					return err
				}
			}
			m.Addr = args[0]
			layer, err := secure.New(secure.Config{Rules: []secure.Rule{rule}})
			if err != nil {
				return err
			}
			defer layer.Close()
			layer.UpdateServer(m)
			for range 2 {
				if err := probe(c.OutOrStdout(), layer, &m); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&trust, "trust", "", "a bundle of authorities")
	f.StringVar(&rule.ServerName, "name", "", "that the certificate has to be for; else ADDR's host")
	f.StringSliceVar(&rule.URIs, "uri", nil, "in place of the name: a URI of the certificate, with a * at its end at most")
	f.StringSliceVar(&rule.PublicKeyPins, "pin", nil, "SHA-256 of the server's public key, in hexadecimal")
	f.StringSliceVar(&rule.ALPN, "alpn", nil, "protocols to offer")
	f.BoolVar(&rule.AllowTLS12, "tls12", false, "take TLS 1.2, too")
	f.StringVar(&own.Cert, "cert", "", "a certificate to show")
	f.StringVar(&own.Key, "key", "", "its key")
	f.StringVar(&m.ID, "id", "", "of the server, where the name has {id}")
	f.StringVar(&m.Zone, "zone", "", "of the server, where the name has {zone}")
	return c
}

// probeFor bounds a connection and its handshake.
const probeFor = 5 * time.Second

// errServerRefused is the exit status where a node would refuse the server.
const errServerRefused exitStatusError = 9

func probe(out io.Writer, layer *secure.ClientTLS, m *router.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeFor)
	defer cancel()
	began := time.Now()
	conn, err := layer.Handshake(ctx, ctx, m, true, func() (*net.TCPConn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", m.Addr)
		if err != nil {
			return nil, err
		}
		return nc.(*net.TCPConn), nil
	})
	var untrusted *secure.UntrustedError
	switch {
	case errors.As(err, &untrusted):
		return statusError{fmt.Errorf("a node would refuse it: %w", err), errServerRefused}
	case err != nil:
		return err
	}
	defer conn.Close()
	took := time.Since(began).Round(10 * time.Microsecond)
	// Tickets come behind the handshake; they are there once something was read, or soon.
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end) && conn.IsIdle(); time.Sleep(5 * time.Millisecond) {
	}
	kind := "full handshake"
	if conn.Resumed() {
		kind = "session taken up again"
	}
	version, protocol, chain := conn.Negotiated()
	if protocol == "" {
		protocol = "none"
	}
	fmt.Fprintf(out, "%s in %v: %s, ALPN %s\n", kind, took, version, protocol)
	for i, c := range chain {
		fmt.Fprintf(out, "  %d  %s  serial %s  %s\n", i+1, left(time.Until(c.NotAfter)), c.SerialNumber.Text(16), c.Subject)
	}
	return nil
}

// certsTicketsCommand rotates the keys of clients' sessions.
func certsTicketsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "tickets FILE",
		Short: "Make the keys of clients' sessions, or put the next one in force",
		Long: `Make FILE with two keys, or rotate those in it: the last one, which every node has read by now, seals sessions from now on,
the former ones still open those that they sealed, and a fresh one waits behind them. Run it as often as sessions should
end, and give FILE to all nodes of an installation before it is run again.`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return certificates.RotateTickets(args[0]) },
	}
}
