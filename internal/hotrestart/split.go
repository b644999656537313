// Package hotrestart decides what each of two processes may use while they are one node, because one is replacing the
// other under load: its share of the traffic, of the memory and of the connections, and whether the node is in
// standby. It does no I/O and reads no clock; package rundir carries the messages.
package hotrestart

// Limits bounds the connections of a node, or of one process of it.
type Limits struct {
	ClientConns, ServerConns int
}

// Share is what one process may use of its node.
type Share struct {
	Traffic float64 // of the tenants' rate limits, 0 to 1
	Memory  float64 // of the node's memory, 0 to 1
	Limits
}

const (
	smoothing       = 0.5  // weight of the newest look at who accepts how much
	minTrafficShare = 0.1  // so that a process can answer the first clients that reach it
	minConnShare    = 0.25 // of the connections: the other process gives its own up as their clients leave
)

// Splitter follows the processes of one node. The zero value is that of a process that is alone.
type Splitter struct {
	traffic      float64           // smoothed share of the requests; 0: no look has been taken
	lastAccepted map[string]uint64 // by process, as of the last look
	ownAccepted  uint64
}

// Split returns this process's share. others are the newest reports of the other processes that serve, by name.
func (s *Splitter) Split(own Report, others map[string]Report, node Limits) Share {
	ownRequests := own.Accepted - s.ownAccepted
	s.ownAccepted = own.Accepted
	if len(others) == 0 {
		s.traffic, s.lastAccepted = 1, nil
		return Share{Traffic: 1, Memory: 1, Limits: node}
	}
	evenShare := 1 / float64(1+len(others))
	otherRequests, allKnown := s.requestsOf(others)
	switch {
	case !allKnown:
		if s.traffic == 0 || s.traffic == 1 {
			s.traffic = evenShare
		}
	case ownRequests+otherRequests > 0:
		share := float64(ownRequests) / float64(ownRequests+otherRequests)
		s.traffic += smoothing * (share - s.traffic)
	}
	return Share{
		Traffic: max(minTrafficShare, s.traffic),
		Memory:  evenShare,
		Limits:  remainingConns(others, node),
	}
}

// requestsOf returns how many requests the other processes have accepted since the last look, and whether each of them
// was there then.
func (s *Splitter) requestsOf(others map[string]Report) (requests uint64, allKnown bool) {
	accepted := make(map[string]uint64, len(others))
	allKnown = true
	for name, report := range others {
		last, known := s.lastAccepted[name]
		allKnown = allKnown && known
		if known && report.Accepted > last {
			requests += report.Accepted - last
		}
		accepted[name] = report.Accepted
	}
	s.lastAccepted = accepted
	return requests, allKnown
}

// remainingConns returns the connections that the other processes leave, or a minimum where they leave fewer.
func remainingConns(others map[string]Report, node Limits) Limits {
	remaining := node
	for _, report := range others {
		remaining.ClientConns -= report.ClientConns
		remaining.ServerConns -= report.ServerConns
	}
	return Limits{
		ClientConns: max(int(minConnShare*float64(node.ClientConns)), remaining.ClientConns),
		ServerConns: max(int(minConnShare*float64(node.ServerConns)), remaining.ServerConns),
	}
}
