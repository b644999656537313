package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/standalone"

	"github.com/spf13/cobra"
)

// certsCommand returns the parent of the commands that check, show, probe and rotate certificates and keys.
func certsCommand(configPath *string) *cobra.Command {
	command := &cobra.Command{
		Use:   "certs",
		Short: "Certificates, keys and authorities: check them, see what a node uses, probe a server",
	}
	command.AddCommand(
		certsCheckCommand(configPath), certsShowCommand(configPath), certsProbeCommand(), certsTicketsCommand())
	return command
}

// certificateCheck holds the flags of certs check.
type certificateCheck struct {
	sources certificates.Sources
	asOf    string        // date of the validity check, for example 2027-01-31; empty: now
	within  time.Duration // certificates that expire within this time are reported; 0: none
}

func certsCheckCommand(configPath *string) *cobra.Command {
	var check certificateCheck
	command := &cobra.Command{
		Use:   "check",
		Short: "Read certificates as a node would, and list when each expires",
		Long: `Read certificates with their keys, and the trusted authorities, as a node would, from flags or from the table
[tls] of the file that --config names. An error is one line that names the file, and the exit status is then 1. Valid
certificates are listed, the first to expire in front. With --within the exit status is 8 if one expires before that.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return check.run(c, *configPath) },
	}
	flags := command.Flags()
	flags.StringVar(&check.sources.Dir, "dir", "",
		"a directory with a directory for each name, which has cert.pem and key.pem")
	flags.StringVar(&check.sources.Cert, "cert", "", "a certificate with its chain")
	flags.StringVar(&check.sources.Key, "key", "", "its key, which only its owner may read")
	flags.StringVar(&check.sources.Trust, "trust", "", "a bundle of authorities")
	flags.StringVar(&check.asOf, "as-of", "", "the day to check for, as in 2027-01-31; else now")
	flags.DurationVar(&check.within, "within", 0, "warn of certificates that expire within this time, as in 720h")
	return command
}

func (c *certificateCheck) run(command *cobra.Command, configPath string) error {
	now := time.Now()
	if c.asOf != "" {
		var err error
		if now, err = time.Parse(time.DateOnly, c.asOf); err != nil {
			return fmt.Errorf("--as-of: want a day as in 2027-01-31, got %q", c.asOf)
		}
	}
	summaries, err := loadSummaries(c.sources, configPath, now)
	if err != nil {
		return err
	}
	out := &printer{out: command.OutOrStdout()}
	expiring := 0
	for _, summary := range summaries {
		names := strings.Join(summary.Names, ",")
		if names == "" {
			names = "-"
		}
		out.printf("%s  %d days left  serial %s  %s  %s\n", summary.ExpiresAt.UTC().Format(time.RFC3339),
			int(summary.ExpiresAt.Sub(now).Hours()/24), summary.Serial, names, summary.Source)
		if !summary.ExpiresAt.After(now.Add(c.within)) {
			expiring++
		}
	}
	if c.within <= 0 || expiring == 0 {
		return out.err
	}
	errOut := &printer{out: command.ErrOrStderr()}
	errOut.printf("%d of them end within %v\n", expiring, c.within)
	return errors.Join(errExpiring, out.err, errOut.err)
}

// loadSummaries reads the certificates of sources. If sources is empty, it reads those of the table [tls] in the
// operator's configuration file. It returns the certificates in order of expiry.
func loadSummaries(sources certificates.Sources, configPath string, now time.Time) ([]certificates.Summary, error) {
	if sources != (certificates.Sources{}) {
		set, err := certificates.Load(sources, now)
		if err != nil {
			return nil, err
		}
		return set.Summaries(), nil
	}
	if configPath == "" {
		return nil, errors.New("nothing to check: give --dir, --cert with --key, --trust, or --config")
	}
	file, err := standalone.Load(configPath)
	if err != nil {
		return nil, err
	}
	config, err := file.NodeTLS(now)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", configPath, err)
	}
	if config == nil {
		return nil, fmt.Errorf("%s: it has no table [tls]", configPath)
	}
	var summaries []certificates.Summary
	for _, store := range config.Stores {
		summaries = append(summaries, store.Set().Summaries()...)
	}
	slices.SortFunc(summaries, func(a, b certificates.Summary) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
	return summaries, nil
}

// certsTicketsCommand returns the command that rotates session ticket keys.
func certsTicketsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "tickets FILE",
		Short: "Create a file of session ticket keys, or rotate the keys in it",
		Long: `Create FILE with two keys, or rotate the keys in it: the last one, which every node has read by now, seals
sessions from now on, the former ones still open those that they sealed, and a new one is added behind them. Run it as
often as sessions should end, and copy FILE to all nodes of an installation before it is run again.`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return certificates.RotateTickets(args[0]) },
	}
}
