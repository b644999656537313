package consensus

import (
	"context"
	"crypto/rand"
	"errors"

	"cobaltward/fleet"
)

// Errors of proposals.
var (
	// ErrOutcomeUnknown reports that the outcome of a proposal is unknown: the entry may have been applied, or may be
	// applied later.
	ErrOutcomeUnknown = errors.New("consensus: the outcome of the proposal is unknown")
	// ErrTooManyProposals reports that maxPendingProposals proposals already wait for their outcome. Nothing was
	// proposed.
	ErrTooManyProposals = errors.New("consensus: too many proposals are waiting")
	// ErrStopped reports that the replica has stopped. Nothing was proposed.
	ErrStopped = errors.New("consensus: the replica has stopped")
)

// proposal is an entry or a membership change that a caller of the replica proposes.
type proposal struct {
	id       uint64
	submit   func(core *Core, id uint64) error
	accepted chan error // receives the error of submit; buffered, so sending never blocks
}

// Propose proposes an entry, and waits until this replica has applied it. After ErrOutcomeUnknown or the error of
// ctx, a caller can conclude nothing: the entry may still be applied.
func (r *Replica) Propose(ctx context.Context, entry fleet.Entry) (fleet.Result, error) {
	return r.await(ctx, func(core *Core, id uint64) error { return core.Propose(id, entry) })
}

// ChangeMembership adds member or, if remove is set, removes it. It waits like Propose. It returns a *MembershipError
// if the change is not possible.
func (r *Replica) ChangeMembership(ctx context.Context, member fleet.Member, remove bool) (fleet.Result, error) {
	return r.await(ctx, func(core *Core, id uint64) error { return core.ProposeMembership(id, member, remove) })
}

// await passes a proposal to the run goroutine, which calls submit, and waits for the outcome of the proposal.
func (r *Replica) await(ctx context.Context, submit func(*Core, uint64) error) (fleet.Result, error) {
	id, err := newProposalID()
	if err != nil {
		return fleet.Result{}, err
	}
	outcome, err := r.register(id)
	if err != nil {
		return fleet.Result{}, err
	}
	defer r.unregister(id)
	next := proposal{id: id, submit: submit, accepted: make(chan error, 1)}
	select {
	case r.proposals <- next:
	case <-ctx.Done():
		return fleet.Result{}, ctx.Err() // nothing was proposed; the caller must assume an unknown outcome
	case <-r.done:
		return fleet.Result{}, ErrStopped
	}
	select {
	case err = <-next.accepted:
	case <-r.done:
		err = ErrOutcomeUnknown
	}
	if err != nil {
		return fleet.Result{}, err
	}
	select {
	case result := <-outcome:
		return result, nil
	case <-ctx.Done():
	case <-r.done:
	}
	return fleet.Result{}, ErrOutcomeUnknown
}

// newProposalID returns a random ID other than 0.
func newProposalID() (uint64, error) {
	raw := encodeID(0)
	if _, err := rand.Read(raw); err != nil {
		return 0, err
	}
	return decodeID(raw) | 1, nil
}

// register returns the channel that receives the outcome of the proposal with the given ID.
func (r *Replica) register(id uint64) (<-chan fleet.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingResults) >= maxPendingProposals {
		return nil, ErrTooManyProposals
	}
	outcome := make(chan fleet.Result, 1)
	r.pendingResults[id] = outcome
	return outcome, nil
}

func (r *Replica) unregister(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingResults, id)
}

func (r *Replica) submit(next proposal) { next.accepted <- next.submit(r.core, next.id) }

// submitWaiting submits up to maxBatch waiting proposals.
func (r *Replica) submitWaiting() {
	for range maxBatch {
		select {
		case next := <-r.proposals:
			r.submit(next)
		default:
			return
		}
	}
}
