package multiprocess

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

const updateProposalTimeout = time.Second

// runUpdates runs one rolling update after another until the context ends.
func (h *Harness) runUpdates(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if !h.runUpdate(ctx, updateID(n)) {
			return
		}
	}
}

func updateID(n int) string { return fmt.Sprintf("r%d", n) }

func (h *Harness) updateSpec() *fleet.JobSpec {
	return &fleet.JobSpec{
		Kind: fleet.JobRollingUpdate, Nodes: h.script.nodeNames(),
		MaxUnavailable: h.script.MaxUnavailable, MinCapacity: h.script.MinCapacity,
		MaxFailures: 0, DrainTimeout: 5 * time.Second,
	}
}

// runUpdate waits until the rolling update with the given ID ends. It proposes the update while the newest state of
// the replicas lacks the update. It returns false if the context ends before the update.
func (h *Harness) runUpdate(ctx context.Context, id string) bool {
	recorded := false
	for ctx.Err() == nil {
		state, _ := h.State(ctx)
		switch {
		case state == nil:
		case state.Jobs[id] == nil:
			h.proposeUpdate(ctx, id)
			if !recorded {
				recorded = true
				h.mu.Lock()
				h.updateIDs = append(h.updateIDs, id)
				h.mu.Unlock()
			}
		case state.Jobs[id].CloseReason != "":
			h.checkUpdate(state.Jobs[id])
			return true
		}
		waitUntil(ctx, time.Now().Add(2*pollInterval))
	}
	return false
}

// proposeUpdate proposes a rolling update to the replicas in turn until one accepts it. A lost response does no harm,
// because the next proposal has the same job ID.
func (h *Harness) proposeUpdate(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, updateProposalTimeout)
	defer cancel()
	entry := fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: h.updateSpec(), RequestedBy: "harness"}
	client := h.Client()
	for _, address := range client.Replicas {
		if client.Call(ctx, http.MethodPost, address, "/propose", entry, new(consensus.ProposeResponse)) == nil {
			return
		}
	}
}

// checkUpdate checks that an ended rolling update was closed as done. Each node of the update must have been patched,
// or have a patch step that failed.
func (h *Harness) checkUpdate(job *fleet.Job) {
	h.mu.Lock()
	h.updatesEnded++
	h.mu.Unlock()
	patched := h.checker.patchedNodeCount(job.ID)
	failed := 0
	for key, step := range job.Steps {
		if key.Action == fleet.ActionPatch && step.Outcome != fleet.OutcomeOK {
			failed++
		}
	}
	switch {
	case job.CloseReason != "done":
		h.fail(fmt.Sprintf("rolling update %s ended as %s: %s", job.ID, job.CloseReason, job.Detail))
	case patched+failed < len(job.Spec.Nodes):
		h.fail(fmt.Sprintf("rolling update %s lost steps: %d nodes patched and %d failed of %d",
			job.ID, patched, failed, len(job.Spec.Nodes)))
	}
}

// awaitRecovery is called after the last fault. It starts the processes that are down, resumes paused processes, and
// waits for the current rolling update to end. It returns descriptions of the broken invariants.
func (h *Harness) awaitRecovery(ctx context.Context) (violations []string) {
	for _, name := range h.processNames() {
		p := h.processes[name]
		if p.currentAddress() == "" {
			if err := p.start(); err != nil {
				return []string{err.Error()}
			}
		}
		p.signal(syscall.SIGCONT)
	}
	id := h.lastUpdateID()
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if h.runUpdate(ctx, id) {
		return nil
	}
	state, hasLeader := h.State(context.WithoutCancel(ctx))
	text := "no replica responds"
	if state != nil {
		text = string(state.Marshal())
	}
	return []string{fmt.Sprintf("rolling update %s did not end within %v of the last fault (has leader: %v): %s",
		id, recoveryTimeout, hasLeader, text)}
}

// lastUpdateID returns the ID of the last started rolling update; the first ID if none was started.
func (h *Harness) lastUpdateID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.updateIDs) == 0 {
		return updateID(1)
	}
	return h.updateIDs[len(h.updateIDs)-1]
}
