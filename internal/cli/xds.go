package cli

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/policy"
	"cobaltward/router"
)

// errNoXDS is the error for a configuration file that requires xDS in a program without xDS.
var errNoXDS = errors.New("xds: this program is built without xDS; run wayhold-xds instead")

// applyXDS makes xDS the node's endpoint source if the operator's file configures xDS.
func applyXDS(options nodeconfig.File, config *node.Config, extensions Extensions, log *slog.Logger) error {
	if !options.XDS.Enabled() {
		return nil
	}
	if extensions.NewXDSSource == nil {
		return errNoXDS
	}
	if err := bindClusters(options, config); err != nil {
		return err
	}
	config.NewEndpointSource = func(platform router.EndpointSource) (router.EndpointSource, error) {
		return extensions.NewXDSSource(options, *config, platform, log)
	}
	return nil
}

// bindClusters sets the server pool of each class to the xDS cluster that the operator's file assigns to the class.
func bindClusters(options nodeconfig.File, config *node.Config) error {
	classes := config.Settings.Classes
	for name, cluster := range options.XDS.ClusterByClass {
		i := slices.IndexFunc(classes, func(class policy.Class) bool { return class.Name == name })
		if i < 0 {
			return fmt.Errorf("xds.pools.%s: the settings have no such class", name)
		}
		classes[i].Pool = cluster
	}
	return nil
}
