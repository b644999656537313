// Command wayhold is one request-routing node on real sockets, together with the tools of its operators.
package main

import (
	"os"

	"cobaltward/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Extensions{})) }
