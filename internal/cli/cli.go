// Package cli is the command line of the programs in cmd: wayhold, and wayhold-xds, which links what
// costs a node memory that it may not have.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"cobaltward/emulator/realtime"
	"cobaltward/emulator/result"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

// NewEndpointSource makes the source of the servers that the operator's own file asks for. own is the
// protocol's discovery, which it may take in. nil stands for own alone.
type NewEndpointSource func(o nodeconfig.File, c node.Config, own router.EndpointSource, log *slog.Logger) (router.EndpointSource, error)

// Extensions is what a program has beyond wayhold. The zero value is nothing.
type Extensions struct {
	NewXDSSource    NewEndpointSource
	WriteHTML       func(w io.Writer, r *result.Result) error // of a rehearsal, with plots
	NewControlPlane realtime.NewAgent                         // of a rehearsal, a control plane
	Commands        []*cobra.Command
}

// Main runs a program, and returns its exit status.
func Main(e Extensions) int {
	err := command(e).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "wayhold:", err)
	if status := exitStatusError(0); errors.As(err, &status) {
		return int(status)
	}
	return 1
}

// command is the whole command line. Without a subcommand it serves, as the platform's line has it.
func command(e Extensions) *cobra.Command {
	var own string
	root := &cobra.Command{
		Use:   "wayhold",
		Short: "Route booking requests to app servers",
		Long: `wayhold passes clients' requests on to app servers, and answers each exactly once.
Without a subcommand it serves, as "wayhold serve" does.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return serve(own, c.ErrOrStderr(), e) },
	}
	root.PersistentFlags().StringVar(&own, "config", os.Getenv("WAYHOLD_CONFIG"),
		"the operator's own file, as deploy/wayhold.toml; WAYHOLD_CONFIG names it too")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve clients until SIGTERM",
			Long: `Serve clients until SIGTERM, by the operator's own file where that has a listener (wayhold init writes one), else
by the platform's configuration: the JSON file that ROUTER_CONFIG names, with ROUTER_NAME, ROUTER_LISTEN and
ROUTER_DISCOVERY ahead of it where set.
SIGHUP reads it and the operator's own file again, both or neither: discovery's address, the settings, log.level,
drain.deadline and xds.pools take effect at once, the rest at the next start. SIGTERM ends the node in order.`,
			Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return serve(own, c.ErrOrStderr(), e) },
		},
		checkCommand(&own, e), demoCommand(), callCommand(), rehearseCommand(e), ctlCommand(&own), certsCommand(&own), initCommand(), routeCommand(&own), expectCommand(&own), fleetCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(c.OutOrStdout(), version())
				return err
			},
		})
	root.AddCommand(e.Commands...)
	return root
}

// signalContext is a context that SIGTERM and SIGINT end.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
