package clustersim

import (
	"fmt"
	"strings"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
)

// applyEffect applies an effect to a node and checks the invariants of effects. Tokens never decrease at a node. At
// most maxUnavailable nodes are drained. Only drained nodes are patched. Each patch is applied once.
func (s *simulation) applyEffect(target *node, request lease.EffectRequest) {
	action, token, key := request.Step.Action, request.FencingToken, request.IdempotencyKey
	if action == fleet.ActionDrain && target.drained || action == fleet.ActionResume && !target.drained {
		return // the node is already in this state
	}
	s.result.Effects++
	s.tokens[token] = true
	s.trace("%s: %s under token %d", target.name, key, token)
	if token < s.highestToken {
		s.result.LateEffects++
	}
	s.highestToken = max(s.highestToken, token)
	if token < target.highestToken {
		s.fail("%s: %s under token %d, after token %d", target.name, key, token, target.highestToken)
	}
	target.highestToken = max(target.highestToken, token)
	switch action {
	case fleet.ActionDrain:
		target.drained = true
		if drained := s.drainedNodes(); drained > s.maxUnavailable {
			s.fail("%d nodes drained at once: %s under token %d", drained, key, token)
		}
	case fleet.ActionPatch:
		if !target.drained {
			s.fail("%s is patched while not drained", target.name)
		}
		s.result.Patches++
		target.patches[key]++
		if times := target.patches[key]; times > 1 {
			s.fail("%s was applied %d times", key, times)
		}
	case fleet.ActionResume:
		target.drained = false
	}
}

func (s *simulation) drainedNodes() (count int) {
	for _, n := range s.nodes {
		if n.drained {
			count++
		}
	}
	return count
}

// checkLeaseHolders checks that at most one running process holds a valid rolling-update lease by its own clock.
func (s *simulation) checkLeaseHolders() {
	holder := ""
	for _, p := range s.agents {
		if p.controller == nil || !p.up || p.pausedUntil > s.now {
			continue
		}
		if token, ok := p.controller.FencingToken(p.monotonic()); ok {
			if holder != "" {
				s.fail("two lease holders may act at once: %s and %s under token %d", holder, p.name, token)
			}
			holder = fmt.Sprintf("%s under token %d", p.name, token)
		}
	}
}

// checkUpdateEnded reports whether the last rolling update has ended. If so, it checks that every node was patched
// once and resumed.
func (s *simulation) checkUpdateEnded() bool {
	state := s.newestState()
	if state == nil || state.Jobs[s.updateID] == nil || state.Jobs[s.updateID].CloseReason == "" {
		return false
	}
	job := state.Jobs[s.updateID]
	if job.CloseReason != "done" {
		s.fail("rolling update %s ended as %s: %s", job.ID, job.CloseReason, job.Detail)
	}
	for _, n := range s.nodes {
		patch := rollingupdate.IdempotencyKey(job.ID, fleet.StepKey{Node: n.name, Action: fleet.ActionPatch})
		if n.drained || n.patches[patch] != 1 {
			s.fail("rolling update %s is done, but %s is drained (%v) or was not patched once", job.ID, n.name, n.drained)
		}
	}
	return true
}

// newestState returns the newest state among the running replicas; nil if no replica runs.
func (s *simulation) newestState() *fleet.State {
	var newest *fleet.State
	for _, p := range s.replicas {
		if p.core != nil && p.up && (newest == nil || p.core.State().NewerThan(newest)) {
			newest = p.core.State()
		}
	}
	return newest
}

// describeReplicas describes the replicas for the text of a violation.
func (s *simulation) describeReplicas() string {
	var text strings.Builder
	for _, p := range s.replicas {
		status, state := p.core.Status(), p.core.State()
		fmt.Fprintf(&text, "%s (%x, up %v): %v in term %d under %x, position %d of %d, voters %v, members %v; ",
			p.name, p.core.ID(), p.up, status.RaftState, status.GetTerm(), status.Lead,
			state.Position, status.GetCommit(), status.Config.Voters, state.Members)
	}
	return text.String()
}
