package plan

// Balancer is the load balancer in front of the nodes. It distributes clients round-robin among the nodes of a
// client's zone. It isn't safe for concurrent use.
type Balancer struct {
	next        map[string]int   // round-robin position by zone; the key "" stands for all zones
	nodesByZone map[string][]int // node indices by zone; the key "" stands for all zones
	down        []bool
}

// NewBalancer returns a balancer that treats all nodes as up.
func (p *Plan) NewBalancer() *Balancer {
	b := &Balancer{next: make(map[string]int), nodesByZone: make(map[string][]int), down: make([]bool, len(p.Nodes))}
	for i, node := range p.Nodes {
		b.nodesByZone[node.Zone] = append(b.nodesByZone[node.Zone], i)
		b.nodesByZone[""] = append(b.nodesByZone[""], i)
	}
	return b
}

// SetDown sets whether the balancer avoids a node because the node is down.
func (b *Balancer) SetDown(node int, down bool) { b.down[node] = down }

// Next returns the index of the node for a client of a zone. If all nodes of the zone are down, Next chooses a node
// of any zone. It returns -1 if all nodes are down.
func (b *Balancer) Next(zone string) int {
	for _, z := range []string{zone, ""} {
		for range b.nodesByZone[z] {
			b.next[z]++
			if node := b.nodesByZone[z][b.next[z]%len(b.nodesByZone[z])]; !b.down[node] {
				return node
			}
		}
	}
	return -1
}
