// Command wayhold runs a node that routes requests, and has the tools for operating it.
package main

import (
	"os"

	"cobaltward/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Extensions{})) }
