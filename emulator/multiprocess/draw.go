package multiprocess

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// faultDrawer draws the faults of a script.
type faultDrawer struct {
	rand               *rand.Rand
	all, replicas      []string
	agents             []string
	replicaDiskWasLost bool // true once a replica lost its disk; a cluster of three tolerates only one
}

// Draw returns a script with random faults of several kinds. The same arguments always give the same script.
func Draw(seed uint64, replicas, nodes int, length time.Duration) *Script {
	random := rand.New(rand.NewPCG(seed, 0x77a7))
	script := &Script{
		Title: fmt.Sprintf("drawn from seed %d", seed), Seed: seed, Replicas: replicas, Nodes: nodes,
		Lease: time.Second, Tick: 25 * time.Millisecond, Length: length,
		MaxUnavailable: 1 + random.IntN(2), MinCapacity: float64(nodes / 2),
	}
	drawer := &faultDrawer{
		rand: random, all: script.Names(), replicas: script.replicaNames(), agents: script.nodeNames(),
	}
	at := drawer.seconds(0.5, 3)
	for at < length-2*time.Second {
		fault := Fault{At: at, Duration: drawer.seconds(0.5, 6)}
		drawer.drawKind(&fault)
		fault.Value = math.Round(fault.Value*1000) / 1000
		script.Faults = append(script.Faults, fault)
		at += drawer.seconds(0.3, 2.5)
	}
	return script
}

// drawKind draws the kind of a fault, its targets and its parameters.
func (d *faultDrawer) drawKind(fault *Fault) {
	switch kind := d.rand.IntN(14); kind {
	case 9:
		d.drawReplicaKill(fault)
	case 10, 11:
		fault.Kind, fault.Targets = FaultKill, d.pick(d.agents, 2)
		fault.Disk = []string{diskSame, diskSame, diskOlder}[d.rand.IntN(3)]
	case 12:
		fault.Kind, fault.Targets, fault.Duration = FaultPause, d.pick(d.all, 2), d.seconds(0.3, 8)
	case 13:
		d.drawClockOrDisk(fault)
	default:
		d.drawLinkFault(kind, fault)
	}
}

func (d *faultDrawer) drawLinkFault(kind int, fault *Fault) {
	switch kind {
	case 0:
		fault.Kind, fault.Targets = FaultPartition, d.pick(d.replicas, 2)
	case 1:
		fault.Kind, fault.Targets, fault.Peers = FaultPartition, d.pick(d.all, 2), d.pick(d.all, 3)
	case 2:
		fault.Kind, fault.Targets, fault.Peers = FaultAsymmetricPartition, d.pick(d.replicas, 1), d.pick(d.all, len(d.all))
	case 3:
		fault.Kind, fault.Targets = FaultResponseLoss, d.pick(d.agents, 2)
	case 4:
		fault.Kind, fault.Targets, fault.Value = FaultLoss, d.pick(d.all, len(d.all)), 0.05+0.35*d.rand.Float64()
	case 5:
		fault.Kind, fault.Targets, fault.Value = FaultDelay, d.pick(d.all, len(d.all)), 0.02+0.4*d.rand.Float64()
	case 6:
		fault.Kind, fault.Targets, fault.Value = FaultDuplicates, d.pick(d.all, len(d.all)), 0.1+0.5*d.rand.Float64()
	case 7:
		fault.Kind, fault.Targets = []string{FaultStall, FaultReset}[d.rand.IntN(2)], d.pick(d.all, 2)
	case 8:
		fault.Kind, fault.Targets, fault.Value = FaultFlapping, d.pick(d.all, 2), 0.1+0.6*d.rand.Float64()
	}
}

// drawReplicaKill draws a kill of replicas. In each script at most one replica loses its disk.
func (d *faultDrawer) drawReplicaKill(fault *Fault) {
	fault.Kind, fault.Targets = FaultKill, d.pick(d.replicas, 2)
	fault.Disk = []string{diskSame, diskSame, diskTorn, diskLost}[d.rand.IntN(4)]
	if fault.Disk != diskLost {
		return
	}
	fault.Targets = fault.Targets[:1]
	if d.replicaDiskWasLost || len(d.replicas) < 3 {
		fault.Disk = diskSame
	}
	d.replicaDiskWasLost = true
}

func (d *faultDrawer) drawClockOrDisk(fault *Fault) {
	switch d.rand.IntN(3) {
	case 0:
		fault.Kind, fault.Targets = FaultClockJump, d.pick(d.all, 1)
	case 1:
		fault.Kind, fault.Targets = FaultClockRate, d.pick(d.all, 1)
	case 2:
		fault.Kind, fault.Targets = FaultDisk, d.pick(d.replicas, 1)
	}
}

// pick draws at least one and at most limit names from a list, and sorts them.
func (d *faultDrawer) pick(from []string, limit int) []string {
	count := 1 + d.rand.IntN(min(limit, len(from)))
	var picked []string
	for _, i := range d.rand.Perm(len(from))[:count] {
		picked = append(picked, from[i])
	}
	slices.Sort(picked)
	return picked
}

// seconds draws a duration between lo and hi seconds, rounded to milliseconds.
func (d *faultDrawer) seconds(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*d.rand.Float64()) * float64(time.Second)).Round(time.Millisecond)
}

// Shrink removes faults from a failing script, one at a time. It keeps each removal after which the script still
// fails.
func Shrink(script *Script, fails func(*Script) bool) *Script {
	for i := len(script.Faults) - 1; i >= 0; i-- {
		shorter := *script
		shorter.Faults = slices.Delete(slices.Clone(script.Faults), i, i+1)
		if fails(&shorter) {
			script = &shorter
		}
	}
	return script
}
