package cli

import (
	"errors"
	"fmt"
	"os"

	"cobaltward/internal/standalone"

	"github.com/spf13/cobra"
)

const defaultConfigName = "wayhold.toml"

// initCommand returns the command that writes the example configuration of a standalone node.
func initCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init [FILE]",
		Short: "Write a commented configuration of a node that stands alone",
		Long: `Write a commented configuration to FILE (wayhold.toml if none is named), with which "wayhold serve --config
FILE" serves two servers on loopback. A file that exists is not changed.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path := defaultConfigName
			if len(args) > 0 {
				path = args[0]
			}
			file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
			if err != nil {
				return err
			}
			_, err = file.WriteString(standalone.Example)
			if err := errors.Join(err, file.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s is written; serve by it: wayhold serve --config %s\n", path, path)
			return err
		},
	}
}
