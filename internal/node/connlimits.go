package node

import "cobaltward/internal/operations"

const (
	// maxHeapShare is the maximum share of the node's memory for the Go runtime. The rest is for the pages of the
	// program, thread stacks and sockets.
	maxHeapShare = 0.6
	// programMemory is the memory for the pages of the program and its thread stacks, in bytes.
	programMemory = 14 << 20
	// minHeapShare is the share of the Go runtime in a node with less memory than the program needs.
	minHeapShare = 0.5
)

// HeapLimit returns the part of the node's memory that the Go runtime may use, in bytes.
func (c Config) HeapLimit() int64 {
	memory := c.MemoryMB << 20
	spare := max(memory-programMemory, int64(minHeapShare*float64(memory)))
	return min(int64(maxHeapShare*float64(memory)), spare)
}

const (
	minDescriptors      = 64  // minimum of Config.MaxDescriptors in a configuration file
	reservedDescriptors = 24  // descriptors for the log, discovery, the Go runtime and so on
	clientConnShare     = 0.4 // share of the other descriptors for HTTP clients; their requests need a third
	// msgpackConnDivisor limits MessagePack-RPC connections, to clients and to servers, to a quarter of the available
	// connections. Each such connection carries many calls.
	msgpackConnDivisor = 4
	// clientConnsPerMB limits HTTP clients by the memory. A connection needs up to 128 KiB for the head of a request, an
	// answer and the connection itself, so that half of the memory is enough for all of them.
	clientConnsPerMB = 4
	// tlsClientConnsPerMB replaces clientConnsPerMB with TLS, which buffers a record in each direction.
	tlsClientConnsPerMB = 3
	// minClientConns is the limit by the memory of the smallest nodes.
	minClientConns = 32
	// msgpackConnsPerMB limits MessagePack-RPC clients by the memory. A connection may hold a part of a message.
	msgpackConnsPerMB = 1
	// minMsgpackConns is the limit by the memory of the smallest nodes.
	minMsgpackConns = 4
	// msgpackCallShare is the maximum number of open calls of all MessagePack-RPC clients, as a share of the connections
	// of HTTP clients that fit into the memory. A call needs as much as such a connection.
	msgpackCallShare = 0.75
	// defaultMsgpackConns is the default maximum number of MessagePack-RPC client connections.
	defaultMsgpackConns = 64
)

// connLimits is the maximum number of connections of each kind, derived from the node's file descriptors.
type connLimits struct {
	clients        int // HTTP clients
	msgpackClients int
	msgpackCalls   int // open calls of all MessagePack-RPC clients
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
		byMemory := max(minMsgpackConns, int(msgpackConnsPerMB*c.MemoryMB))
		limits.msgpackClients = min(limits.msgpackClients, available/msgpackConnDivisor, byMemory)
		limits.msgpackCalls = int(msgpackCallShare * float64(c.maxClientConns()))
		available -= limits.msgpackClients
	}
	limits.clients = min(int(clientConnShare*float64(available)), c.maxClientConns())
	limits.servers = available - limits.clients
	return limits
}

// maxClientConns returns the maximum number of connections of HTTP clients that the node's memory allows.
func (c Config) maxClientConns() int {
	perMB := int64(clientConnsPerMB)
	if c.TLS != nil && c.TLS.Clients != nil {
		perMB = tlsClientConnsPerMB
	}
	return max(minClientConns, int(perMB*c.MemoryMB))
}
