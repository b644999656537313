package cli

import (
	"os"
	"time"

	"cobaltward/internal/demo"

	"github.com/spf13/cobra"
)

const (
	defaultDemoDuration = 6 * time.Second
	defaultDemoRate     = 300 // requests per second
)

// demoCommand returns the command that runs a node with emulated servers and prints a summary.
func demoCommand() *cobra.Command {
	var config demo.Config
	command := &cobra.Command{
		Use:   "demo",
		Short: "Show a node at work on loopback, with stand-in servers and traffic",
		Long: `Start stand-in app servers in three data centres (one slow, one failing for a while), a stand-in for
discovery and a node on loopback, send some seconds of mixed traffic, and end with a table per class and
the proof that no booking ran twice. The exit status is 0 if that holds and every request was answered.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signalContext()
			defer stop()
			return demo.Run(ctx, config, c.OutOrStdout(), demo.IsTerminal(os.Stdout))
		},
	}
	command.Flags().DurationVar(&config.Duration, "for", defaultDemoDuration, "duration of the traffic")
	command.Flags().Float64Var(&config.Rate, "rate", defaultDemoRate, "requests a second")
	command.Flags().Uint64Var(&config.Seed, "seed", 1, "of the traffic's random numbers")
	return command
}
