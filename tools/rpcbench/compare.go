package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const compareHeader = "in flight  body    | HTTP: µs CPU, allocs, calls/s, p50, p99 | RPC, 1 connection | " +
	"RPC, 16 connections | CPU ratio 1, 16"

// variant is one way of calling a node.
type variant struct {
	protocol  string
	servers   []string
	conns     int
	newCaller func(addr string, conns int) (call caller, closeConns func())
}

// compare prints a line for each size of a body and number of calls in flight. The ratios of CPU refer to the
// first variant.
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

// measureVariants returns each variant's samples, one a round; the variants take turns.
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

// measure measures a fresh node.
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

// formatLine has of each variant the sample whose CPU time is the median.
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
