package cli

import (
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
	"cobaltward/router"
)

var errNoListener = errors.New("listen: there is none any more: a node that stands alone keeps to that until its next start")

// configuration is a node without a platform: its configuration is the operator's own file. The zero value is a node with
// one.
type configuration struct {
	ownFile    *standalone.File // the operator's own file, whatever it has
	standalone *standalone.File // nil: the platform's configuration holds
	frontend   *standalone.Frontend
	serverList *file.Source
}

// loadConfiguration reads the operator's own file, and tells by it whether the node stands alone.
func loadConfiguration(own string) (*configuration, error) {
	f, err := standalone.Load(own)
	if err != nil {
		return nil, err
	}
	if !f.Standalone() {
		return &configuration{ownFile: f}, nil
	}
	front, err := standalone.NewFrontend(f)
	return &configuration{ownFile: f, standalone: f, frontend: front}, err
}

// nodeConfig is the node's configuration.
func (a *configuration) nodeConfig() (c node.Config, err error) {
	if a.standalone == nil {
		c, err = node.LoadConfig(os.Getenv)
	} else {
		c, err = standaloneConfig(a.standalone)
	}
	if err == nil {
		saved := a.ownFile.State
		c.State = node.StateConfig{File: saved.File, SaveInterval: saved.SaveInterval, HalfLife: saved.HalfLife, MaxAge: saved.MaxAge}
		c.Levels, err = levelsConfig(a.ownFile, &c)
	}
	return c, err
}

// levelsConfig is the ladder of levels that a file has for a node.
func levelsConfig(f *standalone.File, c *node.Config) (*levels.Config, error) {
	ladder, err := f.LevelsConfig(c.Settings.Classes)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", f.Path(), err)
	}
	return ladder, nil
}

func standaloneConfig(f *standalone.File) (node.Config, error) {
	members, err := f.Endpoints()
	if err != nil {
		return node.Config{}, err
	}
	c := node.Config{
		Name: f.Node.Name, Listen: f.Listen[0].Address, Discovery: "127.0.0.1:9", Seed: uint64(os.Getpid()), Cores: f.Limits.Cores,
		MemoryMB: int64(f.Limits.MemoryMB), MaxDescriptors: f.Limits.Sockets, MaxInFlight: f.Limits.MaxOpen, ConnectTimeout: f.Limits.ConnectTimeout,
		Settings: f.Settings(), InitialList: registry.List{Full: true, Endpoints: members},
	}
	if c.Name == "" {
		c.Name, _ = os.Hostname() // without one it has none
	}
	if c.Cores == 0 {
		c.Cores = 1
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = 192
	}
	if c.MaxDescriptors == 0 {
		c.MaxDescriptors = 1024
	}
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = node.DefaultConnectTimeout
	}
	_, _, err = net.SplitHostPort(c.Listen)
	return c, err
}

// install puts the front and the list of servers in place.
func (a *configuration) install(c *node.Config, log *slog.Logger) {
	if a.standalone == nil {
		return
	}
	c.WrapHandler = func(next http.Handler, ready string) http.Handler { return a.frontend.Handler(next, ready) }
	a.serverList = file.New(a.standalone.ServersPath(), a.standalone.Endpoints, log)
	c.NewEndpointSource = func(router.EndpointSource) (router.EndpointSource, error) { return a.serverList, nil }
}

// reload reads the configuration again. adopt puts its routes, identities and servers in force, once nothing else
// of it is refused. A node does not come to stand alone, or cease to, while it runs.
func (a *configuration) reload(own string) (c node.Config, adopt func() error, err error) {
	f, err := standalone.Load(own)
	if err != nil {
		return node.Config{}, nil, err
	}
	if a == nil || a.standalone == nil {
		if c, err = node.ReloadConfig(os.Getenv); err == nil {
			c.Levels, err = levelsConfig(f, &c)
		}
		return c, func() error { return nil }, err
	}
	if !f.Standalone() {
		return node.Config{}, nil, errNoListener
	}
	if c, err = standaloneConfig(f); err == nil {
		c.Levels, err = levelsConfig(f, &c)
	}
	return c, func() error {
		if err := a.frontend.Reload(f); err != nil {
			return err
		}
		a.serverList.Reload(f.Endpoints)
		return nil
	}, err
}
