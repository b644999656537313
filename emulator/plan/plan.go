// Package plan makes the random choices for a script: the speed of each server, the servers that a fault affects, and
// the arrival and the work of each request. The same script and seed give the same plan in virtual and in real time.
package plan

import (
	"math"
	"math/rand/v2"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// Each subject has its own stream of random numbers. A change in the draws for one subject then doesn't affect the
// draws for other subjects.
const (
	streamServers = iota + 1
	streamFaults
	streamTraffic
	streamDelays
)

// cellSize is the number of servers in a cell.
const cellSize = 6

// Plan is a script with all random choices made. It is read-only and safe for concurrent use.
type Plan struct {
	Script  *script.Script
	Seed    uint64
	Servers []Server
	Nodes   []Node
	Faults  []Fault
	// Settings are the settings of all nodes, without the node's index and zone.
	Settings policy.Settings

	work map[string]model.Work // work of each class, by name
}

// Server is the configuration of one server at the start of a run.
type Server struct {
	ID            string
	Zone          string
	Kind          string
	Cell          int64
	Weight        float64
	Config        model.Config
	ErrorRate     float64
	SpeaksMsgpack bool // true if the server uses MessagePack-RPC; real time only
}

// Node describes one instance of the router.
type Node struct {
	Name           string
	Zone           string
	DiscoveryDelay time.Duration // time until a change of the endpoint list reaches the node
}

// New returns the plan of a script. Seed 0 selects the seed in the script.
func New(source *script.Script, seed uint64) (*Plan, error) {
	if seed == 0 {
		seed = source.Seed
	}
	p := &Plan{Script: source, Seed: seed, work: make(map[string]model.Work)}
	p.drawServers()
	p.drawNodes()
	for i := range source.Classes {
		p.work[source.Classes[i].Name] = classWork(&source.Classes[i])
	}
	p.Settings = commonSettings(source)
	if err := p.drawFaults(); err != nil {
		return nil, err
	}
	return p, nil
}

func classWork(class *script.Class) model.Work {
	distributions := map[string]model.Dist{
		"fixed": model.Fixed, "exponential": model.Exponential,
		"lognormal": model.Lognormal, "pareto": model.Pareto,
	}
	return model.Work{Dist: distributions[class.Dist], Mean: class.Work.Seconds(), CV: class.CV}
}

// random returns a random number generator at the start of a stream.
func (p *Plan) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func (p *Plan) drawServers() {
	rng := p.random(streamServers)
	names := p.Script.ServerNames()
	inZone := make(map[string]int64)
	cells := make(map[string]int64)
	for i := range p.Script.ServerKinds {
		kind := &p.Script.ServerKinds[i]
		for _, zone := range apportion(kind.Count, p.Script.Network.Zones, kind.Zones) {
			if inZone[zone]%cellSize == 0 {
				cells[zone] = int64(len(cells)*1000) + inZone[zone]/cellSize
			}
			inZone[zone]++
			p.Servers = append(p.Servers, Server{
				ID: names[len(p.Servers)], Zone: zone, Kind: kind.Name, Cell: cells[zone], Weight: float64(kind.Cores),
				Config: drawConfig(rng, kind, &p.Script.Rules), ErrorRate: kind.ErrorRate,
				SpeaksMsgpack: kind.Protocol == "msgpack",
			})
		}
	}
}

// drawConfig draws the configuration of a server. Another order of the random draws would give another configuration
// for the same seed.
func drawConfig(rng *rand.Rand, kind *script.ServerKind, rules *script.Rules) model.Config {
	cores := float64(kind.Cores)
	speed := kind.Speed.Interpolate(rng.Float64())
	slots := int(math.Round(kind.Slots.Interpolate(rng.Float64()) * cores))
	queue := int(math.Round(kind.Queue.Interpolate(rng.Float64()) * cores))
	initialCapacity := kind.InitialCapacity.Interpolate(rng.Float64())
	cancels := map[string]model.Cancel{
		"nothing": model.CancelIgnored, "waiting": model.CancelQueued, "all": model.CancelAll,
	}
	return model.Config{
		Cores: kind.Cores, Speed: speed, Slots: max(1, slots), Queue: queue,
		ThrashFactor: kind.ThrashFactor, ThrashThreshold: kind.ThrashThreshold,
		WarmUp: model.WarmUp{
			InitialCapacity: initialCapacity, Duration: kind.WarmUpDuration, ByWork: kind.WarmUpBy == "work",
			OverloadFactor: rules.OverloadFactor, OverloadWindow: rules.OverloadDuration,
		},
		Pause:  model.Pause{Interval: kind.PauseInterval, Duration: kind.PauseDuration, Growth: kind.PauseGrowth},
		Cancel: cancels[kind.Cancel], DropExpired: kind.DropExpired,
		ConnSetupWork: kind.ConnSetupWork.Seconds(), MaxConns: kind.MaxConnsPerCore * kind.Cores,
		ConnOverhead: kind.ConnOverhead,
	}
}

// apportion distributes n items among zones in proportion to the zones' weights. It returns the zone of each item,
// with the zones interleaved evenly.
func apportion(n int, zones []string, weights map[string]float64) []string {
	counts := make([]float64, len(zones))
	all := make([]string, 0, n)
	for range n {
		best := -1
		for i, zone := range zones {
			w := weight(weights, zone)
			if w > 0 && (best < 0 || (counts[i]+1)/w < (counts[best]+1)/weight(weights, zones[best])) {
				best = i
			}
		}
		counts[best]++
		all = append(all, zones[best])
	}
	return all
}

// weight returns the weight of a zone. Without weights, every zone has the weight 1.
func weight(weights map[string]float64, zone string) float64 {
	if len(weights) == 0 {
		return 1
	}
	return weights[zone]
}

func (p *Plan) drawNodes() {
	rng, discovery := p.random(streamDelays), &p.Script.Discovery
	zones := apportion(p.Script.Nodes.Count, p.Script.Network.Zones, nil)
	for i, name := range p.Script.NodeNames() {
		p.Nodes = append(p.Nodes, Node{
			Name: name, Zone: zones[i],
			DiscoveryDelay: discovery.Delay + time.Duration(rng.Float64()*float64(discovery.Spread)),
		})
	}
}
