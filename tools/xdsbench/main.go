// Command xdsbench measures a node's xDS client against the stand-in control plane, which runs in a separate process:
//
//	go run ./tools/xdsbench -flood              # p99 of requests with a flood of updates, divided by p99 without
//	go run ./tools/xdsbench -sizes 100,1000     # time from push to applied, CPU and allocations of the node
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"cobaltward/tools/internal/benchkit"
)

// minRounds is the minimum value of -rounds. The first update at each size is not counted, so one round has no
// result.
const minRounds = 2

func main() {
	flood := flag.Bool("flood", false, "measure the latency of requests during a flood")
	sizes := flag.String("sizes", "", "numbers of endpoints to measure updates at")
	rounds := flag.Int("rounds", 5, "rounds of the flood, or updates at each size")
	procs := flag.Int("procs", 0, "cores of the node; 0: all")
	flag.Parse()
	if *procs > 0 {
		runtime.GOMAXPROCS(*procs)
	}
	benchkit.ExitOnError("xdsbench", run(*flood, *sizes, *rounds))
}

func run(flood bool, sizes string, rounds int) error {
	if rounds < minRounds {
		return fmt.Errorf("-rounds: want %d or more, got %d: the first update is not counted", minRounds, rounds)
	}
	dir, err := os.MkdirTemp("", "xdsbench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin := filepath.Join(dir, "xds-standin")
	if out, err := exec.Command("go", "build", "-o", bin, "./cmd/xds-standin").CombinedOutput(); err != nil {
		return fmt.Errorf("build cmd/xds-standin: %w: %s", err, out)
	}
	if flood {
		if err := measureFlood(bin, rounds); err != nil {
			return err
		}
	}
	for _, text := range strings.FieldsFunc(sizes, func(c rune) bool { return c == ',' }) {
		endpoints, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("-sizes: %w", err)
		}
		for _, delta := range []bool{false, true} {
			for _, perCluster := range []int{endpoints, 100} {
				run := updateRun{bin: bin, endpoints: endpoints, perCluster: perCluster, delta: delta, rounds: rounds}
				if err := run.measure(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
