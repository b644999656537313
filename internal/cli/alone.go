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

// alone is a node without a platform: its configuration is the operator's own file. The zero value is a node with
// one.
type alone struct {
	own   *standalone.File // the operator's own file, whatever it has
	file  *standalone.File // nil: the platform's configuration holds
	front *standalone.Frontend
	list  *file.Source
}

// standAlone reads the operator's own file, and tells by it whether the node stands alone.
func standAlone(own string) (*alone, error) {
	f, err := standalone.Load(own)
	if err != nil {
		return nil, err
	}
	if !f.Standalone() {
		return &alone{own: f}, nil
	}
	front, err := standalone.NewFrontend(f)
	return &alone{own: f, file: f, front: front}, err
}

// config is the node's configuration.
func (a *alone) config() (c node.Config, err error) {
	if a.file == nil {
		c, err = node.LoadConfig(os.Getenv)
	} else {
		c, err = configOf(a.file)
	}
	if err == nil {
		saved := a.own.State
		c.State = node.StateConfig{File: saved.File, SaveInterval: saved.SaveInterval, HalfLife: saved.HalfLife, MaxAge: saved.MaxAge}
		c.Levels, err = ladderOf(a.own, &c)
	}
	return c, err
}

// ladderOf is the ladder of levels that a file has for a node.
func ladderOf(f *standalone.File, c *node.Config) (*levels.Config, error) {
	ladder, err := f.LevelsConfig(c.Settings.Classes)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", f.Path(), err)
	}
	return ladder, nil
}

func configOf(f *standalone.File) (node.Config, error) {
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

// serve puts the front and the list of servers in place.
func (a *alone) serve(c *node.Config, log *slog.Logger) {
	if a.file == nil {
		return
	}
	c.WrapHandler = func(next http.Handler, ready string) http.Handler { return a.front.Handler(next, ready) }
	a.list = file.New(a.file.ServersPath(), a.file.Endpoints, log)
	c.NewEndpointSource = func(router.EndpointSource) (router.EndpointSource, error) { return a.list, nil }
}

// reload reads the configuration again. adopt puts its routes, identities and servers in force, once nothing else
// of it is refused. A node does not come to stand alone, or cease to, while it runs.
func (a *alone) reload(own string) (c node.Config, adopt func() error, err error) {
	f, err := standalone.Load(own)
	if err != nil {
		return node.Config{}, nil, err
	}
	if a == nil || a.file == nil {
		if c, err = node.ReloadConfig(os.Getenv); err == nil {
			c.Levels, err = ladderOf(f, &c)
		}
		return c, func() error { return nil }, err
	}
	if !f.Standalone() {
		return node.Config{}, nil, errNoListener
	}
	if c, err = configOf(f); err == nil {
		c.Levels, err = ladderOf(f, &c)
	}
	return c, func() error {
		if err := a.front.Reload(f); err != nil {
			return err
		}
		a.list.Reload(f.Endpoints)
		return nil
	}, err
}
