package multiprocess

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"cobaltward/fleet"
)

// injectFault injects one fault at its time, and lifts it at its end. The index identifies it among the faults.
func (h *Harness) injectFault(ctx context.Context, index int, fault Fault) {
	waitUntil(ctx, h.startTime().Add(fault.At))
	end := h.startTime().Add(fault.At + fault.Duration)
	h.mu.Lock()
	h.injected[fault.Kind]++
	h.mu.Unlock()
	fault.Targets = h.resolveNames(ctx, fault.Targets)
	fault.Peers = h.resolveNames(ctx, fault.Peers)
	if len(fault.Targets) == 0 {
		return
	}
	begin, lift := h.faultActions(ctx, index, fault)
	begin()
	waitUntil(ctx, end)
	lift()
}

// faultActions returns what begins and what lifts a fault.
func (h *Harness) faultActions(ctx context.Context, index int, fault Fault) (begin, lift func()) {
	signal := func(signal syscall.Signal) func() {
		return func() {
			for _, name := range fault.Targets {
				h.processes[name].signal(signal)
			}
		}
	}
	switch fault.Kind {
	case FaultKill:
		return func() { h.killTargets(fault) }, func() { h.restartTargets(ctx, fault) }
	case FaultPause:
		return signal(syscall.SIGSTOP), signal(syscall.SIGCONT)
	case FaultClockJump:
		return signal(clockJumpSignal), func() {}
	case FaultClockRate:
		return signal(clockRateSignal), func() {}
	case FaultDisk:
		return func() { h.failDisks(fault) }, func() { h.repairDisks(ctx, fault) }
	}
	return func() { h.InjectLinkFault(index, fault) }, func() { h.LiftLinkFault(index) }
}

func (h *Harness) killTargets(fault Fault) {
	for _, name := range fault.Targets {
		h.processes[name].addFault(1)
		h.processes[name].kill()
		_ = h.damageDisk(name, fault.Disk) // a process that was killed early has not created its files
	}
}

func (h *Harness) restartTargets(ctx context.Context, fault Fault) {
	for _, name := range fault.Targets {
		h.restartAfterFault(ctx, name)
	}
}

func (h *Harness) failDisks(fault Fault) {
	for _, name := range fault.Targets {
		h.processes[name].addFault(1)
		if err := os.WriteFile(h.processes[name].diskFaultFile, nil, 0o600); err != nil {
			h.fail(err.Error())
		}
	}
}

func (h *Harness) repairDisks(ctx context.Context, fault Fault) {
	for _, name := range fault.Targets {
		_ = os.Remove(h.processes[name].diskFaultFile) // absent where it could not be written, which has failed the run
		h.processes[name].kill()                       // most have exited by themselves
		h.restartAfterFault(ctx, name)
	}
}

// resolveNames replaces the names of roles by the processes that have them now; by none where none has.
func (h *Harness) resolveNames(ctx context.Context, names []string) (resolved []string) {
	for _, name := range names {
		switch name {
		case leaseHolderName:
			state, _ := h.State(ctx)
			if state == nil {
				continue
			}
			if holder := leaseHolder(state); holder != "" {
				resolved = append(resolved, holder)
			}
		case leaderName:
			for _, status := range h.Client().Statuses(ctx) {
				if status.LeaderID != "" && status.LeaderID == status.ID {
					resolved = append(resolved, status.Name)
				}
			}
		default:
			resolved = append(resolved, name)
		}
	}
	return resolved
}

// leaseHolder returns the process that holds the lease of rolling updates; empty where none does.
func leaseHolder(state *fleet.State) string {
	name, _, _ := strings.Cut(state.Leases[fleet.ResourceRollingUpdate].Holder, "/")
	return name
}

// restartAfterFault starts a process again once no fault keeps it down. A replica whose disk is new is added to the
// cluster.
func (h *Harness) restartAfterFault(ctx context.Context, name string) {
	p := h.processes[name]
	if p.addFault(-1) > 0 || ctx.Err() != nil {
		return
	}
	if err := p.start(); err != nil {
		h.fail(err.Error())
		return
	}
	if !isReplica(name) {
		return
	}
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
		defer cancel()
		if err := h.addMember(ctx, name); err != nil {
			h.fail(err.Error())
		}
	})
}

// damageDisk changes the disk of a process that is down, as a fault says.
func (h *Harness) damageDisk(name, damage string) error {
	dir := h.processes[name].dir
	switch damage {
	case diskLost:
		return os.RemoveAll(dir)
	case diskTorn:
		return tearDatabase(filepath.Join(dir, "council", "council.db"))
	case diskOlder:
		// The receiver loses its state, as of the start: the log still has the newer tokens.
		return os.Remove(filepath.Join(dir, "receiver.json"))
	}
	return nil
}

// tearDatabase overwrites a part of the database as a write that a crash cut short. Of the two meta pages, which
// locate the root of the tree, the next transaction writes the older one: synced data is not touched.
func tearDatabase(path string) (err error) {
	const (
		pageHeader    = 16
		transactionID = pageHeader + 48 // offset of the meta page's eighth field
		tornOffset    = pageHeader + 8
	)
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("tear the database: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	pageSize := int64(os.Getpagesize())
	var ids [2]uint64
	for page := range ids {
		var raw [8]byte
		if _, err := file.ReadAt(raw[:], int64(page)*pageSize+transactionID); err != nil {
			return fmt.Errorf("read meta page %d: %w", page, err)
		}
		ids[page] = binary.LittleEndian.Uint64(raw[:])
	}
	older := int64(0)
	if ids[1] < ids[0] {
		older = 1
	}
	_, err = file.WriteAt([]byte("a write that was torn"), older*pageSize+tornOffset)
	return err
}
