package multiprocess

import (
	"slices"
	"time"
)

// linkFault describes the effect of a fault on the messages of a link.
type linkFault struct {
	loseRequests, loseResponses bool
	lossRate, duplicateRate     float64
	meanDelay                   time.Duration
	stall, reset                bool
	flapInterval                time.Duration // all messages are lost in every other interval of this length
}

// messageFaults are the faults that affect one message.
type messageFaults struct {
	reset, stall              bool
	loseRequest, loseResponse bool
	duplicate                 bool
	delay, duplicateDelay     time.Duration
}

// combine returns the combined effect of f and other. elapsed is the elapsed time of the run. It determines whether a
// flapping link currently loses messages.
func (f linkFault) combine(other linkFault, elapsed time.Duration) linkFault {
	flapped := other.flapInterval > 0 && (elapsed/other.flapInterval)%2 == 0
	return linkFault{
		loseRequests:  f.loseRequests || other.loseRequests || flapped,
		loseResponses: f.loseResponses || other.loseResponses || flapped,
		lossRate:      max(f.lossRate, other.lossRate),
		duplicateRate: max(f.duplicateRate, other.duplicateRate),
		meanDelay:     max(f.meanDelay, other.meanDelay),
		stall:         f.stall || other.stall,
		reset:         f.reset || other.reset,
	}
}

// drawMessageFaults draws which of the active faults affect one message.
func (p *proxy) drawMessageFaults() messageFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	var combined linkFault
	for _, fault := range p.faults {
		combined = combined.combine(fault, p.harness.elapsed())
	}
	faults := messageFaults{reset: combined.reset, stall: combined.stall}
	faults.loseRequest = p.rand.Float64() < combined.lossRate || combined.loseRequests
	faults.loseResponse = p.rand.Float64() < combined.lossRate || combined.loseResponses
	faults.duplicate = p.rand.Float64() < combined.duplicateRate
	faults.delay = min(time.Duration(p.rand.ExpFloat64()*float64(combined.meanDelay)), maxDelay)
	faults.duplicateDelay = time.Duration(p.rand.Float64() * float64(maxDuplicateDelay))
	return faults
}

func (p *proxy) setFault(index int, fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[index] = fault
}

func (p *proxy) liftFault(index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.faults, index)
}

// InjectLinkFault injects a fault into the links between the fault's targets and peers. The fault stays until
// LiftLinkFault is called with the same index. A fault without peers affects the links to all other processes.
func (h *Harness) InjectLinkFault(index int, fault Fault) {
	peers := fault.Peers
	if len(peers) == 0 {
		for _, name := range h.script.Names() {
			if !slices.Contains(fault.Targets, name) {
				peers = append(peers, name)
			}
		}
	}
	for ends, proxy := range h.proxies {
		outbound := slices.Contains(fault.Targets, ends.from) && slices.Contains(peers, ends.to)
		inbound := slices.Contains(fault.Targets, ends.to) && slices.Contains(peers, ends.from)
		if outbound || inbound {
			proxy.setFault(index, fault.onLink(outbound, inbound))
		}
	}
}

// LiftLinkFault lifts the fault with the given index from all links.
func (h *Harness) LiftLinkFault(index int) {
	for _, proxy := range h.proxies {
		proxy.liftFault(index)
	}
}

// onLink returns the effect of the fault on a link. outbound means that the link leads from a target to a peer,
// inbound that it leads from a peer to a target.
func (f Fault) onLink(outbound, inbound bool) linkFault {
	seconds := time.Duration(f.Value * float64(time.Second))
	switch f.Kind {
	case FaultPartition:
		return linkFault{loseRequests: true, loseResponses: true}
	case FaultAsymmetricPartition: // only messages sent by targets are lost
		return linkFault{loseRequests: outbound, loseResponses: inbound}
	case FaultResponseLoss:
		return linkFault{loseResponses: true}
	case FaultLoss:
		return linkFault{lossRate: f.Value}
	case FaultDuplicates:
		return linkFault{duplicateRate: f.Value}
	case FaultDelay:
		return linkFault{meanDelay: seconds}
	case FaultStall:
		return linkFault{stall: true}
	case FaultReset:
		return linkFault{reset: true}
	case FaultFlapping:
		return linkFault{flapInterval: seconds}
	}
	return linkFault{}
}
