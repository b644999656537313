package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const compareHeader = "in flight  body    | HTTP: µs CPU, allocs, calls/s, p50, p99 | RPC, 1 connection | " +
	"RPC, 16 connections | CPU ratio 1, 16"

// variant is a protocol and a number of connections for calls to a node.
type variant struct {
	protocol  string
	servers   []string
	conns     int
	newCaller func(addr string, conns int) (call caller, closeConns func())
}

// compare prints a line for each body size and number of calls in flight. The CPU ratios are relative to the first
// variant.
func compare(length time.Duration, rounds int, inFlight, bodies []int, profile string) error {
	httpServers, err := startServers(serveHTTP)
	if err != nil {
		return err
	}
	msgpackServers, err := startServers(serveMsgpack)
	if err != nil {
		return err
	}
	fmt.Println(compareHeader)
	for _, size := range bodies {
		for _, n := range inFlight {
			variants := []variant{
				{protocolHTTP, httpServers, n, newHTTPCaller},
				{protocolMsgpack, msgpackServers, 1, newMsgpackCaller},
				{protocolMsgpack, msgpackServers, 16, newMsgpackCaller},
			}
			samples, err := measureVariants(variants, rounds, n, size, length, profile)
			if err != nil {
				return err
			}
			fmt.Println(formatLine(n, size, samples))
		}
	}
	return nil
}

// measureVariants returns one sample per round for each variant. Each round measures every variant once.
func measureVariants(
	variants []variant, rounds, inFlight, size int, length time.Duration, profile string,
) ([][]sample, error) {
	samples := make([][]sample, len(variants))
	for range rounds {
		for i, variant := range variants {
			result, err := variant.measure(inFlight, size, length, profile)
			if err != nil {
				return nil, err
			}
			samples[i] = append(samples[i], result)
		}
	}
	return samples, nil
}

// measure starts a new node and measures the node under the given load.
func (v variant) measure(inFlight, size int, length time.Duration, profile string) (sample, error) {
	node, err := startNode(v.protocol, profile, v.servers)
	if err != nil {
		return sample{}, err
	}
	defer node.stop()
	call, closeConns := v.newCaller(node.addr, v.conns)
	defer closeConns()
	return measure(node, call, inFlight, size, length)
}

// formatLine returns a line of the report. For each variant, the line has the sample with the median CPU time.
func formatLine(inFlight, size int, samples [][]sample) string {
	var line strings.Builder
	fmt.Fprintf(&line, "%9d %6d ", inFlight, size)
	cpu := make([]float64, len(samples))
	for i, all := range samples {
		slices.SortFunc(all, func(a, b sample) int { return int(1000 * (a.cpu - b.cpu)) })
		median := all[len(all)/2]
		cpu[i] = median.cpu
		fmt.Fprintf(&line, "| %5.1f %5.1f %6.0f %7v %8v", median.cpu, median.allocs, median.rate,
			median.p50.Round(10*time.Microsecond), median.p99.Round(10*time.Microsecond))
		if median.failed > 0 {
			fmt.Fprintf(&line, " (%d not served)", median.failed)
		}
	}
	fmt.Fprintf(&line, " | %.2f %.2f", cpu[1]/cpu[0], cpu[2]/cpu[0])
	return line.String()
}
