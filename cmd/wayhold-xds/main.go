// Command wayhold-xds is wayhold with xDS linked: clusters and endpoints from an Envoy control plane or
// from files, as the table [xds] of the operator's own file says. It is a program of its own, for gRPC
// costs a node at rest about 5 MB that it may not have.
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

func main() { os.Exit(cli.Main(extra())) }

func extra() cli.Extensions {
	return cli.Extensions{NewXDSSource: membership, WriteHTML: page.Write, NewControlPlane: control.New, Commands: []*cobra.Command{xdsCommand()}}
}

// membership is the source that the operator's own file asks for, with the platform's discovery first
// unless it is to stand alone.
func membership(o nodeconfig.File, c node.Config, own router.EndpointSource, log *slog.Logger) (router.EndpointSource, error) {
	secrets := make(map[string]func(*certificates.Set))
	if c.TLS != nil {
		for name, store := range c.TLS.Secrets {
			secrets[name] = store.Replace
		}
	}
	source, err := open(o.XDS, secrets, log)
	if err != nil {
		return nil, err
	}
	if o.XDS.WithoutPlatform {
		return source, nil
	}
	both := merge.New(own, source)
	both.SetInitial(0, c.InitialList.Endpoints)
	return both, nil
}

// open makes the source of the control planes, or of the files.
func open(x nodeconfig.XDS, secrets map[string]func(*certificates.Set), log *slog.Logger) (router.EndpointSource, error) {
	if len(x.Files) > 0 {
		return xds.NewFileSource(x.Files, log)
	}
	c, err := bootstrap(x)
	if err != nil {
		return nil, err
	}
	c.Log, c.Secrets = log, secrets
	return xds.New(c)
}

func bootstrap(x nodeconfig.XDS) (xds.Config, error) {
	raw, err := os.ReadFile(x.Bootstrap)
	if err != nil {
		return xds.Config{}, fmt.Errorf("xds.bootstrap: %w", err)
	}
	c, err := xds.ParseBootstrap(raw, x.CAFile)
	if err != nil {
		return xds.Config{}, fmt.Errorf("%s: %w", x.Bootstrap, err)
	}
	c.Delta, c.CacheDir = x.Delta, x.CacheDir
	return c, nil
}
