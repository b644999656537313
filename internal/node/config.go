// Package node implements the daemon: it connects the engine with the listeners for clients, the transports to servers,
// the source of endpoints and the listeners for operators, and runs them from start to graceful shutdown. It makes no
// decisions about requests.
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
	InitialList    registry.List // the endpoint list at the start, which may be outdated
	Settings       policy.Settings

	// Values of the settings that apply to the node and not to the policy.
	MaxInFlight    int           // maximum number of requests without an answer; 0: no limit
	ConnectTimeout time.Duration // for connecting to a server

	// AnnounceFor is how long a node that shuts down is not ready but keeps serving as before. If it is nil, the time is
	// 0.6 of DrainTimeout, or without DrainTimeout 0.6 of the longest deadline but at least 0.42 s.
	AnnounceFor *time.Duration
	// DrainTimeout limits the whole shutdown; nil: the longest deadline of a class, at most 3 s, plus 0.3 s.
	DrainTimeout *time.Duration

	// OperationsListener is the listener of the operations endpoint; nil: there is none. The node closes it.
	OperationsListener net.Listener
	// SharedListener says that other processes also hold the listening socket for clients, and accept the connections
	// that this process does not.
	SharedListener bool

	// SharedDir is the directory through which the processes of a node with a shared listener coordinate; empty: they do
	// not coordinate.
	SharedDir string
	// SetMemoryShare limits the process to a part of the node's memory; nil: its memory can't be limited.
	SetMemoryShare func(part float64)

	// Msgpack enables MessagePack-RPC in addition to HTTP; the zero value enables HTTP only.
	Msgpack Msgpack

	// AdminAPI says where the admin API listens; the zero value disables it.
	AdminAPI adminapi.Config
	// DrainMarkerFile is the path of a file that exists during a drain by request, so that a restarted process drains again;
	// empty: a restarted process serves.
	DrainMarkerFile string

	// State says where the node saves its learned state; the zero value disables saving.
	State StateConfig

	// Levels are the levels of reduced service; nil: service is never reduced.
	Levels *levels.Config

	// TLS enables TLS; nil: none.
	TLS *TLS

	// WrapHandler returns a handler that converts requests from clients into the form that next expects; nil: they arrive
	// in that form. Requests for the path ready must reach next unchanged.
	WrapHandler func(next http.Handler, ready string) http.Handler

	// NewEndpointSource derives the source of endpoints from that of the registry; nil: the registry itself is the source.
	NewEndpointSource func(own router.EndpointSource) (router.EndpointSource, error)
}

// Msgpack configures MessagePack-RPC with clients and with servers.
type Msgpack struct {
	Listener        net.Listener // for clients; nil: HTTP only. The node closes it.
	MaxConns        int          // maximum number of client connections; 0: defaultMsgpackConns
	MaxCallsPerConn int          // maximum number of calls in flight; 0: the frontend's default
	ServerKinds     []string     // kinds of the servers that use MessagePack-RPC
}

// DefaultConnectTimeout is the timeout for connecting to servers if the settings contain none.
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
