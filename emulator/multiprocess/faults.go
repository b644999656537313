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

// injectFault waits for the start of a fault, injects the fault, and lifts the fault at the end of its duration.
// index is the position of the fault in the script.
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

// faultActions returns the functions that begin and lift a fault.
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
		h.processes[name].adjustActiveFaults(1)
		h.processes[name].kill()
		_ = h.damageDisk(name, fault.Disk) // fails if the process was killed before it created its files
	}
}

func (h *Harness) restartTargets(ctx context.Context, fault Fault) {
	for _, name := range fault.Targets {
		h.restartAfterFault(ctx, name)
	}
}

func (h *Harness) failDisks(fault Fault) {
	for _, name := range fault.Targets {
		h.processes[name].adjustActiveFaults(1)
		if err := os.WriteFile(h.processes[name].diskFaultFile, nil, 0o600); err != nil {
			h.fail(err.Error())
		}
	}
}

func (h *Harness) repairDisks(ctx context.Context, fault Fault) {
	for _, name := range fault.Targets {
		_ = os.Remove(h.processes[name].diskFaultFile) // fails if begin could not write the file and reported the error
		h.processes[name].kill()                       // most processes exit by themselves after a disk error
		h.restartAfterFault(ctx, name)
	}
}

// resolveNames replaces each role name with the names of the processes that currently have the role. A role without a
// process is dropped.
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

// leaseHolder returns the name of the process that holds the rolling-update lease; empty if no process holds it.
func leaseHolder(state *fleet.State) string {
	name, _, _ := strings.Cut(state.Leases[fleet.ResourceRollingUpdate].Holder, "/")
	return name
}

// restartAfterFault starts a process again unless another fault keeps the process down. For a replica, it also starts
// a task that adds the replica to the cluster again if the replica lost its disk.
func (h *Harness) restartAfterFault(ctx context.Context, name string) {
	p := h.processes[name]
	if p.adjustActiveFaults(-1) > 0 || ctx.Err() != nil {
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

// damageDisk changes the disk of a process as specified by damage. The caller must have stopped the process.
func (h *Harness) damageDisk(name, damage string) error {
	dir := h.processes[name].dir
	switch damage {
	case diskLost:
		return os.RemoveAll(dir)
	case diskTorn:
		return tearDatabase(filepath.Join(dir, "council", "council.db"))
	case diskOlder:
		// The receiver starts without its saved state, as at its first start. The log still contains the newer
		// fencing tokens.
		return os.Remove(filepath.Join(dir, "receiver.json"))
	}
	return nil
}

// tearDatabase overwrites a part of the database, like a write that a crash interrupts. The database has two meta
// pages that locate the root of the tree, and each transaction overwrites the older page. Only the older page is
// damaged, so no synced data is lost.
func tearDatabase(path string) (err error) {
	const (
		pageHeader    = 16
		transactionID = pageHeader + 48 // offset of the transaction ID, which is the eighth field of a meta page
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
