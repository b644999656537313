package xds

import (
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	maxResponseSize  = 64 << 20         // bytes of one response
	keepaliveTime    = 30 * time.Second // of silence, after which a connection is pinged
	keepaliveTimeout = 10 * time.Second // for the answer to a ping
)

// connections holds at most one connection to each control plane, created when it is first needed. Only the goroutine
// of Source.Run uses it.
type connections struct {
	servers []Server
	conns   []*grpc.ClientConn // by index of the server; nil: none yet
}

func newConnections(servers []Server) *connections {
	return &connections{servers: servers, conns: make([]*grpc.ClientConn, len(servers))}
}

// get is the connection to a server.
func (c *connections) get(index int) (*grpc.ClientConn, error) {
	if c.conns[index] == nil {
		conn, err := dial(c.servers[index])
		if err != nil {
			return nil, fmt.Errorf("create a client connection: %w", err)
		}
		c.conns[index] = conn
	}
	return c.conns[index], nil
}

// preferred is the connection to the first server, or nil where it could not be created.
func (c *connections) preferred() *grpc.ClientConn { return c.conns[0] }

// close ends all connections.
func (c *connections) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close() // no longer in use
		}
	}
}

func dial(server Server) (*grpc.ClientConn, error) {
	creds := server.TLS
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+server.Addr, grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}))
}
