package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"cobaltward/discovery/xds"
	"cobaltward/discovery/xds/ads"
	"cobaltward/internal/nodeconfig"
	"cobaltward/policy"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

// xdsCommand looks at control planes and files as a node would.
func xdsCommand() *cobra.Command {
	root := &cobra.Command{Use: "xds", Short: "Look at a control plane or its files as a node would"}
	var within time.Duration
	dump := &cobra.Command{
		Use:   "dump",
		Short: "Print what a node would hold now: clusters, versions, and each endpoint with its use",
		Long: `Subscribe to the control plane that the operator's own file names (--config), as a node would, and
print what comes: versions, what is refused and why, and each endpoint with whether it is used and why
not. The exit status is 1 where the list is not whole within --within.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withSource(c, func(ctx context.Context, s *xds.Source, out io.Writer) error {
				ctx, cancel := context.WithTimeout(ctx, within)
				defer cancel()
				err := untilWhole(ctx, s)
				write(out, s.Status())
				return err
			})
		},
	}
	dump.Flags().DurationVar(&within, "within", 10*time.Second, "how long to wait for a whole list")
	watch := &cobra.Command{
		Use:   "watch",
		Short: "Print changes of the servers as they come, until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o, err := own(c)
			if err != nil {
				return err
			}
			source, err := open(o.XDS, nil, nil)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			source.Run(ctx, func(change router.EndpointUpdate) {
				for _, m := range change.Endpoints {
					fmt.Fprintln(c.OutOrStdout(), time.Now().Format("15:04:05.000"), line(m))
				}
			})
			return nil
		},
	}
	check := &cobra.Command{
		Use:   "check FILE [FILE ...]",
		Short: "Check DiscoveryResponse files together, and print the servers that they come to",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			members, err := xds.CheckFiles(args)
			if err != nil {
				return err
			}
			for _, m := range members {
				fmt.Fprintln(c.OutOrStdout(), line(m))
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "good: %d servers\n", len(members))
			return err
		},
	}
	root.AddCommand(dump, watch, check)
	return root
}

// own is the operator's own file that --config names.
func own(c *cobra.Command) (nodeconfig.File, error) {
	path, err := c.Flags().GetString("config")
	if err != nil {
		return nodeconfig.File{}, err
	}
	o, err := nodeconfig.Load(path)
	if err == nil && !o.XDS.Enabled() {
		err = errors.New("xds: the operator's own file, by --config, names no control plane and no file")
	}
	return o, err
}

// withSource runs a source of the control planes beside f.
func withSource(c *cobra.Command, f func(context.Context, *xds.Source, io.Writer) error) error {
	o, err := own(c)
	if err != nil {
		return err
	}
	if len(o.XDS.Files) > 0 {
		return errors.New("xds.files: there is no control plane to ask; see xds check")
	}
	conf, err := bootstrap(o.XDS)
	if err != nil {
		return err
	}
	conf.CacheDir = "" // a look from outside neither begins with what a node has kept, nor writes there
	s, err := xds.New(conf)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { s.Run(ctx, func(router.EndpointUpdate) {}) })
	return f(ctx, s, c.OutOrStdout())
}

func untilWhole(ctx context.Context, s *xds.Source) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		st := s.Status()
		if st.Complete {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if st.LastError != nil {
				return fmt.Errorf("xds: the list is not whole; the last stream ended: %w", st.LastError)
			}
			return errors.New("xds: the list is not whole")
		}
	}
}

// write prints a status.
func write(out io.Writer, st xds.Status) {
	state := "closed"
	if st.Connected {
		state = "open"
	}
	fmt.Fprintf(out, "control plane %s, stream %s for %v, list whole: %v\n", st.Server, state, time.Since(st.Since).Round(time.Millisecond), st.Complete)
	for t, name := range map[ads.Type]string{ads.Clusters: "clusters", ads.Endpoints: "endpoints", ads.Secrets: "secrets"} {
		s := st.Types[t]
		if t == ads.Secrets && len(s.ResourceNames) == 0 {
			continue
		}
		fmt.Fprintf(out, "%s: version %q, %d held, age %v, ", name, s.Version, len(s.Versions), age(s.UpdatedAt))
		if s.NACKReason == "" {
			fmt.Fprintln(out, "acknowledged")
		} else {
			fmt.Fprintln(out, "refused:", s.NACKReason)
		}
		for _, refused := range slices.Sorted(maps.Keys(s.Rejected)) {
			fmt.Fprintf(out, "  %s: refused, the one before serves: %s\n", refused, s.Rejected[refused])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(st.Drops)) {
		fmt.Fprintf(out, "%s: %.4g%% of the requests of classes bound to it are dropped\n", name, 100*st.Drops[name])
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cluster\tendpoint\tzone\tpriority\thealth\tused")
	for _, e := range st.EndpointStatuses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Cluster, e.Addr, e.Zone, e.Priority, e.Health, e.Use)
	}
	_ = table.Flush() // fails as the lines above would
}

func age(t time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return time.Since(t).Round(time.Millisecond).String()
}

// line is a server on a line.
func line(m router.Endpoint) string {
	state := map[policy.Availability]string{policy.Running: "used", policy.Draining: "not used", policy.Removed: "gone"}[m.Availability]
	return fmt.Sprintf("%-24s %-8s zone %s pools %s", m.Addr, state, m.Zone, strings.Join(m.Pools, ","))
}
