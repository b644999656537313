// Package node is the daemon: it connects the engine with the servers for clients, the transports to servers, the
// source of endpoints and the servers for operators, and runs them from start to graceful shutdown. It decides nothing
// about requests.
package node

import (
	"net"
	"net/http"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
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

// routerConfig returns the configuration of the engine.
func (c Config) routerConfig() router.Config {
	return router.Config{
		Settings:    c.Settings,
		MaxInFlight: c.MaxInFlight,
		Seed:        c.Seed,
		Endpoints:   c.InitialList.Endpoints,
	}
}
