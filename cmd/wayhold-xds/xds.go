package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"cobaltward/discovery/xds"
	"cobaltward/internal/nodeconfig"
	"cobaltward/policy"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

const (
	defaultDumpTimeout = 10 * time.Second
	statusPollInterval = 20 * time.Millisecond
)

// xdsCommand returns the command xds. Its subcommands read control planes and files as a node would.
func xdsCommand() *cobra.Command {
	root := &cobra.Command{Use: "xds", Short: "Inspect a control plane or DiscoveryResponse files as a node would"}
	root.AddCommand(dumpCommand(), watchCommand(), checkCommand())
	return root
}

func dumpCommand() *cobra.Command {
	var timeout time.Duration
	dump := &cobra.Command{
		Use:   "dump",
		Short: "Print the clusters, versions and endpoints that a node would have now",
		Long: `Subscribe to the control plane that the operator's own file (--config) configures, as a node would,
and print the result: the versions, the rejected resources with the reasons, and whether each endpoint is
used, or why not. The exit status is 1 if the list is not complete within --within.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withSource(cmd, func(ctx context.Context, source *xds.Source, out io.Writer) error {
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				err := waitComplete(ctx, source)
				return errors.Join(err, writeStatus(out, source.Status()))
			})
		},
	}
	dump.Flags().DurationVar(&timeout, "within", defaultDumpTimeout, "how long to wait for a complete list")
	return dump
}

func watchCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch",
		Short: "Print each change of the servers until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := loadOwnFile(cmd)
			if err != nil {
				return err
			}
			source, err := newXDSSource(file.XDS, nil, nil)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			source.Run(ctx, func(update router.EndpointUpdate) {
				now := time.Now().Format("15:04:05.000")
				for _, endpoint := range update.Endpoints {
					_, _ = fmt.Fprintln(cmd.OutOrStdout(), now, formatEndpoint(endpoint))
				}
			})
			return nil
		},
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE [FILE ...]",
		Short: "Check DiscoveryResponse files together, and print the servers that they define",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			endpoints, err := xds.CheckFiles(args)
			if err != nil {
				return err
			}
			for _, endpoint := range endpoints {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), formatEndpoint(endpoint)); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "good: %d servers\n", len(endpoints))
			return err
		},
	}
}

// loadOwnFile reads the operator's own file, which the flag --config names. It returns an error if the file does not
// configure xDS.
func loadOwnFile(cmd *cobra.Command) (nodeconfig.File, error) {
	path, err := cmd.Flags().GetString("config")
	if err != nil {
		return nodeconfig.File{}, err
	}
	file, err := nodeconfig.Load(path)
	if err == nil && !file.XDS.Enabled() {
		err = errors.New("xds: the operator's own file (--config) configures neither a control plane nor files")
	}
	return file, err
}

// withSource runs a source that subscribes to the configured control planes, and calls inspect while the source runs.
func withSource(cmd *cobra.Command, inspect func(context.Context, *xds.Source, io.Writer) error) error {
	file, err := loadOwnFile(cmd)
	if err != nil {
		return err
	}
	if len(file.XDS.Files) > 0 {
		return errors.New("xds.files: files are configured instead of a control plane; use xds check")
	}
	config, err := loadBootstrap(file.XDS)
	if err != nil {
		return err
	}
	config.CacheDir = "" // the cache of a node must be neither read nor overwritten
	source, err := xds.New(config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { source.Run(ctx, func(router.EndpointUpdate) {}) })
	return inspect(ctx, source, cmd.OutOrStdout())
}

// waitComplete waits until the endpoint list of source is complete. It returns an error if ctx ends first.
func waitComplete(ctx context.Context, source *xds.Source) error {
	tick := time.NewTicker(statusPollInterval)
	defer tick.Stop()
	for {
		status := source.Status()
		if status.Complete {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if status.LastError != nil {
				return fmt.Errorf("xds: endpoint list is incomplete; the last stream failed: %w", status.LastError)
			}
			return errors.New("xds: endpoint list is incomplete")
		}
	}
}

var availabilityTexts = map[policy.Availability]string{
	policy.Running: "used", policy.Draining: "not used", policy.Removed: "gone",
}

func formatEndpoint(endpoint router.Endpoint) string {
	return fmt.Sprintf("%-24s %-8s zone %s pools %s",
		endpoint.Addr, availabilityTexts[endpoint.Availability], endpoint.Zone, strings.Join(endpoint.Pools, ","))
}
