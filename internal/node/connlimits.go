package node

import "cobaltward/internal/operations"

const (
	minDescriptors      = 64  // minimum of Config.MaxDescriptors in a configuration file
	reservedDescriptors = 24  // descriptors for the log, discovery, the Go runtime and so on
	clientConnShare     = 0.4 // share of the other descriptors for HTTP clients; their requests need a third
	// msgpackConnDivisor limits MessagePack-RPC connections, to clients and to servers, to a quarter of the available
	// connections. Each such connection carries many calls.
	msgpackConnDivisor = 4
	// defaultMsgpackConns is the default maximum number of MessagePack-RPC client connections.
	defaultMsgpackConns = 64
)

// connLimits is the maximum number of connections of each kind, derived from the node's file descriptors.
type connLimits struct {
	clients        int // HTTP clients
	msgpackClients int
	servers        int
}

func (c Config) connLimits() connLimits {
	available := c.MaxDescriptors - reservedDescriptors
	if c.OperationsListener != nil {
		available -= operations.MaxDescriptors
	}
	var limits connLimits
	if c.Msgpack.Listener != nil {
		limits.msgpackClients = c.Msgpack.MaxConns
		if limits.msgpackClients == 0 {
			limits.msgpackClients = defaultMsgpackConns
		}
		limits.msgpackClients = min(limits.msgpackClients, available/msgpackConnDivisor)
		available -= limits.msgpackClients
	}
	limits.clients = int(clientConnShare * float64(available))
	limits.servers = available - limits.clients
	return limits
}
