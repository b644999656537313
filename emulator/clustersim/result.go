package clustersim

import "fmt"

// Result holds the counts and violations of one schedule, or their sum over several schedules.
type Result struct {
	Violations []string // descriptions of broken invariants, each with seed and time

	Effects, Tokens         int // effects on nodes, and fencing tokens of those effects
	LateEffects             int // effects with a token older than the highest token at any node
	Rejected                int // effects that a receiver rejected
	RollingUpdates, Patches int
	Crashes                 int
	Pauses, LongPauses      int // a long pause exceeds the lease duration
	Partitions              int
	Lost, Duplicated        int // messages that were lost or duplicated
	ClockJumps              int
	LostDisks               int // replicas that lost their disk
	StaleReceiverDisks      int // agents whose disk was replaced by an earlier copy
	Decisions, Rollouts     int // requests decided under version leases, and rollouts; only with Config.Rollouts
	Messages                int
}

// Add adds the counts and violations of another result.
func (r *Result) Add(other Result) {
	r.Violations = append(r.Violations, other.Violations...)
	r.Effects += other.Effects
	r.Tokens += other.Tokens
	r.LateEffects += other.LateEffects
	r.Rejected += other.Rejected
	r.RollingUpdates += other.RollingUpdates
	r.Patches += other.Patches
	r.Crashes += other.Crashes
	r.Pauses += other.Pauses
	r.LongPauses += other.LongPauses
	r.Partitions += other.Partitions
	r.Lost += other.Lost
	r.Duplicated += other.Duplicated
	r.ClockJumps += other.ClockJumps
	r.LostDisks += other.LostDisks
	r.StaleReceiverDisks += other.StaleReceiverDisks
	r.Decisions += other.Decisions
	r.Rollouts += other.Rollouts
	r.Messages += other.Messages
}

// String returns the counts on one line.
func (r Result) String() string {
	rollouts := ""
	if r.Decisions > 0 {
		rollouts = fmt.Sprintf("%d requests decided during %d rollouts; ", r.Decisions, r.Rollouts)
	}
	effects := fmt.Sprintf("%d effects under %d fencing tokens (%d late and harmless, %d rejected), ",
		r.Effects, r.Tokens, r.LateEffects, r.Rejected)
	updates := fmt.Sprintf("%d patches in %d rolling updates; ", r.Patches, r.RollingUpdates)
	faults := fmt.Sprintf("%d crashes, %d pauses (%d longer than a lease), %d partitions, ",
		r.Crashes, r.Pauses, r.LongPauses, r.Partitions)
	disks := fmt.Sprintf("%d lost disks, %d stale disks of receivers, %d clock jumps; ",
		r.LostDisks, r.StaleReceiverDisks, r.ClockJumps)
	messages := fmt.Sprintf("of %d messages %d lost, %d duplicated", r.Messages, r.Lost, r.Duplicated)
	return rollouts + effects + updates + faults + disks + messages
}
