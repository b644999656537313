package multiprocess

import (
	"fmt"
	"os"
	"strings"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
)

// Environment variables by which the harness instructs a process, besides its settings.
const (
	roleEnv         = "WAYHOLD_HARNESS_ROLE"
	checkerEnv      = "WAYHOLD_HARNESS_CHECKER"       // address to which effects are reported
	leaseHistoryEnv = "WAYHOLD_HARNESS_LEASE_HISTORY" // file in which lease requests are recorded
	diskFaultEnv    = "WAYHOLD_HARNESS_DISK_FAULT"    // file which, while it exists, makes writes to the disk fail
	argumentsEnv    = "WAYHOLD_HARNESS_ARGUMENTS"     // of roleCommand: one argument per line
	withoutEnv      = "WAYHOLD_HARNESS_WITHOUT"       // guards to take away
	configEnv       = "WAYHOLD_CONFIG"                // the program's own: path of its settings
)

// Roles of a process.
const (
	roleReplica = "council" // a command of the fleet program, as the next
	roleAgent   = "agent"
	roleNode    = "node"
	roleCommand = "tool"  // a command of the administrator's
	rolePatch   = "patch" // the command by which an agent patches its node
	roleVerify  = "look"  // the command by which it verifies a patch
)

// exitUsage is the exit status of a process that got wrong instructions.
const exitUsage = 2

// FleetHooks are what the fleet program lets tests replace or observe.
type FleetHooks struct {
	Clock           consensus.Clock // zero: the system's
	Storage         func(consensus.Storage) consensus.Storage
	Unsafe          lease.UnsafeOptions
	ObserveProposal func(entry fleet.Entry, holder string) func(result fleet.Result, known bool)
}

// Programs are the main functions of the programs, which read os.Args and return the exit status. The caller of Child
// supplies them, so that this package does not depend on the command line.
type Programs struct {
	Node  func() int
	Fleet func(FleetHooks) int
}

// Child runs the program in a process that a harness has started, with a clock and a disk that faults can reach and
// without the guards that the harness takes away. It reports whether this process is one of a harness's; any other
// process continues with its own work.
func Child(programs Programs) (status int, isChild bool) {
	switch role := os.Getenv(roleEnv); role {
	case "":
		return 0, false
	case rolePatch, roleVerify:
		return runNodeCommand(role), true
	case roleNode:
		os.Args = []string{"wayhold", "serve"}
		return programs.Node(), true
	case roleCommand:
		os.Args = append([]string{"wayhold-fleet"}, strings.Split(os.Getenv(argumentsEnv), "\n")...)
		return programs.Fleet(FleetHooks{}), true
	default:
		os.Args = []string{"wayhold-fleet", role, "--config", os.Getenv(configEnv)}
		hooks, err := hooksFromEnvironment()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage, true
		}
		return programs.Fleet(hooks), true
	}
}

func hooksFromEnvironment() (FleetHooks, error) {
	hooks := FleetHooks{Clock: newFaultyClock()}
	for _, guard := range strings.Fields(os.Getenv(withoutEnv)) {
		switch guard {
		case "token":
			hooks.Unsafe.SkipFencing = true
		case "wait":
			hooks.Unsafe.SkipExpiryDelay = true
		case "asking":
			hooks.Unsafe.CountFromResponse = true
		case "before":
			hooks.Unsafe.RecordIntentLate = true
		}
	}
	if path := os.Getenv(diskFaultEnv); path != "" {
		hooks.Storage = func(storage consensus.Storage) consensus.Storage { return &faultyStorage{storage, path} }
	}
	if path := os.Getenv(leaseHistoryEnv); path != "" {
		recorder, err := newLeaseRecorder(path)
		if err != nil {
			return hooks, err
		}
		hooks.ObserveProposal = recorder.observe
	}
	return hooks, nil
}
