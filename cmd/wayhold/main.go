// Command wayhold runs a node that routes requests, and provides the tools for operating the node.
package main

import (
	"os"

	"cobaltward/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Extensions{})) }
