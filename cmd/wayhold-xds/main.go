// Command wayhold-xds is wayhold with support for xDS. Clusters and endpoints come from an Envoy control plane or
// from files, as configured by the table [xds] in the operator's own file. It is a separate program because gRPC
// increases the memory use of an idle node.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"cobaltward/certificates"
	"cobaltward/discovery/merge"
	"cobaltward/discovery/xds"
	"cobaltward/emulator/realtime/control"
	"cobaltward/emulator/report/page"
	"cobaltward/internal/cli"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

func main() { os.Exit(cli.Main(extensions())) }

// extensions returns the features that this program adds to wayhold.
func extensions() cli.Extensions {
	return cli.Extensions{
		NewXDSSource: newEndpointSource, WriteHTML: page.Write, NewControlPlane: control.New,
		Commands: []*cobra.Command{xdsCommand()},
	}
}

// newEndpointSource returns the xDS source that the operator's own file configures, merged with the platform's
// discovery. If the file disables the platform's discovery, only the xDS source is returned.
func newEndpointSource(
	file nodeconfig.File, config node.Config, platform router.EndpointSource, log *slog.Logger,
) (router.EndpointSource, error) {
	secrets := make(secretUpdaters)
	if config.TLS != nil {
		for name, store := range config.TLS.Secrets {
			secrets[name] = store.Replace
		}
	}
	source, err := newXDSSource(file.XDS, secrets, log)
	if err != nil {
		return nil, err
	}
	if file.XDS.WithoutPlatform {
		return source, nil
	}
	both := merge.New(platform, source)
	both.Log = log
	both.SetInitial(0, config.InitialList.Endpoints)
	return both, nil
}

// secretUpdaters maps the name of each SDS secret to the function that installs the certificates of the secret.
type secretUpdaters = map[string]func(*certificates.Set)

// newXDSSource returns a source that reads the configured files. If no files are configured, the source subscribes to
// the configured control planes.
func newXDSSource(table nodeconfig.XDS, secrets secretUpdaters, log *slog.Logger) (router.EndpointSource, error) {
	if len(table.Files) > 0 {
		return xds.NewFileSource(table.Files, log)
	}
	config, err := loadBootstrap(table)
	if err != nil {
		return nil, err
	}
	config.Log, config.Secrets = log, secrets
	return xds.New(config)
}

// loadBootstrap reads the configured bootstrap file and returns the source configuration for its control planes.
func loadBootstrap(table nodeconfig.XDS) (xds.Config, error) {
	raw, err := os.ReadFile(table.Bootstrap)
	if err != nil {
		return xds.Config{}, fmt.Errorf("xds.bootstrap: %w", err)
	}
	config, err := xds.ParseBootstrap(raw, table.CAFile)
	if err != nil {
		return xds.Config{}, fmt.Errorf("%s: %w", table.Bootstrap, err)
	}
	config.Delta, config.CacheDir = table.Delta, table.CacheDir
	return config, nil
}
