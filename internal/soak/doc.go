// Package soak contains only tests. The soak tests run a node as a separate process while clients keep using their
// connections and servers fail in many ways. A soak test sends SIGTERM, and then SIGKILL as early as the operators'
// rules allow. A seed determines the random choices of a run, except those of the servers. The growth test compares
// the resource usage of nodes in fleets of two sizes. The tests check what clients and servers recorded, not what the
// node reports.
package soak
