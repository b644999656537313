package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/realtime"
	"cobaltward/emulator/report"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/emulator/sim"
	"cobaltward/internal/demo"
	"cobaltward/internal/standalone"
	"cobaltward/levels"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

var errNoPage = errors.New("rehearse: --html: pages with plots are made by the full build, wayhold-xds")

// rehearsal is what the command line says of one.
type rehearsal struct {
	seed                 uint64
	json, html, outcomes string
	mutant               string
	levels               string
	real                 bool
	compare, quiet       bool
}

func rehearseCommand(e Extensions) *cobra.Command {
	var o rehearsal
	c := &cobra.Command{
		Use:   "rehearse SCRIPT | rehearse --compare A B",
		Short: "Play a site and its incidents by a script, and judge the four rules",
		Long: `Play SCRIPT, a site with its traffic and faults (docs/rehearse.md), in virtual time: nodes with the engine
and module of this build among emulated servers, clients and discovery. With --real, nodes are processes of
this program on loopback, among servers and clients on sockets, in real time. It ends with the service by class,
workspace and zone, and a verdict on the four rules with its evidence. The exit status is 0 if all were kept.

With --compare, A and B are results that --json wrote; they are set side by side.`,
		Args: func(c *cobra.Command, args []string) error {
			if o.compare {
				return cobra.ExactArgs(2)(c, args)
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			if o.compare {
				a, err := report.Load(args[0])
				if err != nil {
					return err
				}
				b, err := report.Load(args[1])
				if err != nil {
					return err
				}
				return report.Compare(c.OutOrStdout(), a, b)
			}
			return o.run(c, args[0], e)
		},
	}
	c.Flags().Uint64Var(&o.seed, "seed", 0, "for the draws, in place of the script's own")
	c.Flags().BoolVar(&o.real, "real", false, "on real sockets and in real time, with nodes as processes")
	c.Flags().StringVar(&o.json, "json", "", "write the result to this file, for machines and --compare")
	c.Flags().StringVar(&o.html, "html", "", "write a page with plots to this file (wayhold-xds)")
	c.Flags().StringVar(&o.outcomes, "outcomes", "", "write what became of each request to this file")
	c.Flags().StringVar(&o.mutant, "mutant", "", "play an engine with a guard taken away, to see it convicted; \"list\" names them")
	c.Flags().StringVar(&o.levels, "levels", "", "a file with the tables [service] and [[level]], for every node")
	c.Flags().BoolVar(&o.compare, "compare", false, "set two results side by side")
	c.Flags().BoolVar(&o.quiet, "quiet", false, "show no progress")
	return c
}

func (o *rehearsal) run(c *cobra.Command, path string, e Extensions) error {
	if o.html != "" && e.WriteHTML == nil {
		return errNoPage
	}
	if o.real && o.mutant != "" {
		return errors.New("rehearse: --mutant: with virtual time only")
	}
	s, err := script.Load(path)
	if err != nil {
		return err
	}
	p, err := plan.New(s, o.seed)
	if err != nil {
		return err
	}
	var options sim.Options
	if o.mutant != "" {
		if options, err = mutant(o.mutant); err != nil {
			return err
		}
	}
	ladder, text, err := o.ladder(p)
	if err != nil {
		return err
	}
	options.Levels = ladder
	finish := func() error { return nil }
	if o.outcomes != "" {
		if options.Detail, finish, err = outcomes(o.outcomes, p); err != nil {
			return err
		}
	}
	if !o.quiet && demo.Terminal(os.Stderr) {
		bar := progressbar.NewOptions64(int64(s.Length/time.Second), progressbar.OptionSetDescription(s.Title),
			progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(), progressbar.OptionShowCount())
		options.Progress = func(at time.Duration) { _ = bar.Set64(min(int64(at/time.Second), int64(s.Length/time.Second))) }
		defer bar.Finish() //nolint:errcheck // it is only shown
	}
	ctx, stop := signalContext()
	defer stop()
	var r *result.Result
	if o.real {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		r, err = realtime.Run(ctx, p, realtime.Options{Command: []string{self, "serve"}, XDS: e.NewControlPlane, Levels: text, Progress: options.Progress, Detail: options.Detail})
		if err := errors.Join(err, finish()); err != nil {
			return err
		}
		return o.tell(c, r, e)
	}
	r, err = sim.Run(ctx, p, options)
	if err := errors.Join(err, finish()); err != nil {
		return err
	}
	return o.tell(c, r, e)
}

// ladder reads the levels of service that every node has: as a ladder over the script's classes, and as text.
func (o *rehearsal) ladder(p *plan.Plan) (*levels.Config, string, error) {
	if o.levels == "" {
		return nil, "", nil
	}
	f, err := standalone.Load(o.levels)
	if err != nil {
		return nil, "", err
	}
	text, err := os.ReadFile(o.levels)
	if err != nil {
		return nil, "", err
	}
	only := standalone.File{Service: f.Service, Levels: f.Levels}
	switch {
	case len(f.Levels) == 0:
		return nil, "", fmt.Errorf("rehearse: --levels: %s has no [[level]]", o.levels)
	case !f.Equal(&only):
		return nil, "", fmt.Errorf("rehearse: --levels: %s has more than [service] and [[level]]: the script says the rest", o.levels)
	}
	ladder, err := f.LevelsConfig(p.Settings.Classes)
	if err != nil {
		return nil, "", fmt.Errorf("%s:%w", o.levels, err)
	}
	return ladder, "\n" + string(text), nil
}

// tell writes a result wherever it is wanted, and returns an error where it is no good one.
func (o *rehearsal) tell(c *cobra.Command, r *result.Result, e Extensions) error {
	if err := report.Text(c.OutOrStdout(), r); err != nil {
		return err
	}
	if err := write(o.json, func(w io.Writer) error { return report.JSON(w, r) }); err != nil {
		return err
	}
	if err := write(o.html, func(w io.Writer) error { return e.WriteHTML(w, r) }); err != nil {
		return err
	}
	switch {
	case r.Void != "":
		return fmt.Errorf("rehearse: void: %s", r.Void)
	case !r.Verdict.Kept():
		return errors.New("rehearse: rules were broken")
	}
	return nil
}

func mutant(name string) (sim.Options, error) {
	var names []string
	for _, m := range sim.Mutants() {
		if m.Name == name {
			return m.Options(), nil
		}
		names = append(names, fmt.Sprintf("%q (%s)", m.Name, m.Scenario))
	}
	return sim.Options{}, fmt.Errorf("rehearse: --mutant: there are, with the scenarios that show them, %s", strings.Join(names, ", "))
}

// outcomes writes a line for each request to a file.
func outcomes(path string, p *plan.Plan) (func(*plan.Request, result.Outcome), func() error, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	w := bufio.NewWriter(f)
	s := p.Script
	fmt.Fprintln(w, "id,at_s,class,workspace,zone,end,took_ms,tries,attempts,faults")
	return func(r *plan.Request, o result.Outcome) {
			var met []string
			for _, f := range o.Met {
				met = append(met, p.Faults[f].Label())
			}
			fmt.Fprintf(w, "%s,%.6f,%s,%s,%s,%v,%.3f,%d,%d,%s\n", r.ID, r.At.Seconds(), s.Classes[r.Class].Name, s.Tenants[r.Tenant].Name, r.Zone,
				o.End, float64(o.Took)/1e6, o.Tries, o.Attempts, strings.Join(met, "; "))
		}, func() error {
			return errors.Join(w.Flush(), f.Close())
		}, nil
}

// write writes a file whole, or nothing where no path is named.
func write(path string, do func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(do(f), f.Close())
}
