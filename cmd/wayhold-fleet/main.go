// Command wayhold-fleet is what belongs to a fleet of nodes and not to one: members of its council, the followers
// beside nodes, and the operators' commands. "wayhold fleet" runs it. Nothing of it is linked into wayhold.
package main

import (
	"os"

	"cobaltward/internal/fleetcli"
)

func main() { os.Exit(fleetcli.Main(fleetcli.TestHooks{})) }
