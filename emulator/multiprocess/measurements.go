package multiprocess

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuTick is the unit in which the kernel reports the CPU time of processes.
const cpuTick = 10 * time.Millisecond

var errUnknownFormat = errors.New("unknown format")

// Kill kills a process without a graceful shutdown.
func (h *Harness) Kill(name string) { h.processes[name].kill() }

// Restart starts a process again after Kill.
func (h *Harness) Restart(name string) error { return h.processes[name].start() }

// Signal sends a signal to a process.
func (h *Harness) Signal(name string, signal syscall.Signal) { h.processes[name].signal(signal) }

// NodesDisabling returns the number of nodes at which a server is disabled.
func (h *Harness) NodesDisabling(server string) int { return h.checker.countNodesDisabling(server) }

// SendTraffic sends requests to the real nodes until the context ends.
func (h *Harness) SendTraffic(ctx context.Context) { h.traffic.run(ctx) }

// Latencies returns the latencies of the requests served since the last call, sorted.
func (h *Harness) Latencies() []time.Duration {
	h.traffic.mu.Lock()
	defer h.traffic.mu.Unlock()
	latencies := h.traffic.latencies
	h.traffic.latencies = nil
	slices.Sort(latencies)
	return latencies
}

// ProxyAddresses returns the addresses of the proxies through which a process reaches other processes, by canonical
// address. The addresses stay the same when the other processes restart.
func (h *Harness) ProxyAddresses(name string) map[string]string {
	addresses := make(map[string]string)
	for ends, proxy := range h.proxies {
		if ends.from == name {
			addresses[canonicalAddress(ends.to)] = proxy.address
		}
	}
	return addresses
}

// Usage is the memory and the CPU time that a process uses.
type Usage struct {
	Anonymous int64 // bytes of memory that no file backs, such as the heap
	Resident  int64 // bytes of resident memory, including file-backed pages
	CPU       time.Duration
}

// Usage returns the current memory use of a process and its CPU time so far.
func (h *Harness) Usage(name string) (usage Usage, err error) {
	pid := h.processes[name].pid()
	if err := usage.readMemory(pid); err != nil {
		return usage, fmt.Errorf("read the memory of %s: %w", name, err)
	}
	if usage.CPU, err = readCPU(pid); err != nil {
		return usage, fmt.Errorf("read the CPU time of %s: %w", name, err)
	}
	return usage, nil
}

func (u *Usage) readMemory(pid int) error {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "RssAnon:" && fields[0] != "VmRSS:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return err
		}
		if fields[0] == "RssAnon:" {
			u.Anonymous = kilobytes << 10
		} else {
			u.Resident = kilobytes << 10
		}
	}
	return nil
}

func readCPU(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	const user, system = 11, 12 // field indexes after the command name
	stat := string(raw)
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("%w: %q", errUnknownFormat, stat)
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return time.Duration(ticks) * cpuTick, nil
}
