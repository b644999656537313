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

// Defaults of a node that stands alone.
const (
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
	noDiscovery        = "127.0.0.1:9" // node.Config requires an address; it is not used
)

var errNoListener = errors.New(
	"listen: the file has no listener any more; a node that stands alone cannot change that before its next start")

// configuration is where a node's configuration comes from: the platform or, for a node that stands alone, the
// operator's own file. A nil pointer means the platform.
type configuration struct {
	ownFile    *standalone.File
	standalone *standalone.File // nil: the platform's configuration applies
	frontend   *standalone.Frontend
	serverList *file.Source
}

// loadConfiguration reads the operator's own file.
func loadConfiguration(path string) (*configuration, error) {
	ownFile, err := standalone.Load(path)
	if err != nil {
		return nil, err
	}
	if !ownFile.Standalone() {
		return &configuration{ownFile: ownFile}, nil
	}
	frontend, err := standalone.NewFrontend(ownFile)
	return &configuration{ownFile: ownFile, standalone: ownFile, frontend: frontend}, err
}

// nodeConfig returns the node's configuration.
func (c *configuration) nodeConfig() (config node.Config, err error) {
	if c.standalone == nil {
		config, err = node.LoadConfig(os.Getenv)
	} else {
		config, err = standaloneConfig(c.standalone)
	}
	if err != nil {
		return config, err
	}
	state := c.ownFile.State
	config.State = node.StateConfig{
		File:         state.File,
		SaveInterval: state.SaveInterval,
		HalfLife:     state.HalfLife,
		MaxAge:       state.MaxAge,
	}
	config.Levels, err = levelsConfig(c.ownFile, config.Settings.Classes)
	return config, err
}

// levelsConfig returns the levels of reduced service that a file has for a node's classes.
func levelsConfig(file *standalone.File, classes []policy.Class) (*levels.Config, error) {
	config, err := file.LevelsConfig(classes)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file.Path(), err)
	}
	return config, nil
}

// standaloneConfig returns the configuration of a node that stands alone.
func standaloneConfig(own *standalone.File) (node.Config, error) {
	endpoints, err := own.Endpoints()
	if err != nil {
		return node.Config{}, err
	}
	config := node.Config{
		Name:           own.Node.Name,
		Listen:         own.Listen[0].Address,
		Discovery:      noDiscovery,
		Seed:           uint64(os.Getpid()),
		Cores:          cmp.Or(own.Limits.Cores, defaultCores),
		MemoryMB:       cmp.Or(int64(own.Limits.MemoryMB), defaultMemoryMB),
		MaxDescriptors: cmp.Or(own.Limits.Sockets, defaultDescriptors),
		MaxInFlight:    own.Limits.MaxOpen,
		ConnectTimeout: cmp.Or(own.Limits.ConnectTimeout, node.DefaultConnectTimeout),
		Settings:       own.Settings(),
		InitialList:    registry.List{Full: true, Endpoints: endpoints},
	}
	if config.Name == "" {
		config.Name, _ = os.Hostname() // after an error the node has no name
	}
	_, _, err = net.SplitHostPort(config.Listen)
	return config, err
}

// install adds the frontend and the list of servers of a node that stands alone to its configuration.
func (c *configuration) install(config *node.Config, log *slog.Logger) {
	if c.standalone == nil {
		return
	}
	config.WrapHandler = func(next http.Handler, readyPath string) http.Handler {
		return c.frontend.Handler(next, readyPath)
	}
	c.serverList = file.New(c.standalone.ServersPath(), c.standalone.Endpoints, log)
	config.NewEndpointSource = func(router.EndpointSource) (router.EndpointSource, error) { return c.serverList, nil }
}

// reload reads the configuration again. The caller calls adopt once nothing else is rejected: it puts the routes,
// identities and servers of a node that stands alone in force. A running node keeps the platform, or stays without.
func (c *configuration) reload(path string) (config node.Config, adopt func() error, err error) {
	own, err := standalone.Load(path)
	if err != nil {
		return node.Config{}, nil, err
	}
	if c == nil || c.standalone == nil {
		if config, err = node.ReloadConfig(os.Getenv); err == nil {
			config.Levels, err = levelsConfig(own, config.Settings.Classes)
		}
		return config, func() error { return nil }, err
	}
	if !own.Standalone() {
		return node.Config{}, nil, errNoListener
	}
	if config, err = standaloneConfig(own); err == nil {
		config.Levels, err = levelsConfig(own, config.Settings.Classes)
	}
	return config, func() error {
		if err := c.frontend.Reload(own); err != nil {
			return err
		}
		c.serverList.Reload(own.Endpoints)
		return nil
	}, err
}
