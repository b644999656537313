// Command wayhold-fleet has what serves a fleet of nodes as a whole: replicas of its replicated state, the agents
// beside nodes, and the operators' commands. "wayhold fleet" runs it. None of it is linked into wayhold.
package main

import (
	"os"

	"cobaltward/internal/fleetcli"
)

func main() { os.Exit(fleetcli.Main(fleetcli.TestHooks{})) }
