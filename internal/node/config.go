// Package node is the daemon: it connects the engine with the servers for clients, the transports to servers, the
// source of endpoints and the servers for operators, and runs them from start to graceful shutdown. It decides nothing
// about requests.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/jsonconfig"
	"cobaltward/internal/simprotocol"
	"cobaltward/levels"
	"cobaltward/policy"
	"cobaltward/router"
)

// Config configures a node.
type Config struct {
	Name           string
	Listen         string // address of the listener for clients
	Discovery      string // address of the registry
	OperationsAddr string // address of the operations endpoint; empty: there is none
	Seed           uint64
	Cores          float64
	MemoryMB       int64
	MaxDescriptors int           // file descriptors that the node may use
	InitialList    registry.List // the endpoints as this node last knew them, perhaps stale
	Settings       policy.Settings

	// Figures of the settings that bind the node and not the policy.
	MaxInFlight    int           // requests without an answer; 0: no limit
	ConnectTimeout time.Duration // for a new connection to a server

	// AnnounceFor is for how long a node that shuts down serves on as before; nil: 0.6 of DrainTimeout, or else 0.6 of
	// the longest deadline and at least 0.42 s.
	AnnounceFor *time.Duration
	// DrainTimeout bounds the whole shutdown; nil: the longest deadline of a class, at most 3 s, and 0.3 s more.
	DrainTimeout *time.Duration

	// OperationsListener is the listener of the operations endpoint; nil: there is none. The node closes it.
	OperationsListener net.Listener
	// SharedListener says that other processes hold the listening socket for clients, too: they accept the connections
	// that this process does not.
	SharedListener bool

	// SharedDir is the directory by which processes of one node with a shared listener know of each other; empty: they
	// do not.
	SharedDir string
	// SetMemoryShare limits the process to a part of the node's memory; nil: that is not possible.
	SetMemoryShare func(part float64)

	// Msgpack enables MessagePack-RPC beside HTTP; the zero value is HTTP alone.
	Msgpack Msgpack

	// AdminAPI says where the admin API listens; the zero value is nowhere.
	AdminAPI adminapi.Config
	// DrainMark is the path of a file that exists while a drain on request does, so that a restarted process drains
	// again; empty: a restarted process serves.
	DrainMark string

	// State says where the node saves its learned state; the zero value is nowhere.
	State StateConfig

	// Levels are the levels of reduced service; nil: service is never reduced.
	Levels *levels.Config

	// TLS enables TLS; nil: none.
	TLS *TLS

	// WrapHandler returns a handler that brings requests from outside into the protocol's form for next; nil: they come
	// in that form. Requests for the path ready must reach next unchanged.
	WrapHandler func(next http.Handler, ready string) http.Handler

	// NewEndpointSource makes the source of endpoints from the registry; nil: the registry itself is the source.
	NewEndpointSource func(own router.EndpointSource) (router.EndpointSource, error)
}

// Msgpack configures MessagePack-RPC, towards clients and towards servers.
type Msgpack struct {
	Listener        net.Listener // for clients; nil: none. The node closes it.
	MaxConns        int          // of clients; 0: defaultMsgpackConns
	MaxCallsPerConn int          // in flight; 0: the frontend's default
	ServerKinds     []string     // kinds of the servers that speak it
}

// DefaultConnectTimeout is the timeout of connections to servers where the settings name none.
const DefaultConnectTimeout = 250 * time.Millisecond

// LoadConfig reads the file that ROUTER_CONFIG names. The other variables, where set, override the file. Errors name
// the field.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery, "ROUTER_CONSOLE": &c.OperationsAddr,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if err := jsonconfig.CheckAddress(c.Listen); err != nil {
		return Config{}, fmt.Errorf("configuration: listen: %w", err)
	}
	if err := jsonconfig.CheckAddress(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	if c.OperationsAddr != "" {
		if err := jsonconfig.CheckAddress(c.OperationsAddr); err != nil {
			return Config{}, fmt.Errorf("configuration: console: %w", err)
		}
		if c.OperationsAddr == c.Listen {
			return Config{}, fmt.Errorf("configuration: console: %s is the address of the clients, too", c.OperationsAddr)
		}
	}
	return c, nil
}

// ReloadConfig reads the file again. The registry's address in it and the settings take effect while a node runs, the
// rest at the next start. ROUTER_DISCOVERY holds the address at the start of the process, so here the file overrides it.
func ReloadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	if err := jsonconfig.CheckAddress(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	return c, nil
}

// routerConfig returns the configuration of the engine.
func (c Config) routerConfig() router.Config {
	return router.Config{Settings: c.Settings, MaxInFlight: c.MaxInFlight, Seed: c.Seed, Endpoints: c.InitialList.Endpoints}
}

func readConfig(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := parseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

func parseConfig(raw []byte) (Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Console   string `json:"console"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := jsonconfig.Unmarshal(raw, &f); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hexadecimal digits, got %q", f.Seed)
	}
	switch l := f.Limits; {
	case !(l.Cores > 0) || l.Cores > 1024:
		return Config{}, fmt.Errorf("limits.cores: want more than 0, got %v", l.Cores)
	case !(l.MemoryMB >= 1) || l.MemoryMB > math.MaxInt32:
		return Config{}, fmt.Errorf("limits.memory_mb: want 1 or more, got %v", l.MemoryMB)
	case l.Sockets < minDescriptors:
		return Config{}, fmt.Errorf("limits.sockets: want %d or more, got %d", minDescriptors, l.Sockets)
	}
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, OperationsAddr: f.Console, Seed: seed,
		Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), MaxDescriptors: f.Limits.Sockets,
	}
	for name, field := range map[string]json.RawMessage{"known": f.Known, "settings": f.Settings} {
		if len(field) == 0 {
			return Config{}, fmt.Errorf("%s: missing", name)
		}
	}
	if c.InitialList, err = registry.ParseList(f.Known); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	if c.Settings, err = simprotocol.ParseSettings(f.Settings); err != nil {
		return Config{}, fmt.Errorf("settings.%w", err)
	}
	if _, err := policy.New(c.Settings, 0, 0); err != nil { // the module checks what it is given
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	err = parseNodeLimits(f.Settings, &c)
	return c, err
}

// parseNodeLimits reads those settings that the module leaves to its host.
func parseNodeLimits(settings []byte, c *Config) error {
	var s struct {
		Limits struct {
			MaxOpen        float64 `json:"maxOpen"`
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"limits"`
	}
	if err := jsonconfig.Unmarshal(settings, &s); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	switch l := s.Limits; {
	case l.MaxOpen < 0 || l.MaxOpen > math.MaxInt32:
		return fmt.Errorf("settings.limits.maxOpen: want 0 or more, got %v", l.MaxOpen)
	case l.ConnectTimeout < 0 || l.ConnectTimeout > math.MaxInt32:
		return fmt.Errorf("settings.limits.connectTimeout: want 0 or more, got %v", l.ConnectTimeout)
	}
	c.MaxInFlight, c.ConnectTimeout = int(s.Limits.MaxOpen), milliseconds(s.Limits.ConnectTimeout)
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
