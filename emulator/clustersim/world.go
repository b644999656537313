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

// world is the state of one simulation. One goroutine runs all of it.
type world struct {
	cfg         Config
	rand        *mrand.Rand
	now         time.Duration
	events      eventQueue
	eventSeq    uint64
	lastRequest uint64 // identifier of proposals and reads
	result      Result

	replicas, agents        []*process
	nodes                   []*node
	blockedLinks            map[[2]int]int // number of faults that block a link, by the indexes of its ends
	lossRate, duplicateRate float64
	extraDelay              time.Duration

	appliedHashes  map[fleet.Position]uint64 // hash of the entry that the first replica applied at a position
	maxUnavailable int
	highestToken   fleet.FencingToken
	tokens         map[fleet.FencingToken]bool
	updateCount    int
	updateID       string
	rolloutCount   int
}

// randReader makes raft's own random draws follow the seed.
type randReader struct{ source *mrand.ChaCha8 }

// Read fills p with random bytes; it never fails.
func (r randReader) Read(p []byte) (int, error) { return r.source.Read(p) }

// Run simulates one schedule. Since raft draws from crypto/rand's process-wide reader, which is replaced meanwhile,
// only one simulation may run in a process at a time.
func Run(cfg Config) (result Result) {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(cfg.Seed >> (8 * i))
	}
	old := rand.Reader
	rand.Reader = randReader{mrand.NewChaCha8(key)}
	defer func() { rand.Reader = old }()
	w := &world{
		cfg:            cfg,
		rand:           mrand.New(mrand.NewPCG(cfg.Seed, 0xf1ee7)),
		blockedLinks:   make(map[[2]int]int),
		appliedHashes:  make(map[fleet.Position]uint64),
		maxUnavailable: 1,
		tokens:         make(map[fleet.FencingToken]bool),
	}
	defer func() {
		if cause := recover(); cause != nil { // raft panics where its own invariants are broken
			w.fail("a replica panicked: %v", cause)
		}
		w.result.Tokens = len(w.tokens)
		result = w.result
	}()
	w.createProcesses()
	w.startProcesses()
	w.scheduleFaults()
	w.runEvents()
	return w.result
}

// fail records a broken invariant. It ends the simulation.
func (w *world) fail(format string, args ...any) {
	violation := fmt.Sprintf("seed %d at %v: %s", w.cfg.Seed, w.now, fmt.Sprintf(format, args...))
	w.result.Violations = append(w.result.Violations, violation)
}

func (w *world) trace(format string, args ...any) {
	if w.cfg.Trace != nil {
		w.cfg.Trace(fmt.Sprintf("%10v %s", w.now.Round(ms), fmt.Sprintf(format, args...)))
	}
}

// randomBetween draws a duration from lo up to hi.
func (w *world) randomBetween(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rand.Float64()*float64(hi-lo))
}

// randomExp draws a duration of the given mean from the exponential distribution.
func (w *world) randomExp(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

func (w *world) createProcesses() {
	for i := range w.cfg.Replicas + w.cfg.Nodes {
		p := &process{world: w, index: i, clockRate: w.drawClockRate()}
		if i < w.cfg.Replicas {
			p.name = fmt.Sprintf("c%d", i+1)
			w.replicas = append(w.replicas, p)
			continue
		}
		p.name = fmt.Sprintf("n%d", i-w.cfg.Replicas+1)
		p.node = &node{name: p.name, patches: make(map[string]int)}
		w.nodes = append(w.nodes, p.node)
		w.agents = append(w.agents, p)
	}
}

// drawClockRate draws a rate within the drift that leases allow for, or with Config.ClockJumps outside of it, too.
func (w *world) drawClockRate() float64 {
	if !w.cfg.ClockJumps {
		return 1 - lease.MaxClockDrift/2 + lease.MaxClockDrift*w.rand.Float64()
	}
	if w.rand.Float64() < 0.3 {
		return 0.5 + 1.5*w.rand.Float64()
	}
	return 1
}

// startProcesses starts all processes, the replicas with the state of a cluster to which all of them were added.
func (w *world) startProcesses() {
	members := make(map[uint64]fleet.Member)
	var voters []uint64
	for i, p := range w.replicas {
		id := uint64(i + 1)
		members[id] = fleet.Member{ID: id, Name: p.name, Address: p.name, SupportedFormat: fleet.FormatVersion}
		voters = append(voters, id)
	}
	state := fleet.NewState(1).WithMembers(1, members)
	state.Nodes = make(map[string]fleet.Node)
	for i, p := range w.agents {
		candidate := i < w.cfg.LeaseCandidates
		state.Nodes[p.name] = fleet.Node{Name: p.name, Address: p.name, Capacity: 1, LeaseCandidate: candidate}
	}
	snapshot := &pb.Snapshot{Data: state.Marshal(), Metadata: &pb.SnapshotMetadata{
		Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: voters},
	}}
	for i, p := range w.replicas {
		hardState := &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		p.disk.synced = consensus.PersistentState{ID: uint64(i + 1), Snapshot: snapshot, HardState: hardState}
		p.start()
	}
	for _, p := range w.agents {
		p.start()
	}
}
