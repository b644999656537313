// Package cli implements the command line of wayhold and wayhold-xds. Some features, such as xDS and HTML reports,
// need more memory than some nodes have. Only wayhold-xds links these features, and passes them as Extensions.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cobaltward/emulator/realtime"
	"cobaltward/emulator/result"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

// NewEndpointSource returns the endpoint source for the operator's configuration file. The parameter platform is the
// source for the platform's registry. The result may combine its endpoints with those of platform. A nil result means
// platform alone.
type NewEndpointSource func(
	options nodeconfig.File, config node.Config, platform router.EndpointSource, log *slog.Logger,
) (router.EndpointSource, error)

// Extensions holds the optional features that a program adds to those of wayhold.
type Extensions struct {
	NewXDSSource    NewEndpointSource
	WriteHTML       func(out io.Writer, measured *result.Result) error // writes the result of a rehearsal with plots
	NewControlPlane realtime.NewAgent                                  // starts the control plane of a node for rehearsals
	Commands        []*cobra.Command                                   // additional subcommands
}

// Main runs the command line with the arguments of the process, and returns the exit status.
func Main(extensions Extensions) int {
	err := rootCommand(extensions).Execute()
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(os.Stderr, "wayhold:", err)
	var status exitStatusError
	if errors.As(err, &status) {
		return int(status)
	}
	return 1
}

// rootCommand returns the root command. Without a subcommand it serves, because the platform starts the program
// without one.
func rootCommand(extensions Extensions) *cobra.Command {
	var configPath string
	runServe := func(c *cobra.Command, _ []string) error { return serve(configPath, c.ErrOrStderr(), extensions) }
	root := &cobra.Command{
		Use:   "wayhold",
		Short: "Route booking requests to app servers",
		Long: `wayhold forwards clients' requests to app servers, and answers each exactly once.
Without a subcommand it serves, as "wayhold serve" does.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          runServe,
	}
	root.PersistentFlags().StringVar(&configPath, "config", os.Getenv("WAYHOLD_CONFIG"),
		"the operator's own file, as deploy/wayhold.toml; WAYHOLD_CONFIG names it too")
	serveCommand := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM",
		Long: `Serve clients until SIGTERM, by the operator's own file if it has a listener (wayhold init writes one), else
by the platform's configuration: the JSON file that ROUTER_CONFIG names, with ROUTER_NAME, ROUTER_LISTEN and
ROUTER_DISCOVERY ahead of it if they are set.
SIGHUP reads it and the operator's own file again, both or neither: discovery's address, the settings, log.level,
drain.deadline and xds.pools take effect at once, the rest at the next start. SIGTERM drains the node and ends it.`,
		Args: cobra.NoArgs,
		RunE: runServe,
	}
	root.AddCommand(
		serveCommand,
		checkCommand(&configPath, extensions),
		demoCommand(),
		callCommand(),
		rehearseCommand(extensions),
		ctlCommand(&configPath),
		certsCommand(&configPath),
		initCommand(),
		routeCommand(&configPath),
		expectCommand(&configPath),
		fleetCommand(),
		versionCommand(),
	)
	root.AddCommand(extensions.Commands...)
	return root
}

// signalContext returns a context that is canceled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), version())
			return err
		},
	}
}

// version returns the module version and the Go version. A build from a checkout has a pseudo-version that contains
// the commit.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "wayhold, of an unknown build"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	return fmt.Sprintf("wayhold %s, %s", version, info.GoVersion)
}
