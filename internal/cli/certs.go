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

// certsCommand looks at certificates without a node.
func certsCommand(own *string) *cobra.Command {
	all := &cobra.Command{Use: "certs", Short: "Certificates, keys and authorities: check them, see what a node holds, probe a server"}
	var from certificates.Sources
	var asOf string
	var within time.Duration
	check := &cobra.Command{
		Use:   "check",
		Short: "Read certificates as a node would, and list when each ends",
		Long: `Read certificates with their keys, and the authorities that are trusted, as a node would, from flags or from the table [tls]
of the file that --config names: whatever is wrong is one line that names the file, and the exit status is then 1. What is in order is listed, the first to end in front. With --within
the exit status is 8 where one ends before that.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			now := time.Now()
			if asOf != "" {
				var err error
				if now, err = time.Parse(time.DateOnly, asOf); err != nil {
					return fmt.Errorf("--as-of: want a day as in 2027-01-31, got %q", asOf)
				}
			}
			entries, err := entriesOf(from, *own, now)
			if err != nil {
				return err
			}
			for _, e := range entries {
				names := strings.Join(e.Names, ",")
				if names == "" {
					names = "-"
				}
				fmt.Fprintf(c.OutOrStdout(), "%s  %d days left  serial %s  %s  %s\n", e.ExpiresAt.UTC().Format(time.RFC3339), int(e.ExpiresAt.Sub(now).Hours()/24), e.Serial, names, e.Source)
			}
			n := 0
			for _, e := range entries {
				if !e.ExpiresAt.After(now.Add(within)) {
					n++
				}
			}
			if within > 0 && n > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d of them end within %v\n", n, within)
				return exitStatusError(8)
			}
			return nil
		},
	}
	f := check.Flags()
	f.StringVar(&from.Dir, "dir", "", "a directory with a directory for each name, which holds cert.pem and key.pem")
	f.StringVar(&from.Cert, "cert", "", "a certificate with its chain")
	f.StringVar(&from.Key, "key", "", "its key, which nobody else may read")
	f.StringVar(&from.Trust, "trust", "", "a bundle of authorities")
	f.StringVar(&asOf, "as-of", "", "the day to check for, as in 2027-01-31; else now")
	f.DurationVar(&within, "within", 0, "warn of what ends within this time, as in 720h")
	all.AddCommand(check, certsShowCommand(own), certsProbeCommand(), certsTicketsCommand())
	return all
}

// entriesOf reads what flags name or, where they name nothing, the table [tls] of the operator's own file.
func entriesOf(from certificates.Sources, own string, now time.Time) ([]certificates.Summary, error) {
	if from != (certificates.Sources{}) {
		set, err := certificates.Load(from, now)
		if err != nil {
			return nil, err
		}
		return set.Summaries(), nil
	}
	if own == "" {
		return nil, errors.New("nothing to check: give --dir, --cert with --key, --trust, or --config")
	}
	f, err := standalone.Load(own)
	if err != nil {
		return nil, err
	}
	t, err := f.NodeTLS(now)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", own, err)
	}
	if t == nil {
		return nil, fmt.Errorf("%s: it has no table [tls]", own)
	}
	var all []certificates.Summary
	for _, s := range t.Stores {
		all = append(all, s.Set().Summaries()...)
	}
	slices.SortFunc(all, func(a, b certificates.Summary) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
	return all, nil
}
