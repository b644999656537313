// Package soak contains only tests. Each runs a node as a separate process, sends it SIGTERM and then SIGKILL as early
// as the operators' rules allow, while clients keep using their connections and servers fail in many ways. A seed
// determines what a run does. The tests check what clients and servers recorded, not what the node reports.
package soak
