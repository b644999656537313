package node

import "cobaltward/internal/operations"

const (
	minDescriptors      = 64  // of a node: some for itself, and some for each side
	reservedDescriptors = 24  // for the log, discovery, the runtime and the like
	clientConnShare     = 0.4 // of the rest, for HTTP clients: a third for their requests, plus a reserve
	// msgpackConnDivisor bounds the MessagePack-RPC connections of either side by a part of the connections, since
	// each carries many calls.
	msgpackConnDivisor = 4
	// defaultMsgpackConns is the number of MessagePack-RPC clients where the configuration names none.
	defaultMsgpackConns = 64
)

// connLimits divides the node's file descriptors among its connections.
type connLimits struct {
	clients        int // over HTTP
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
