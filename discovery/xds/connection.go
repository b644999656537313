package xds

import (
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	maxResponseSize  = 64 << 20         // maximum size of a response, in bytes
	keepaliveTime    = 30 * time.Second // time without traffic after which a connection is pinged
	keepaliveTimeout = 10 * time.Second // timeout for the reply to a ping
)

// connections contains at most one connection per control plane, created at the first use. Only the goroutine of
// Source.Run uses connections.
type connections struct {
	servers []Server
	conns   []*grpc.ClientConn // connection to each server, by index; nil: not created yet
}

func newConnections(servers []Server) *connections {
	return &connections{servers: servers, conns: make([]*grpc.ClientConn, len(servers))}
}

// get returns the connection to the server with the given index, and creates the connection at the first use.
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

// preferred returns the connection to the first server, or nil if it could not be created.
func (c *connections) preferred() *grpc.ClientConn { return c.conns[0] }

// close closes all connections.
func (c *connections) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close() // no stream uses the connection anymore, so an error is harmless
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
