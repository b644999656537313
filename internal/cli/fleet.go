package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

const fleetProgram = "wayhold-fleet" // beside this one

// fleetCommand hands over to the program of the fleet: nothing of it is linked into this one.
func fleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "fleet",
		Short:              "See to the fleet, by the program wayhold-fleet beside this one",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			other := filepath.Join(filepath.Dir(self), fleetProgram)
			if err := syscall.Exec(other, append([]string{fleetProgram}, args...), os.Environ()); err != nil {
				return fmt.Errorf("fleet: %s: %w", other, err)
			}
			return nil
		},
	}
}
