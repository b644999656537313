package sim

import (
	"fmt"
	"slices"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// scheduleFault schedules the start and the end of a fault.
func (sim *simulation) scheduleFault(fault *plan.Fault) {
	sim.events.push(fault.At, func() { sim.startFault(fault) })
	sim.events.push(fault.End(), func() { sim.endFault(fault) })
}

func (sim *simulation) startFault(fault *plan.Fault) {
	for _, i := range fault.Servers {
		sim.servers[i].startFault(fault)
	}
	switch fault.Kind {
	case script.FaultDiscoveryDown:
		sim.discoveryFaults++
	case script.FaultListLate:
		sim.listDelays = append(sim.listDelays, fault.Delay)
	case script.FaultZoneCut:
		sim.cutZones[fault.Zone]++
	case script.FaultNodeCrash:
		for _, i := range fault.Nodes {
			sim.nodes[i].crash(fault)
		}
	}
}

func (s *server) startFault(fault *plan.Fault) {
	switch fault.Kind {
	case script.FaultCrash, script.FaultReplaced:
		s.crash()
		s.announce(policy.Removed)
	case script.FaultDrain:
		s.announce(policy.Draining)
	case script.FaultListWrong:
		s.announce(policy.Removed)
	case script.FaultSilent:
		s.startSilence(fault)
	default:
		s.faults = append(s.faults, fault)
	}
}

func (sim *simulation) endFault(fault *plan.Fault) {
	for _, i := range fault.Servers {
		sim.endServerFault(fault, i)
	}
	switch fault.Kind {
	case script.FaultDiscoveryDown:
		if sim.discoveryFaults--; sim.discoveryFaults == 0 {
			for _, n := range sim.nodes {
				n.applyUpdates()
			}
		}
	case script.FaultListLate:
		i := slices.Index(sim.listDelays, fault.Delay)
		sim.listDelays = slices.Delete(sim.listDelays, i, i+1)
	case script.FaultZoneCut:
		if sim.cutZones[fault.Zone]--; sim.cutZones[fault.Zone] == 0 {
			sim.resetStuck()
		}
	case script.FaultNodeCrash:
		for _, i := range fault.Nodes {
			if err := sim.nodes[i].restart(); err != nil {
				sim.err = fmt.Errorf("restart node %s: %w", sim.nodes[i].spec.Name, err)
			}
		}
	}
}

// endServerFault ends a fault at the server with the given index.
func (sim *simulation) endServerFault(fault *plan.Fault, index int) {
	target := sim.servers[index]
	switch fault.Kind {
	case script.FaultCrash:
		target.restart()
	case script.FaultReplaced:
		sim.servers[index] = sim.addServer(target.spec, target.id+replacementSuffix, index, false)
		sim.servers[index].announce(policy.Running)
	case script.FaultDrain:
		target.crash()
		target.restart()
	case script.FaultListWrong:
		target.announce(policy.Running)
	case script.FaultSilent:
		target.endSilence(fault)
	default:
		target.faults = slices.DeleteFunc(target.faults, func(active *plan.Fault) bool { return active == fault })
	}
}

// resetStuck resets, at all nodes, the connections of stuck attempts that no fault blocks any longer.
func (sim *simulation) resetStuck() {
	for _, n := range sim.nodes {
		n.resetStuck()
	}
}

// startSilence disconnects the machine from the network. If there is a silence timeout and the fault lasts longer,
// discovery removes the server from the endpoint list after the timeout.
func (s *server) startSilence(fault *plan.Fault) {
	s.silentFaults = append(s.silentFaults, fault)
	if timeout := s.sim.plan.Script.Discovery.SilenceTimeout; timeout > 0 && timeout < fault.Duration {
		s.sim.after(timeout, func() { s.detectedSilences++; s.announce(policy.Removed) })
	}
}

func (s *server) endSilence(fault *plan.Fault) {
	if i := slices.Index(s.silentFaults, fault); i >= 0 {
		s.silentFaults = slices.Delete(s.silentFaults, i, i+1)
	}
	if len(s.silentFaults) == 0 {
		s.sim.resetStuck()
	}
	if s.detectedSilences > 0 {
		if s.detectedSilences--; s.detectedSilences == 0 && s.process != nil {
			s.announce(policy.Running)
		}
	}
}
