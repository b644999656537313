// Command rpcbench sets a node that speaks MessagePack-RPC on both sides beside one that speaks HTTP/1.1, in
// one run: CPU and allocations per call of the node alone, which is a process of its own on one core, and the
// callers' latency.
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

// Protocols of a node.
const (
	protocolHTTP    = "http"
	protocolMsgpack = "msgpack"
)

func main() {
	protocol := flag.String("node", "", "run as the node, of this protocol (used by itself)")
	length := flag.Duration("for", time.Second, "of each measurement")
	rounds := flag.Int("rounds", 3, "of which the median is printed")
	inFlight := flag.String("flights", "1,16,64,256,1000", "calls at once")
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

// parseNumbers returns the numbers of a list with commas, without the fields that are not numbers.
func parseNumbers(text string) (numbers []int) {
	for field := range strings.SplitSeq(text, ",") {
		if n, err := strconv.Atoi(field); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
