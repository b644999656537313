package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/standalone"

	"github.com/spf13/cobra"
)

// checkCommand returns the command that validates configuration files without starting a node.
func checkCommand(configPath *string, extensions Extensions) *cobra.Command {
	var platformPath string
	command := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check the operator's own file and the platform's configuration, without serving",
		Long: `Check FILE, an operator's own file (else the one that --config or WAYHOLD_CONFIG names), and the
platform's configuration (the one that --platform or ROUTER_CONFIG names). An error is one
line that names the file, the line or the field, and the exit status is 1.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := *configPath
			if len(args) > 0 {
				path = args[0]
			}
			if platformPath == "" {
				platformPath = os.Getenv(configVariable)
			}
			if path == "" && platformPath == "" {
				return errors.New("check: nothing to check: name a FILE, --platform or ROUTER_CONFIG")
			}
			return check(c.OutOrStdout(), path, platformPath, extensions)
		},
	}
	command.Flags().StringVar(&platformPath, "platform", "",
		"the platform's configuration, a JSON file; ROUTER_CONFIG names it too")
	return command
}

// check validates and describes the files at path and platformPath. An empty path names no file. For a standalone
// node, check ignores the platform's configuration.
func check(out io.Writer, path, platformPath string, extensions Extensions) error {
	var options nodeconfig.File
	file := &standalone.File{}
	if path != "" {
		var err error
		if options, file, err = loadOperatorFile(path, extensions); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: good\n", path); err != nil {
			return err
		}
		if file.Standalone() {
			return describeStandalone(out, file)
		}
	}
	if platformPath == "" {
		return nil
	}
	return checkPlatform(out, platformPath, options, file)
}

// loadOperatorFile reads the operator's configuration file and the certificates that the file names.
func loadOperatorFile(path string, extensions Extensions) (nodeconfig.File, *standalone.File, error) {
	options, err := nodeconfig.Load(path)
	if err != nil {
		return options, nil, err
	}
	if options.XDS.Enabled() && extensions.NewXDSSource == nil {
		return options, nil, errNoXDS
	}
	file, err := standalone.Load(path)
	if err != nil {
		return options, nil, err
	}
	if _, err := file.NodeTLS(time.Now()); err != nil {
		return options, nil, fmt.Errorf("%s:%w", path, err)
	}
	return options, file, nil
}

// checkPlatform validates the platform's configuration with the options of the operator's file, and prints a summary.
func checkPlatform(out io.Writer, path string, options nodeconfig.File, file *standalone.File) error {
	config, err := node.LoadConfig(func(name string) string {
		if name == configVariable {
			return path
		}
		return os.Getenv(name)
	})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := bindClusters(options, &config); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: good; listens on %s, asks %s, knows %d servers\n",
		path, config.Listen, config.Discovery, len(config.InitialList.Endpoints))
	if err != nil {
		return err
	}
	table := newTable(out)
	printClasses(table, config.Settings.Classes)
	if err := table.flush(); err != nil {
		return err
	}
	return describeLevels(out, file, config.Settings.Classes)
}
