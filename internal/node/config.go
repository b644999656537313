// Package node is the daemon: a router with the protocol's front, transport and membership, on the
// one address that the platform gives it. It decides nothing.
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

// Config is all that a node is told at its start.
type Config struct {
	Name      string
	Listen    string // the only address to listen on
	Discovery string
	OperationsAddr   string // the second address to listen on; empty: none
	Seed      uint64
	Cores     float64
	MemoryMB  int64
	MaxDescriptors   int
	InitialList     registry.List // the servers as this node last had them, perhaps stale
	Settings  policy.Settings

	// Figures of the settings that bind the node and not the module.
	MaxInFlight        int           // unanswered requests; 0: no limit
	ConnectTimeout time.Duration // for a new connection to a server

	// What the operator's own file may say of the end; nil where it does not.
	AnnounceFor    *time.Duration // serving on as before; nil: 0.6 of DrainFor or else of the longest deadline, then 0.42 s at least
	DrainTimeout *time.Duration // in all; nil: the longest deadline of a class, 3 s at most, and 0.3 s more

	// OperationsListener is where the console's calls come in; nil: there is none. The node closes it.
	OperationsListener net.Listener
	// SharedListener says that the clients' listening socket is held by others, too: what this process does not accept, the
	// next one will.
	SharedListener bool

	// Shared processes of one node know of each other through this directory; empty: they do not.
	SharedDir string
	// SetMemoryShare has the process use a part of the node's memory; nil: it can't.
	SetMemoryShare func(part float64)

	// Msgpack says who is spoken to by MessagePack-RPC beside HTTP; the zero value is nobody.
	Msgpack Msgpack

	// AdminAPI is the operators' way in; the zero value is none. DrainMark is a file that stands while a drain on
	// request does, so that a restart goes on with it; empty: a restart serves.
	AdminAPI      adminapi.Config
	DrainMark string

	// State is where the node keeps what it learns; the zero value keeps nothing.
	State StateConfig

	// Levels is the ladder of reduced service; nil: full service always.
	Levels *levels.Config

	// TLS is who is spoken to by TLS; nil: nobody.
	TLS *TLS

	// WrapHandler puts requests from outside into the protocol's form; nil: they come in it. ready is a path that goes on
	// as it is.
	WrapHandler func(next http.Handler, ready string) http.Handler

	// NewEndpointSource makes the source of the servers out of the protocol's discovery; nil: that alone.
	NewEndpointSource func(own router.EndpointSource) (router.EndpointSource, error)
}

// Msgpack is a listener for callers by MessagePack-RPC, and the app servers that speak it.
type Msgpack struct {
	Listener    net.Listener // nil: none; the node closes it
	MaxConns int          // 0: defaultMsgpackConns
	MaxCallsPerConn       int          // open on a connection; 0: the front's default
	ServerKinds     []string     // kinds
}

// defaultMsgpackConns is how many callers are let in where nobody says.
const defaultMsgpackConns = 64

// minDescriptors is what a node can work with at all: a few for itself, and some for each side.
const minDescriptors = 64

// DefaultConnectTimeout stands in where the settings name none.
const DefaultConnectTimeout = 250 * time.Millisecond

// LoadConfig reads the file that ROUTER_CONFIG names. The other variables, where set, go before what
// the file says. Errors name the field.
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

// ReloadConfig reads the file again. Discovery's address in it, and the settings, take effect while a
// node runs; the rest from the next start. ROUTER_DISCOVERY tells what held at the start, so the file
// goes before it.
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

// routerConfig is the part of the configuration that the engine takes.
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
