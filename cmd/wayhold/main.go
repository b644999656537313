// Command wayhold is one request-routing node on real sockets, and the tools for who operates it.
package main

import (
	"os"

	"cobaltward/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Extensions{})) }
