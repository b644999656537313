package cli

import (
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"cobaltward/internal/demo"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/standalone"
	"cobaltward/policy"

	"github.com/spf13/cobra"
)

// checkCommand reads configurations without serving.
func checkCommand(own *string, e Extensions) *cobra.Command {
	var platform string
	c := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check the operator's own file and the platform's configuration, without serving",
		Long: `Check FILE, an operator's own file (else the one that --config or WAYHOLD_CONFIG names), and the
platform's configuration (the one that --platform or ROUTER_CONFIG names). What is wrong is told in one
line that names the file, the line or the field, and the exit status is 1.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := *own
			if len(args) > 0 {
				path = args[0]
			}
			if platform == "" {
				platform = os.Getenv("ROUTER_CONFIG")
			}
			if path == "" && platform == "" {
				return fmt.Errorf("check: nothing to check: name a FILE, --platform or ROUTER_CONFIG")
			}
			out := c.OutOrStdout()
			var o nodeconfig.File
			own := &standalone.File{}
			if path != "" {
				var err error
				if o, err = nodeconfig.Load(path); err != nil {
					return err
				}
				if o.XDS.Enabled() && e.NewXDSSource == nil {
					return errNoXDS
				}
				alone, err := standalone.Load(path)
				if err != nil {
					return err
				}
				if _, err := alone.NodeTLS(time.Now()); err != nil {
					return fmt.Errorf("%s:%w", path, err)
				}
				fmt.Fprintf(out, "%s: good\n", path)
				if alone.Standalone() {
					return describe(out, alone)
				}
				own = alone
			}
			if platform == "" {
				return nil
			}
			conf, err := node.LoadConfig(func(name string) string {
				if name == "ROUTER_CONFIG" {
					return platform
				}
				return os.Getenv(name)
			})
			if err != nil {
				return fmt.Errorf("%s: %w", platform, err)
			}
			if err := bindPools(o, &conf); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: good; listens on %s, asks %s, knows %d servers\n", platform, conf.Listen, conf.Discovery, len(conf.InitialList.Endpoints))
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "class\taim\tdeadline\tmay be sent again")
			for _, class := range conf.Settings.Classes {
				fmt.Fprintf(table, "%s\t%v\t%v\t%s\n", class.Name, class.LatencyObjective, class.Deadline, repeats(class))
			}
			if err := table.Flush(); err != nil {
				return err
			}
			return describeLevels(out, own, conf.Settings.Classes)
		},
	}
	c.Flags().StringVar(&platform, "platform", "", "the platform's configuration, a JSON file; ROUTER_CONFIG names it too")
	return c
}

func repeats(c policy.Class) string {
	switch c.Idempotency {
	case policy.Idempotent:
		return "yes"
	case policy.IdempotencyKeyed:
		return fmt.Sprintf("within %v, under its key", c.DedupWindow)
	}
	return "only if it never ran"
}

func demoCommand() *cobra.Command {
	var conf demo.Config
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show a node at work on loopback, with stand-in servers and traffic",
		Long: `Start stand-in app servers in three data centres (one slow, one failing for a while), a stand-in for
discovery and a node on loopback, send some seconds of mixed traffic, and end with a table per class and
the proof that no booking ran twice. The exit status is 0 if that holds and every request was answered.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signalContext()
			defer stop()
			return demo.Run(ctx, conf, c.OutOrStdout(), demo.Terminal(os.Stdout))
		},
	}
	c.Flags().DurationVar(&conf.For, "for", 6*time.Second, "how long traffic comes")
	c.Flags().Float64Var(&conf.Rate, "rate", 300, "requests a second")
	c.Flags().Uint64Var(&conf.Seed, "seed", 1, "for the traffic")
	return c
}

// version is that of the module or, for a build from a checkout, its commit.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "wayhold, of an unknown build"
	}
	v := info.Main.Version
	if v == "" {
		v = "(devel)"
	}
	return fmt.Sprintf("wayhold %s, %s", v, info.GoVersion)
}
