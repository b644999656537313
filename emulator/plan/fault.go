package plan

import (
	"math/rand/v2"
	"slices"
	"time"

	"cobaltward/emulator/script"
)

// Fault is a fault of the script with the servers and nodes that the fault affects.
type Fault struct {
	*script.Fault
	Index   int   // index in Plan.Faults
	Servers []int // indices in Plan.Servers
	Nodes   []int // indices in Plan.Nodes
}

// ActiveAt reports whether the fault is active at the time at.
func (f *Fault) ActiveAt(at time.Duration) bool { return f.At <= at && at < f.End() }

// reservations holds the faults for which EndsProcess returns true, by server index.
type reservations map[int][]*script.Fault

// add records the servers that a fault affects. It ignores a fault for which EndsProcess returns false.
func (r reservations) add(fault *script.Fault, servers []int) {
	if !fault.EndsProcess() {
		return
	}
	for _, i := range servers {
		r[i] = append(r[i], fault)
	}
}

// conflicts reports whether fault.EndsProcess returns true and a reserved fault of the server overlaps fault.
func (r reservations) conflicts(fault *script.Fault, server int) bool {
	return fault.EndsProcess() && slices.ContainsFunc(r[server], func(other *script.Fault) bool {
		return fault.At < other.End() && other.At < fault.End()
	})
}

// drawFaults selects the servers and nodes that the faults affect. It reserves the servers named in the script before
// it draws random servers, so the draws can avoid the named servers.
func (p *Plan) drawFaults() error {
	faults, reserved := p.Script.Faults, make(reservations)
	p.Faults = make([]Fault, len(faults))
	for i := range faults {
		p.Faults[i] = p.namedTargets(i)
		reserved.add(&faults[i], p.Faults[i].Servers)
	}
	for i := range p.Faults {
		if err := p.drawTargets(&p.Faults[i], reserved); err != nil {
			return err
		}
		slices.Sort(p.Faults[i].Servers)
		slices.Sort(p.Faults[i].Nodes)
	}
	return nil
}

// namedTargets returns a fault with the servers and nodes that the script names for the fault.
func (p *Plan) namedTargets(index int) Fault {
	fault := Fault{Fault: &p.Script.Faults[index], Index: index}
	for _, name := range fault.Fault.Servers {
		server := slices.IndexFunc(p.Servers, func(s Server) bool { return s.ID == name })
		fault.Servers = append(fault.Servers, server)
	}
	for _, name := range fault.Fault.Nodes {
		node := slices.IndexFunc(p.Nodes, func(n Node) bool { return n.Name == name })
		fault.Nodes = append(fault.Nodes, node)
	}
	return fault
}

// drawTargets selects random servers or nodes for a fault that has a count or a share.
func (p *Plan) drawTargets(fault *Fault, reserved reservations) error {
	if len(fault.Servers)+len(fault.Nodes) > 0 || fault.Count == 0 && fault.Share == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(p.Seed, streamFaults<<32|uint64(fault.Index)))
	if fault.Kind == script.FaultNodeCrash || fault.Kind == script.FaultHotNode {
		count := targetCount(fault.Fault, len(p.Nodes))
		if count > len(p.Nodes) {
			return p.Script.Errorf(fault.Fault, "wants %d nodes, there are %d", count, len(p.Nodes))
		}
		fault.Nodes = rng.Perm(len(p.Nodes))[:count]
		return nil
	}
	var candidates []int
	for i := range p.Servers {
		server := &p.Servers[i]
		if (fault.Zone == "" || server.Zone == fault.Zone) && (fault.ServerKind == "" || server.Kind == fault.ServerKind) {
			candidates = append(candidates, i)
		}
	}
	count := targetCount(fault.Fault, len(candidates))
	candidates = slices.DeleteFunc(candidates, func(i int) bool { return reserved.conflicts(fault.Fault, i) })
	if count > len(candidates) {
		return p.Script.Errorf(fault.Fault, "wants %d servers, %d are not ended or drained by another fault at that time",
			count, len(candidates))
	}
	rng.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	fault.Servers = candidates[:count]
	reserved.add(fault.Fault, fault.Servers)
	return nil
}

// targetCount returns the number of servers or nodes that a fault affects. all is the number of candidates.
func targetCount(fault *script.Fault, all int) int {
	if fault.Count > 0 {
		return fault.Count
	}
	return max(1, int(fault.Share*float64(all)))
}
