// Package hotrestart divides a node between two processes while one replaces the other under load. It determines
// which share of the traffic, the memory and the connections each process may use. It also determines which command
// to enter or leave standby takes effect. The package does no I/O and reads no clock; package rundir exchanges the
// messages.
package hotrestart

// Limits is the maximum number of connections of a node or of one of its processes.
type Limits struct {
	ClientConns, ServerConns int
}

// Share is the part of its node that a process may use.
type Share struct {
	Traffic float64 // share of the tenants' rate limits, 0 to 1
	Memory  float64 // share of the node's memory, 0 to 1
	Limits
}

const (
	smoothingWeight = 0.5  // weight of the newest reports in the smoothed share of traffic
	minTrafficShare = 0.1  // minimum share of traffic, for the first clients of a process
	minConnShare    = 0.25 // minimum share of connections; the other process frees more as its clients leave
)

// Splitter calculates the share of one process from the reports of all processes of its node. The zero value is ready
// for use.
type Splitter struct {
	traffic      float64           // smoothed share of the requests; 0 before the first call of Split
	lastAccepted map[string]uint64 // requests accepted by each other process at the previous Split
	ownAccepted  uint64
}

// Split returns this process's share of the node. own is the latest report of this process. others contains the
// latest report of each other running process, by process name.
func (s *Splitter) Split(own Report, others map[string]Report, node Limits) Share {
	ownRequests := own.Accepted - s.ownAccepted
	s.ownAccepted = own.Accepted
	if len(others) == 0 {
		s.traffic, s.lastAccepted = 1, nil
		return Share{Traffic: 1, Memory: 1, Limits: node}
	}
	evenShare := 1 / float64(1+len(others))
	otherRequests, allKnown := s.countNewRequests(others)
	switch {
	case !allKnown:
		if s.traffic == 0 || s.traffic == 1 {
			s.traffic = evenShare
		}
	case ownRequests+otherRequests > 0:
		share := float64(ownRequests) / float64(ownRequests+otherRequests)
		s.traffic += smoothingWeight * (share - s.traffic)
	}
	return Share{
		Traffic: max(minTrafficShare, s.traffic),
		Memory:  evenShare,
		Limits:  remainingConns(others, node),
	}
}

// countNewRequests returns how many requests the other processes have accepted since the previous call. allKnown
// reports whether the previous call included all of these processes.
func (s *Splitter) countNewRequests(others map[string]Report) (requests uint64, allKnown bool) {
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

// remainingConns returns the connections of node that the other processes do not use, but at least the share
// minConnShare of node.
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
