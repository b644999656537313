package node

import "cobaltward/internal/operations"

const (
	minDescriptors      = 64  // minimum of a node: for itself, for clients and for servers
	reservedDescriptors = 24  // for the node itself: the log, discovery, the Go runtime and so on
	clientConnShare     = 0.4 // share of the rest for HTTP clients: a third of it for their requests, plus a reserve
	// msgpackConnDivisor limits the MessagePack-RPC connections, to clients and to servers, to a quarter of the available
	// connections, since each carries many calls.
	msgpackConnDivisor = 4
	// defaultMsgpackConns is the maximum number of MessagePack-RPC clients if the configuration contains none.
	defaultMsgpackConns = 64
)

// connLimits is the maximum number of connections of each kind, as the node's file descriptors allow.
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
