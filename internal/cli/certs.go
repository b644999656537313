package cli

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cobaltward/keys"
)

// certsCommand looks at certificates without a node.
func certsCommand() *cobra.Command {
	all := &cobra.Command{Use: "certs", Short: "Check certificates, keys and authorities before a node goes by them"}
	var from keys.Sources
	var asOf string
	var within time.Duration
	check := &cobra.Command{
		Use:   "check",
		Short: "Read certificates as a node would, and list when each ends",
		Long: `Read certificates with their keys, and the authorities that are trusted, as a node would: whatever is wrong is one line
that names the file, and the exit status is then 1. What is in order is listed, the first to end in front. With --within
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
			if from == (keys.Sources{}) {
				return errors.New("nothing to check: give --dir, --cert with --key, or --trust")
			}
			set, err := keys.Load(from, now)
			if err != nil {
				return err
			}
			for _, e := range set.Entries() {
				names := strings.Join(e.Names, ",")
				if names == "" {
					names = "-"
				}
				fmt.Fprintf(c.OutOrStdout(), "%s  %d days left  serial %s  %s  %s\n", e.Ends.UTC().Format(time.RFC3339), int(e.Ends.Sub(now).Hours()/24), e.Serial, names, e.Source)
			}
			if n := len(set.Ending(now, within)); within > 0 && n > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d of them end within %v\n", n, within)
				return exitStatus(8)
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
	all.AddCommand(check)
	return all
}
