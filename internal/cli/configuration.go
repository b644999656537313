package cli

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"

	"cobaltward/discovery/file"
	"cobaltward/discovery/registry"
	"cobaltward/internal/node"
	"cobaltward/internal/standalone"
	"cobaltward/levels"
	"cobaltward/policy"
	"cobaltward/router"
)

// Defaults of a standalone node.
const (
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
	noDiscovery        = "127.0.0.1:9" // never called; node.Config requires an address
)

var errNoListener = errors.New(
	"listen: the file no longer has a listener; a standalone node cannot change that without a restart")

// configSource is the origin of a node's configuration: the platform, or the operator's configuration file for a
// standalone node. A nil pointer means the platform.
type configSource struct {
	operatorFile *standalone.File // the file as read at the start
	standalone   *standalone.File // operatorFile of a standalone node; nil: the platform's configuration applies
	frontend     *standalone.Frontend
	serverList   *file.Source
}

// loadConfigSource reads the operator's configuration file. The content of the file determines whether the node is
// standalone.
func loadConfigSource(path string) (*configSource, error) {
	operatorFile, err := standalone.Load(path)
	if err != nil {
		return nil, err
	}
	if !operatorFile.Standalone() {
		return &configSource{operatorFile: operatorFile}, nil
	}
	frontend, err := standalone.NewFrontend(operatorFile)
	return &configSource{operatorFile: operatorFile, standalone: operatorFile, frontend: frontend}, err
}

// nodeConfig returns the node's configuration at the start, including its state file and levels of reduced service.
func (c *configSource) nodeConfig() (config node.Config, err error) {
	if c.standalone == nil {
		config, err = node.LoadConfig(os.Getenv)
	} else {
		config, err = standaloneConfig(c.standalone)
	}
	if err != nil {
		return config, err
	}
	state := c.operatorFile.State
	config.State = node.StateConfig{
		File:         state.File,
		SaveInterval: state.SaveInterval,
		HalfLife:     state.HalfLife,
		MaxAge:       state.MaxAge,
	}
	config.Levels, err = levelsConfig(c.operatorFile, config.Settings.Classes)
	return config, err
}

// levelsConfig returns the levels of reduced service that file defines for classes.
func levelsConfig(file *standalone.File, classes []policy.Class) (*levels.Config, error) {
	config, err := file.LevelsConfig(classes)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file.Path(), err)
	}
	return config, nil
}

// standaloneConfig returns the configuration of a standalone node.
func standaloneConfig(operatorFile *standalone.File) (node.Config, error) {
	endpoints, err := operatorFile.Endpoints()
	if err != nil {
		return node.Config{}, err
	}
	config := node.Config{
		Name:           operatorFile.Node.Name,
		Listen:         operatorFile.Listen[0].Address,
		Discovery:      noDiscovery,
		Seed:           uint64(os.Getpid()),
		Cores:          cmp.Or(operatorFile.Limits.Cores, defaultCores),
		MemoryMB:       cmp.Or(int64(operatorFile.Limits.MemoryMB), defaultMemoryMB),
		MaxDescriptors: cmp.Or(operatorFile.Limits.Sockets, defaultDescriptors),
		MaxInFlight:    operatorFile.Limits.MaxOpen,
		ConnectTimeout: cmp.Or(operatorFile.Limits.ConnectTimeout, node.DefaultConnectTimeout),
		Settings:       operatorFile.Settings(),
		InitialList:    registry.List{Full: true, Endpoints: endpoints},
	}
	if config.Name == "" {
		config.Name, _ = os.Hostname() // on an error the name stays empty
	}
	_, _, err = net.SplitHostPort(config.Listen)
	return config, err
}

// applyStandalone adds the HTTP frontend and the server list of a standalone node to its configuration.
func (c *configSource) applyStandalone(config *node.Config, log *slog.Logger) {
	if c.standalone == nil {
		return
	}
	config.WrapHandler = func(next http.Handler, readyPath string) http.Handler {
		return c.frontend.Handler(next, readyPath)
	}
	c.serverList = file.New(c.standalone.ServersPath(), c.standalone.Endpoints, log)
	config.NewEndpointSource = func(router.EndpointSource) (router.EndpointSource, error) { return c.serverList, nil }
}

// reload reads the configuration again. The caller must call apply after all other checks have passed. For a
// standalone node, apply activates the new routes, identities and servers. A running node cannot switch between the
// platform's configuration and a standalone one.
func (c *configSource) reload(path string) (config node.Config, apply func() error, err error) {
	operatorFile, err := standalone.Load(path)
	if err != nil {
		return node.Config{}, nil, err
	}
	if c == nil || c.standalone == nil {
		if config, err = node.ReloadConfig(os.Getenv); err == nil {
			config.Levels, err = levelsConfig(operatorFile, config.Settings.Classes)
		}
		return config, func() error { return nil }, err
	}
	if !operatorFile.Standalone() {
		return node.Config{}, nil, errNoListener
	}
	if config, err = standaloneConfig(operatorFile); err == nil {
		config.Levels, err = levelsConfig(operatorFile, config.Settings.Classes)
	}
	return config, func() error {
		if err := c.frontend.Reload(operatorFile); err != nil {
			return err
		}
		c.serverList.Reload(operatorFile.Endpoints)
		return nil
	}, err
}
