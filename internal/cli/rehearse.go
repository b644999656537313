package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/realtime"
	"cobaltward/emulator/report"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/emulator/sim"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/demo"
	"cobaltward/internal/standalone"
	"cobaltward/levels"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

var errNoHTML = errors.New("rehearse: --html: this program writes no HTML; run wayhold-xds instead")

// rehearsal holds the flags of the rehearse command.
type rehearsal struct {
	seed         uint64 // seed of the random numbers; 0: the script's seed
	jsonPath     string // output file for the result as JSON; empty: none
	htmlPath     string // output file for the result as HTML; empty: none
	outcomesPath string // output file with a line for each request; empty: none
	levelsPath   string // file with the levels of reduced service; empty: none
	mutant       string // name of an engine variant that lacks one safeguard; empty: the real engine
	realTime     bool   // whether to run on real sockets in real time, not in virtual time
	compare      bool   // whether to compare two stored results instead of running a script
	quiet        bool   // whether to hide the progress
}

func rehearseCommand(extensions Extensions) *cobra.Command {
	var options rehearsal
	command := &cobra.Command{
		Use:   "rehearse SCRIPT | rehearse --compare A B",
		Short: "Play a site and its incidents by a script, and judge the four rules",
		Long: `Play SCRIPT, a site with its traffic and faults (docs/rehearse.md), in virtual time: nodes with the engine
and policy of this build among emulated servers, clients and discovery. With --real, nodes are processes of
this program on loopback, among servers and clients on sockets, in real time. It ends with the service by class,
workspace and zone, and a verdict on the four rules with its evidence. The exit status is 0 if all were kept.

With --compare, A and B are results that --json wrote; they are printed side by side.`,
		Args: func(c *cobra.Command, args []string) error {
			if options.compare {
				return cobra.ExactArgs(2)(c, args)
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			if options.compare {
				return compareResults(c, args[0], args[1])
			}
			return options.run(c, args[0], extensions)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.seed, "seed", 0, "of the random numbers, in place of the script's own")
	flags.BoolVar(&options.realTime, "real", false, "on real sockets and in real time, with nodes as processes")
	flags.StringVar(&options.jsonPath, "json", "", "write the result to this file, for machines and --compare")
	flags.StringVar(&options.htmlPath, "html", "", "write a page with plots to this file (wayhold-xds)")
	flags.StringVar(&options.outcomesPath, "outcomes", "", "write the outcome of each request to this file")
	flags.StringVar(&options.mutant, "mutant", "",
		"play an engine without one of its safeguards, to see it convicted; \"list\" names them")
	flags.StringVar(&options.levelsPath, "levels", "",
		"a file with the tables [service] and [[level]], for every node")
	flags.BoolVar(&options.compare, "compare", false, "print two results side by side")
	flags.BoolVar(&options.quiet, "quiet", false, "show no progress")
	return command
}

func compareResults(command *cobra.Command, pathA, pathB string) error {
	resultA, err := report.Load(pathA)
	if err != nil {
		return err
	}
	resultB, err := report.Load(pathB)
	if err != nil {
		return err
	}
	return report.Compare(command.OutOrStdout(), resultA, resultB)
}

// run executes the script at path, and writes the results.
func (r *rehearsal) run(command *cobra.Command, path string, extensions Extensions) error {
	if r.htmlPath != "" && extensions.WriteHTML == nil {
		return errNoHTML
	}
	if r.realTime && r.mutant != "" {
		return errors.New("rehearse: --mutant: not supported with --real")
	}
	site, err := script.Load(path)
	if err != nil {
		return err
	}
	runPlan, err := plan.New(site, r.seed)
	if err != nil {
		return err
	}
	options, err := findMutant(r.mutant)
	if err != nil {
		return err
	}
	levelsText := ""
	if options.Levels, levelsText, err = r.loadLevels(runPlan); err != nil {
		return err
	}
	outcomes, err := newOutcomeWriter(r.outcomesPath, runPlan)
	if err != nil {
		return err
	}
	if outcomes != nil {
		options.OnDone = outcomes.add
	}
	if !r.quiet && demo.IsTerminal(os.Stderr) {
		bar := newProgressBar(site)
		options.OnProgress = func(at time.Duration) {
			_ = bar.Set64(min(int64(at/time.Second), int64(site.Duration/time.Second))) // only affects the display
		}
		defer func() { _ = bar.Finish() }() // errors only affect the display
	}
	ctx, stop := signalContext()
	defer stop()
	measured, err := r.play(ctx, runPlan, options, levelsText, extensions)
	if err := errors.Join(err, outcomes.close()); err != nil {
		return err
	}
	return r.writeResults(command, measured, extensions)
}

// play executes a plan in virtual time or in real time. In real time, the nodes are processes of this program.
func (r *rehearsal) play(
	ctx context.Context, runPlan *plan.Plan, options sim.Options, levelsText string, extensions Extensions,
) (*result.Result, error) {
	if !r.realTime {
		return sim.Run(ctx, runPlan, options)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return realtime.Run(ctx, runPlan, realtime.Options{
		Command:         []string{self, "serve"},
		NewControlPlane: extensions.NewControlPlane,
		AdminClient:     func(socket string) (*http.Client, string) { return adminapi.NewClient(socket, "", nil) },
		Levels:          levelsText,
		OnProgress:      options.OnProgress,
		OnDone:          options.OnDone,
	})
}

func newProgressBar(site *script.Script) *progressbar.ProgressBar {
	return progressbar.NewOptions64(int64(site.Duration/time.Second),
		progressbar.OptionSetDescription(site.Title),
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionShowCount())
}

// loadLevels reads the file with the levels of reduced service. It returns the levels as a configuration for the
// script's classes, and the file's TOML text. Without a file it returns nil and an empty string.
func (r *rehearsal) loadLevels(runPlan *plan.Plan) (*levels.Config, string, error) {
	if r.levelsPath == "" {
		return nil, "", nil
	}
	file, err := standalone.Load(r.levelsPath)
	if err != nil {
		return nil, "", err
	}
	text, err := os.ReadFile(r.levelsPath)
	if err != nil {
		return nil, "", err
	}
	levelsOnly := standalone.File{Service: file.Service, Levels: file.Levels}
	switch {
	case len(file.Levels) == 0:
		return nil, "", fmt.Errorf("rehearse: --levels: %s has no [[level]]", r.levelsPath)
	case !file.Equal(&levelsOnly):
		return nil, "", fmt.Errorf("rehearse: --levels: %s may only have [service] and [[level]]: the script has the rest",
			r.levelsPath)
	}
	config, err := levelsConfig(file, runPlan.Settings.Classes)
	if err != nil {
		return nil, "", err
	}
	return config, "\n" + string(text), nil
}

// findMutant returns the simulation options of the mutant name, which disables a safeguard. If name is empty, no
// safeguard is disabled.
func findMutant(name string) (sim.Options, error) {
	if name == "" {
		return sim.Options{}, nil
	}
	var known []string
	for _, mutant := range sim.Mutants() {
		if mutant.Name == name {
			return mutant.Options(), nil
		}
		known = append(known, fmt.Sprintf("%q (%s)", mutant.Name, mutant.Scenario))
	}
	return sim.Options{}, fmt.Errorf("rehearse: --mutant: want one of these (each with a scenario that detects it): %s",
		strings.Join(known, ", "))
}
