// Command wayhold-fleet runs the processes that manage a fleet of nodes: the replicas of the fleet's state and the
// agents beside the nodes. It also provides the operators' commands. "wayhold fleet" executes this program. This code
// is in a separate program, so that the program wayhold does not contain it.
package main

import (
	"os"

	"cobaltward/internal/fleetcli"
)

func main() { os.Exit(fleetcli.Main(fleetcli.TestHooks{})) }
