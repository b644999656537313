// Package node implements the daemon. It connects the engine with the listeners for clients, the transports to
// servers, the source of endpoints and the listeners for operators. It runs them from start to graceful shutdown and
// makes no decisions about requests.
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
	MaxDescriptors int           // maximum number of file descriptors of the node
	InitialList    registry.List // endpoint list at the start; may be outdated
	Settings       policy.Settings

	// Settings of the node itself, which the policy does not use.
	MaxInFlight    int           // maximum number of requests without an answer; default: router.DefaultMaxInFlight
	ConnectTimeout time.Duration // timeout for connecting to a server

	// AnnounceFor is the time for which a node that shuts down is not ready but still serves as before. The default is
	// 0.6 of DrainTimeout. If DrainTimeout is nil too, the default is 0.6 of the longest class deadline (at most 3 s),
	// but at least 0.42 s.
	AnnounceFor *time.Duration
	// DrainTimeout limits the drain of a shutdown. The last connections close up to 0.15 s later. The default is the
	// longest class deadline (at most 3 s) plus 0.3 s, but 0.42 s to 0.57 s if that deadline is below 0.27 s. With the
	// default, a drain may last up to 0.3 s longer for connections that wait for their first response.
	DrainTimeout *time.Duration

	// OperationsListener is the listener of the operations endpoint; nil: no endpoint. The node closes the listener.
	OperationsListener net.Listener
	// SharedListener is true if other processes share the listening socket for clients. Those processes accept the
	// connections that this process does not accept.
	SharedListener bool

	// SharedDir is the directory through which the processes with a shared listener coordinate; empty: no coordination.
	SharedDir string
	// SetMemoryShare limits the process to a share of the node's memory; nil: no limit is possible.
	SetMemoryShare func(part float64)

	// Msgpack enables MessagePack-RPC in addition to HTTP; the zero value enables HTTP only.
	Msgpack Msgpack

	// AdminAPI says where the admin API listens; the zero value disables it.
	AdminAPI adminapi.Config
	// DrainMarkerFile is the path of the drain marker file, which exists during a requested drain. A restarted process
	// that finds the file drains again. If the path is empty, a restarted process serves.
	DrainMarkerFile string

	// State says where the node saves its learned state; the zero value disables saving.
	State StateConfig

	// Levels are the levels of reduced service; nil: service is never reduced.
	Levels *levels.Config

	// TLS is the TLS configuration of the node; nil: no connection uses TLS.
	TLS *TLS

	// WrapHandler returns a handler that converts clients' requests into the form that next expects. If WrapHandler
	// is nil, requests are not converted. Requests for the path ready must reach next unchanged.
	WrapHandler func(next http.Handler, ready string) http.Handler

	// NewEndpointSource returns the source of endpoints. The parameter own is the registry's source. If
	// NewEndpointSource is nil, the node uses the registry's source.
	NewEndpointSource func(own router.EndpointSource) (router.EndpointSource, error)
}

// Msgpack configures MessagePack-RPC with clients and with servers.
type Msgpack struct {
	Listener        net.Listener // listener for clients; nil: HTTP only; closed by the node
	MaxConns        int          // maximum number of client connections; default: defaultMsgpackConns
	MaxCallsPerConn int          // maximum number of calls in flight per connection; default: the frontend's
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
