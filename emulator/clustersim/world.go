package clustersim

import (
	"crypto/rand"
	"fmt"
	mrand "math/rand/v2"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
)

// simulation is the state of one simulated schedule. A single goroutine runs the whole simulation.
type simulation struct {
	cfg         Config
	rand        *mrand.Rand
	now         time.Duration
	events      eventQueue
	eventSeq    uint64
	lastRequest uint64 // counter for the IDs of proposals and reads
	result      Result

	replicas, agents        []*process
	nodes                   []*node
	blockedLinks            map[[2]int]int // number of faults that block a link, by indexes of sender and receiver
	lossRate, duplicateRate float64
	extraDelay              time.Duration

	appliedHashes  map[fleet.Position]uint64 // hash of the first entry applied at each position
	maxUnavailable int
	highestToken   fleet.FencingToken
	tokens         map[fleet.FencingToken]bool
	updateCount    int
	updateID       string
	rolloutCount   int
}

// randReader replaces the reader of crypto/rand. With this reader, the random choices of raft depend on the seed.
type randReader struct{ source *mrand.ChaCha8 }

// Read fills p with random bytes; it never fails.
func (r randReader) Read(p []byte) (int, error) { return r.source.Read(p) }

// Run simulates one schedule. During the run it replaces crypto/rand's process-wide reader, from which raft draws.
// A process must not run two simulations at the same time.
func Run(cfg Config) (result Result) {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(cfg.Seed >> (8 * i))
	}
	old := rand.Reader
	rand.Reader = randReader{mrand.NewChaCha8(key)}
	defer func() { rand.Reader = old }()
	sim := &simulation{
		cfg:            cfg,
		rand:           mrand.New(mrand.NewPCG(cfg.Seed, 0xf1ee7)),
		blockedLinks:   make(map[[2]int]int),
		appliedHashes:  make(map[fleet.Position]uint64),
		maxUnavailable: 1,
		tokens:         make(map[fleet.FencingToken]bool),
	}
	defer func() {
		if cause := recover(); cause != nil { // raft panics if its own invariants are broken
			sim.fail("a replica panicked: %v", cause)
		}
		sim.result.Tokens = len(sim.tokens)
		result = sim.result
	}()
	sim.createProcesses()
	sim.startProcesses()
	sim.scheduleFaults()
	sim.runEvents()
	return sim.result
}

// fail records a broken invariant, which ends the simulation.
func (s *simulation) fail(format string, args ...any) {
	violation := fmt.Sprintf("seed %d at %v: %s", s.cfg.Seed, s.now, fmt.Sprintf(format, args...))
	s.result.Violations = append(s.result.Violations, violation)
}

func (s *simulation) trace(format string, args ...any) {
	if s.cfg.Trace != nil {
		s.cfg.Trace(fmt.Sprintf("%10v %s", s.now.Round(ms), fmt.Sprintf(format, args...)))
	}
}

// randomBetween draws a duration between lo and hi.
func (s *simulation) randomBetween(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rand.Float64()*float64(hi-lo))
}

// randomExp draws an exponentially distributed duration with the given mean.
func (s *simulation) randomExp(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

func (s *simulation) createProcesses() {
	for i := range s.cfg.Replicas + s.cfg.Nodes {
		p := &process{sim: s, index: i, clockRate: s.drawClockRate()}
		if i < s.cfg.Replicas {
			p.name = fmt.Sprintf("c%d", i+1)
			s.replicas = append(s.replicas, p)
			continue
		}
		p.name = fmt.Sprintf("n%d", i-s.cfg.Replicas+1)
		p.node = &node{name: p.name, patches: make(map[string]int)}
		s.nodes = append(s.nodes, p.node)
		s.agents = append(s.agents, p)
	}
}

// drawClockRate draws a rate within the drift that leases tolerate. With Config.ClockJumps the rate may exceed the
// drift.
func (s *simulation) drawClockRate() float64 {
	if !s.cfg.ClockJumps {
		return 1 - lease.MaxClockDrift/2 + lease.MaxClockDrift*s.rand.Float64()
	}
	if s.rand.Float64() < 0.3 {
		return 0.5 + 1.5*s.rand.Float64()
	}
	return 1
}

// startProcesses starts all processes. The replicas start with a snapshot that contains all replicas as voters and
// all nodes.
func (s *simulation) startProcesses() {
	members := make(map[uint64]fleet.Member)
	var voters []uint64
	for i, p := range s.replicas {
		id := uint64(i + 1)
		members[id] = fleet.Member{ID: id, Name: p.name, Address: p.name, SupportedFormat: fleet.FormatVersion}
		voters = append(voters, id)
	}
	state := fleet.NewState(1).WithMembers(1, members)
	state.Nodes = make(map[string]fleet.Node)
	for i, p := range s.agents {
		candidate := i < s.cfg.LeaseCandidates
		state.Nodes[p.name] = fleet.Node{Name: p.name, Address: p.name, Capacity: 1, LeaseCandidate: candidate}
	}
	snapshot := &pb.Snapshot{Data: state.Marshal(), Metadata: &pb.SnapshotMetadata{
		Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: voters},
	}}
	for i, p := range s.replicas {
		hardState := &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		p.disk.synced = consensus.PersistentState{ID: uint64(i + 1), Snapshot: snapshot, HardState: hardState}
		p.start()
	}
	for _, p := range s.agents {
		p.start()
	}
}
