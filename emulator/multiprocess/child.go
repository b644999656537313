package multiprocess

import (
	"fmt"
	"os"
	"strings"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
)

// Environment variables that define a process's role and faults, in addition to the settings file.
const (
	roleEnv               = "WAYHOLD_HARNESS_ROLE"
	checkerEnv            = "WAYHOLD_HARNESS_CHECKER"       // address of the effect checker
	leaseHistoryEnv       = "WAYHOLD_HARNESS_LEASE_HISTORY" // file in which the process records its lease requests
	diskFaultEnv          = "WAYHOLD_HARNESS_DISK_FAULT"    // path of a file; writes to storage fail while it exists
	argumentsEnv          = "WAYHOLD_HARNESS_ARGUMENTS"     // arguments for roleCommand, one per line
	disabledSafeguardsEnv = "WAYHOLD_HARNESS_WITHOUT"       // safeguards to disable, separated by spaces
	configEnv             = "WAYHOLD_CONFIG"                // path of the settings file; read by the program itself
)

// Roles of a process.
const (
	roleReplica = "council" // subcommand of the fleet program
	roleAgent   = "agent"   // subcommand of the fleet program
	roleNode    = "node"
	roleCommand = "tool"  // an administrator's command, with the arguments in argumentsEnv
	rolePatch   = "patch" // command with which an agent patches its node
	roleVerify  = "look"  // command with which an agent checks whether a patch was applied
)

// exitUsage is the exit status of a process whose environment variables are invalid.
const exitUsage = 2

// FleetHooks replace or observe parts of the fleet program in tests.
type FleetHooks struct {
	Clock           consensus.Clock // zero value: the system clock
	Storage         func(consensus.Storage) consensus.Storage
	Unsafe          lease.UnsafeOptions
	ObserveProposal func(entry fleet.Entry, holder string) func(result fleet.Result, known bool)
}

// Programs holds the main functions of the programs. They read os.Args and return the exit status. The caller of
// Child supplies them, so this package doesn't depend on the command line.
type Programs struct {
	Node  func() int
	Fleet func(FleetHooks) int
}

// Child runs the program for this process's role if a harness started the process. A fleet program gets a clock and a
// disk into which the harness can inject faults. The harness can also disable safeguards of the program. isChild is
// false if no harness started the process; the caller then continues with its own work.
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
	for _, safeguard := range strings.Fields(os.Getenv(disabledSafeguardsEnv)) {
		switch safeguard {
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
