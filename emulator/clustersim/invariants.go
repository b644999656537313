package clustersim

import (
	"fmt"
	"strings"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
)

// applyEffect applies an effect to a node, and checks the invariants of effects: tokens never decrease at a node, at
// most maxUnavailable nodes are drained, only drained nodes are patched, and each patch is applied once.
func (w *world) applyEffect(target *node, request lease.EffectRequest) {
	action, token, key := request.Step.Action, request.FencingToken, request.IdempotencyKey
	if action == fleet.ActionDrain && target.drained || action == fleet.ActionResume && !target.drained {
		return // nothing to change
	}
	w.result.Effects++
	w.tokens[token] = true
	w.trace("%s: %s under token %d", target.name, key, token)
	if token < w.highestToken {
		w.result.LateEffects++
	}
	w.highestToken = max(w.highestToken, token)
	if token < target.highestToken {
		w.fail("%s: %s under token %d, after %d", target.name, key, token, target.highestToken)
	}
	target.highestToken = max(target.highestToken, token)
	switch action {
	case fleet.ActionDrain:
		target.drained = true
		if drained := w.drainedNodes(); drained > w.maxUnavailable {
			w.fail("%d nodes drained at once: %s under token %d", drained, key, token)
		}
	case fleet.ActionPatch:
		if !target.drained {
			w.fail("%s is patched while not drained", target.name)
		}
		w.result.Patches++
		target.patches[key]++
		if times := target.patches[key]; times > 1 {
			w.fail("%s was applied %d times", key, times)
		}
	case fleet.ActionResume:
		target.drained = false
	}
}

func (w *world) drainedNodes() (count int) {
	for _, n := range w.nodes {
		if n.drained {
			count++
		}
	}
	return count
}

// checkLeaseHolders checks that at most one running process may act under the lease.
func (w *world) checkLeaseHolders() {
	holder := ""
	for _, p := range w.agents {
		if p.controller == nil || !p.up || p.pausedUntil > w.now {
			continue
		}
		if token, ok := p.controller.FencingToken(p.monotonic()); ok {
			if holder != "" {
				w.fail("two lease holders may act at once: %s and %s under token %d", holder, p.name, token)
			}
			holder = fmt.Sprintf("%s under token %d", p.name, token)
		}
	}
}

// updateEnded reports whether the last rolling update has ended, and checks that every node was patched once and
// resumed.
func (w *world) updateEnded() bool {
	state := w.newestState()
	if state == nil || state.Jobs[w.updateID] == nil || state.Jobs[w.updateID].CloseReason == "" {
		return false
	}
	job := state.Jobs[w.updateID]
	if job.CloseReason != "done" {
		w.fail("rolling update %s ended as %s: %s", job.ID, job.CloseReason, job.Detail)
	}
	for _, n := range w.nodes {
		patch := rollingupdate.IdempotencyKey(job.ID, fleet.StepKey{Node: n.name, Action: fleet.ActionPatch})
		if n.drained || n.patches[patch] != 1 {
			w.fail("rolling update %s is done, but %s is drained (%v) or not patched", job.ID, n.name, n.drained)
		}
	}
	return true
}

// newestState returns the newest state that any running replica has; nil where none runs.
func (w *world) newestState() *fleet.State {
	var newest *fleet.State
	for _, p := range w.replicas {
		if p.core != nil && p.up && (newest == nil || p.core.State().NewerThan(newest)) {
			newest = p.core.State()
		}
	}
	return newest
}

// describeReplicas describes the replicas, for a violation's text.
func (w *world) describeReplicas() string {
	var text strings.Builder
	for _, p := range w.replicas {
		status, state := p.core.Status(), p.core.State()
		fmt.Fprintf(&text, "%s (%x, up %v): %v in term %d under %x, position %d of %d, voters %v, members %v; ",
			p.name, p.core.ID(), p.up, status.RaftState, status.GetTerm(), status.Lead,
			state.Position, status.GetCommit(), status.Config.Voters, state.Members)
	}
	return text.String()
}
