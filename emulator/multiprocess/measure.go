package multiprocess

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
)

// What measurements do to a rig and read of it, beside scripts.

// State is the newest state that any member tells of; nil where none answers. led says that one of them leads.
func (g *Rig) State(ctx context.Context) (s *fleet.State, led bool) { return g.look(ctx) }

// Client is one that no fault of links meets, with the addresses of now.
func (g *Rig) Client() *agent.Client { return g.direct() }

// Address is that under which the processes know one another.
func (g *Rig) Address(name string) string { return canonical(name) }

// Kill ends a process at once, and Revive starts it again.
func (g *Rig) Kill(name string) { g.procs[name].kill() }

// Revive starts a process that was killed.
func (g *Rig) Revive(name string) error { return g.procs[name].start() }

// Signal sends one to a process.
func (g *Rig) Signal(name string, s syscall.Signal) { g.procs[name].signal(s) }

// Begin puts a fault of links in force, until Lift with the same number.
func (g *Rig) Begin(n int, f Fault) { g.begin(n, f) }

// Lift ends a fault of links.
func (g *Rig) Lift(n int) { g.lift(n) }

// Held is at how many nodes a server is held out.
func (g *Rig) Held(server string) int { return g.court.holds(server) }

// Traffic sends requests to real nodes until ctx ends.
func (g *Rig) Traffic(ctx context.Context) { g.traffic.run(ctx) }

// Latencies are those of the requests answered since the last call, sorted.
func (g *Rig) Latencies() []time.Duration {
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	all := g.traffic.took
	g.traffic.took = nil
	slices.Sort(all)
	return all
}

// Usage is the memory that a process holds in bytes (its own pages, and all) and the CPU it has used.
func (g *Rig) Usage(name string) (own, all int64, cpu time.Duration, err error) {
	p := g.procs[name]
	p.mu.Lock()
	pid := 0
	if p.cmd != nil {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64) // of the lines looked for it is a number
		switch f[0] {
		case "RssAnon:":
			own = kb << 10
		case "VmRSS:":
			all = kb << 10
		}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return own, all, 0, err
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const tick = 10 * time.Millisecond // of the kernel's clock for processes
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return own, all, time.Duration(user+system) * tick, nil
}

// Via is where the relays of a process are reached: they stay where they are through restarts of who is asked.
func (g *Rig) Via(name string) map[string]string {
	via := make(map[string]string)
	for key, r := range g.relays {
		if key[0] == name {
			via[canonical(key[1])] = r.addr
		}
	}
	return via
}
