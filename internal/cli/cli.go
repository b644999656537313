// Package cli is the command line of wayhold, and of wayhold-xds, which links in addition what needs more memory than
// some nodes have.
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

// NewEndpointSource returns the source of servers that the operator's own file asks for. The source may include that of
// the platform, its registry; a nil result means the registry alone.
type NewEndpointSource func(
	options nodeconfig.File, config node.Config, platform router.EndpointSource, log *slog.Logger,
) (router.EndpointSource, error)

// Extensions are what a program has in addition to wayhold. All are optional.
type Extensions struct {
	NewXDSSource    NewEndpointSource
	WriteHTML       func(out io.Writer, measured *result.Result) error // writes the result of a rehearsal with plots
	NewControlPlane realtime.NewAgent                                  // for rehearsals
	Commands        []*cobra.Command
}

// Main runs a program with the arguments of the process, and returns its exit status.
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

// rootCommand returns the whole command line. Without a subcommand it serves, as the platform starts it.
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

// signalContext returns a context that ends with SIGTERM or SIGINT.
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

// version returns the version of the module or, for a build from a checkout, its commit.
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
