// Command rpcbench compares a node that uses MessagePack-RPC on both sides with a node that uses HTTP/1.1. It measures
// the node's CPU time and allocations per call, and the latency that callers see. The node is a separate process with
// GOMAXPROCS=1.
//
//	go run ./tools/rpcbench -for 1s -rounds 3
package main

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"cobaltward/tools/internal/benchkit"
)

// Protocols that a node can use on both sides.
const (
	protocolHTTP    = "http"
	protocolMsgpack = "msgpack"
)

func main() {
	protocol := flag.String("node", "", "run as the node with this protocol (internal)")
	length := flag.Duration("for", time.Second, "length of each measurement")
	rounds := flag.Int("rounds", 3, "number of rounds; the median is printed")
	inFlight := flag.String("flights", "1,16,64,256,1000", "numbers of calls in flight")
	bodies := flag.String("bodies", "100,4096,65536", "bytes of a body")
	memory := flag.Bool("memory", false, "measure memory per connection and per call instead")
	profile := flag.String("profile", "", "a file for the CPU profile of the node by MessagePack-RPC")
	flag.Parse()
	var err error
	switch {
	case *protocol != "":
		err = runNode(*protocol, *profile)
	case *memory:
		err = measureMemory()
	default:
		err = compare(*length, *rounds, parseNumbers(*inFlight), parseNumbers(*bodies), *profile)
	}
	benchkit.ExitOnError("rpcbench", err)
}

// parseNumbers returns the numbers of a comma-separated list. It skips fields that are not numbers.
func parseNumbers(text string) (numbers []int) {
	for field := range strings.SplitSeq(text, ",") {
		if n, err := strconv.Atoi(field); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
