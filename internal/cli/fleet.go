package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

const fleetProgram = "wayhold-fleet" // name of a file in the directory of the running program

// fleetCommand returns the command that replaces this process with the program wayhold-fleet. The code of that
// program is not linked into this one.
func fleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "fleet",
		Short:              "Run the fleet's program, wayhold-fleet, from the directory of this one",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), fleetProgram)
			if err := syscall.Exec(path, append([]string{fleetProgram}, args...), os.Environ()); err != nil {
				return fmt.Errorf("fleet: %s: %w", path, err)
			}
			return nil
		},
	}
}
