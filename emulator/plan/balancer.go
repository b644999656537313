package plan

// Balancer distributes clients among the nodes of their zone in turn. It isn't safe for concurrent use.
type Balancer struct {
	next        map[string]int   // by zone; "" stands for all zones
	nodesByZone map[string][]int // likewise
	down        []bool
}

// NewBalancer returns a balancer for which all nodes are up.
func (p *Plan) NewBalancer() *Balancer {
	b := &Balancer{next: make(map[string]int), nodesByZone: make(map[string][]int), down: make([]bool, len(p.Nodes))}
	for i, node := range p.Nodes {
		b.nodesByZone[node.Zone] = append(b.nodesByZone[node.Zone], i)
		b.nodesByZone[""] = append(b.nodesByZone[""], i)
	}
	return b
}

// SetDown tells the balancer whether a node is down.
func (b *Balancer) SetDown(node int, down bool) { b.down[node] = down }

// Next returns the node for a client of a zone: one of the zone, else any; -1 if all nodes are down.
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
