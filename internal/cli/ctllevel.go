package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"cobaltward/internal/node"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

const noMaxLevel = -1 // maximum level that allows all levels

// levelCommand returns the command that prints and sets the level of reduced service.
func (a *adminClient) levelCommand() *cobra.Command {
	command := &cobra.Command{
		Use: "level", Short: "Print the level of service, and why it is in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.callLevel(c.OutOrStdout(), http.MethodGet, "/level", nil)
		},
	}
	command.AddCommand(a.setLevelCommand(), a.forbidLevelCommand(), &cobra.Command{
		Use: "release", Short: "Let the conditions decide the level again", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.callLevel(c.OutOrStdout(), http.MethodDelete, "/level", nil)
		},
	})
	return command
}

func (a *adminClient) setLevelCommand() *cobra.Command {
	var reason string
	var duration time.Duration
	command := &cobra.Command{
		Use: "set N", Short: "Put a level in force by hand: 0 is full service", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			level, err := strconv.Atoi(args[0])
			if err != nil {
				return fmt.Errorf("ctl: want the number of a level, got %q", args[0])
			}
			request := node.LevelRequest{Level: level, Reason: reason, RequestedBy: os.Getenv("USER")}
			if duration > 0 {
				request.Duration = duration.String()
			}
			return a.callLevel(c.OutOrStdout(), http.MethodPost, "/level", request)
		},
	}
	command.Flags().DurationVar(&duration, "for", 0, "for how long; else until release")
	command.Flags().StringVar(&reason, "reason", "", "shown with the level")
	return command
}

func (a *adminClient) forbidLevelCommand() *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use: "forbid N|none", Short: "Enter no level beyond N; none allows all again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			level := noMaxLevel
			if args[0] != "none" {
				var err error
				if level, err = strconv.Atoi(args[0]); err != nil {
					return fmt.Errorf("ctl: want the number of a level or none, got %q", args[0])
				}
			}
			request := node.LevelRequest{Level: level, Reason: reason, RequestedBy: os.Getenv("USER")}
			return a.callLevel(c.OutOrStdout(), http.MethodPost, "/level/most", request)
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "shown with the level")
	return command
}

// callLevel sends a request to a level endpoint of the admin API, and prints the returned level status.
func (a *adminClient) callLevel(out io.Writer, method, path string, body any) error {
	var status router.LevelStatus
	if _, err := a.call(method, path, body, &status); err != nil {
		return err
	}
	return printLevel(out, status)
}

func printLevel(out io.Writer, status router.LevelStatus) error {
	output := &printer{out: out}
	output.printf("level %d, %s: %s\n", status.Level, status.Name, status.Reason)
	output.printf("demand %.2f, slow %.3f, held %.3f\n", status.Demand, status.Slow, status.Queued)
	if status.DryRun {
		output.printf("a dry run: nothing is shed; what is counted would be\n")
	}
	if status.MaxLevel >= 0 {
		output.printf("levels beyond %d are forbidden\n", status.MaxLevel)
	}
	if status.ExitProbing {
		output.printf("its end is being tried: half of what it sheds is let in\n")
	}
	for _, condition := range status.ExitConditions {
		output.printf("ends with %s\n", condition)
	}
	printShed(output, "class", status.ShedByClass)
	printShed(output, "tenant", status.ShedByTenant)
	if status.ShedWeight > 0 {
		output.printf("worth shed: %.1f\n", status.ShedWeight)
	}
	for _, event := range status.Events {
		output.printf("  from %d to %d, %s: %s\n", event.From, event.To, event.Name, event.Reason)
	}
	return output.err
}

// printShed prints the number of shed requests by name. kind is class or tenant.
func printShed(output *printer, kind string, shed map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(shed)) {
		output.printf("shed of %s %s: %d\n", kind, cmp.Or(name, "(others)"), shed[name])
	}
}
