package cli

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/node"
	"cobaltward/transport/secure"

	"github.com/spf13/cobra"
)

// durationPrecision is the precision to which printed handshake times are rounded.
const durationPrecision = 10 * time.Microsecond

// certsShowCommand returns the command that shows a running node's certificates and handshakes.
func certsShowCommand(configPath *string) *cobra.Command {
	client := &adminClient{configPath: configPath}
	var asJSON bool
	command := &cobra.Command{
		Use:   "show",
		Short: "Print a running node's certificates, those that servers presented last, and its handshakes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status node.TLSStatus
			answer, err := client.call(http.MethodGet, "/tls", nil, &status)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := c.OutOrStdout().Write(answer)
				return err
			}
			return printTLS(c.OutOrStdout(), &status, time.Now())
		},
	}
	client.addFlags(command)
	command.Flags().BoolVar(&asJSON, "json", false, "print the answer of the admin API")
	return command
}

func printTLS(out io.Writer, status *node.TLSStatus, now time.Time) error {
	if status.RejectedFileReason != "" {
		_, err := fmt.Fprintf(out, "rejected, the former certificates stay in force: %s\n", status.RejectedFileReason)
		if err != nil {
			return err
		}
	}
	table := newTable(out)
	for _, entry := range status.Certificates {
		table.printf("%s\t%s\tserial %s\t%s\t%s\n",
			entry.ExpiresAt.UTC().Format(time.RFC3339), formatRemaining(entry.ExpiresAt.Sub(now)), entry.Serial,
			strings.Join(entry.Names, ","), entry.Source)
	}
	table.printf("\nside\tfull\tresumed\tmean\tresumed mean\tof it work\tfailures\n")
	if s := status.Servers; s != nil {
		printHandshakes(table, "servers", s.Full, s.Resumed, s.Failures)
	}
	if s := status.Clients; s != nil {
		printHandshakes(table, "clients", s.Full, s.Resumed, s.Failures)
	}
	if s := status.Msgpack; s != nil && s.Full.Count+s.Resumed.Count > 0 {
		printHandshakes(table, "msgpack", s.Full, s.Resumed, s.Failures)
	}
	if s := status.AdminAPI; s != nil {
		printHandshakes(table, "door", s.Full, s.Resumed, s.Failures)
	}
	if status.Servers != nil {
		printServers(table, status.Servers, now)
	}
	return table.flush()
}

// printHandshakes prints a row with the handshake counts and mean times of one side, for example servers or clients.
func printHandshakes(table *table, side string, full, resumed handshakes.Histogram, failures map[string]uint64) {
	compute := handshakes.Histogram{Count: full.Count + resumed.Count, TotalTime: full.ComputeTime + resumed.ComputeTime}
	table.printf("%s\t%d\t%d\t%v\t%v\t%v\t%s\n", side, full.Count, resumed.Count,
		meanTime(full), meanTime(resumed), meanTime(compute), formatCounts(failures))
}

func meanTime(histogram handshakes.Histogram) time.Duration {
	if histogram.Count == 0 {
		return 0
	}
	return (histogram.TotalTime / time.Duration(histogram.Count)).Round(durationPrecision)
}

// printServers prints a row for each server, with the certificate and, if the server is untrusted, the reason.
func printServers(table *table, servers *secure.Stats, now time.Time) {
	table.printf("\nserver\tserial\tends\t\n")
	for _, server := range servers.Servers {
		reason := ""
		if server.UntrustedReason != "" {
			pause := (time.Duration(server.UntrustedMs) * time.Millisecond).Round(time.Second)
			reason = fmt.Sprintf("gets nothing for %v: %s; checked again %d times",
				pause, server.UntrustedReason, server.Rechecks)
		}
		expiry := "-"
		if !server.CertificateExpiry.IsZero() {
			expiry = formatRemaining(server.CertificateExpiry.Sub(now))
		}
		table.printf("%s\t%s\t%s\t%s\n", server.Server, server.CertificateSerial, expiry, reason)
	}
}

// formatRemaining formats the remaining validity of a certificate.
func formatRemaining(validity time.Duration) string {
	switch {
	case validity <= 0:
		return "over"
	case validity < 48*time.Hour:
		return validity.Round(time.Minute).String() + " left"
	}
	return fmt.Sprintf("%d days left", int(validity.Hours()/24))
}

// formatCounts formats counts by name, sorted by name. It returns a dash if there are none.
func formatCounts(counts map[string]uint64) string {
	if len(counts) == 0 {
		return "-"
	}
	var formatted []string
	for name, count := range counts {
		formatted = append(formatted, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(formatted)
	return strings.Join(formatted, ", ")
}
