package multiprocess

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

const (
	stateTimeout       = 500 * time.Millisecond
	membershipTimeout  = 2 * time.Second
	membershipInterval = 5 * pollInterval
)

var (
	errNoLeader        = errors.New("no replica leads")
	errLearner         = errors.New("the replica is still a learner")
	errAdditionPending = errors.New("the addition of the replica is not applied yet")
)

// Client returns a client that bypasses the proxies. The client sends to the current addresses of the processes.
func (h *Harness) Client() *agent.Client {
	overrides := make(map[string]string)
	for name := range h.processes {
		if address := h.address(name); address != "" {
			overrides[canonicalAddress(name)] = address
		}
	}
	return &agent.Client{
		Replicas: h.client.Replicas, AddressOverrides: overrides,
		AuthToken: h.client.AuthToken, HTTP: h.client.HTTP,
	}
}

// State returns the newest state among the responses of the replicas; nil if no replica responds. hasLeader reports
// whether a replica that responded is the leader.
func (h *Harness) State(ctx context.Context) (state *fleet.State, hasLeader bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	for _, status := range h.Client().Statuses(ctx) {
		hasLeader = hasLeader || status.LeaderID != "" && status.LeaderID == status.ID
		if state == nil || status.State.NewerThan(state) {
			state = status.State
		}
	}
	return state, hasLeader
}

// awaitState waits until a replica leads and met returns true for the newest state. condition names the awaited
// condition in the error.
func (h *Harness) awaitState(ctx context.Context, condition string, met func(*fleet.State) bool) error {
	for ctx.Err() == nil {
		if state, hasLeader := h.State(ctx); state != nil && hasLeader && met(state) {
			return nil
		}
		waitUntil(ctx, time.Now().Add(pollInterval))
	}
	return fmt.Errorf("wait for %s: %w", condition, ctx.Err())
}

// addMember adds a replica to the cluster, as an administrator does. A replica that lost its disk has a new ID.
// addMember then first removes the member with the replica's name and former ID. It returns once the replica is a
// voter.
func (h *Harness) addMember(ctx context.Context, name string) error {
	var err error
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, membershipTimeout)
		err = h.advanceMembership(attemptCtx, name)
		cancel()
		if err == nil {
			return nil
		}
		waitUntil(ctx, time.Now().Add(membershipInterval))
	}
	return fmt.Errorf("add replica %s: %w", name, errors.Join(ctx.Err(), err))
}

// advanceMembership takes the next step towards the replica's membership. It returns nil once the replica is a voter.
func (h *Harness) advanceMembership(ctx context.Context, name string) error {
	client := h.Client()
	var status consensus.Status
	if err := client.Call(ctx, http.MethodGet, canonicalAddress(name), "/status", nil, &status); err != nil {
		return err
	}
	state, hasLeader := h.State(ctx)
	if state == nil || !hasLeader {
		return errNoLeader
	}
	for id, member := range state.Members {
		hexID := fmt.Sprintf("%x", id)
		switch {
		case hexID == status.ID && !member.Learner:
			return nil
		case hexID == status.ID:
			return errLearner
		case member.Name == name:
			removal := consensus.MembershipRequest{ID: hexID, Name: name, Remove: true}
			if err := changeMembership(ctx, client, removal); err != nil {
				return err
			}
		}
	}
	addition := consensus.MembershipRequest{ID: status.ID, Name: name, Address: canonicalAddress(name)}
	if err := changeMembership(ctx, client, addition); err != nil {
		return err
	}
	return errAdditionPending
}

// changeMembership sends a membership request to the replicas in turn until one accepts it.
func changeMembership(ctx context.Context, client *agent.Client, request consensus.MembershipRequest) error {
	var err error
	for _, address := range client.Replicas {
		err = client.Call(ctx, http.MethodPost, address, "/member", request, new(consensus.ProposeResponse))
		if err == nil {
			return nil
		}
	}
	return err
}
