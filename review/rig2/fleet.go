package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// fleet is a consensus group of three replicas, with agents beside nodes.
type fleet struct {
	w        *world
	token    string            // path of the file with the bearer token
	addrs    []string          // of the replicas
	configs  map[string]string // paths of the processes' files, by name
	replicas map[string]*process
	agents   map[string]*process
}

// newFleet starts the replicas c1, c2 and c3.
func (w *world) newFleet() *fleet {
	f := &fleet{
		w: w, token: w.writeFile("token", "0123456789abcdef0123456789abcdef\n"), configs: make(map[string]string),
		replicas: make(map[string]*process), agents: make(map[string]*process),
	}
	for range 3 {
		f.addrs = append(f.addrs, w.freeAddr("127.0.0.1"))
	}
	for i, addr := range f.addrs {
		name := fmt.Sprintf("c%d", i+1)
		f.configs[name] = w.writeFile(name+".toml", f.table(name, addr, ""))
	}
	f.command("init", "c1")
	f.startReplica("c1")
	f.await("c1 leads", 20*time.Second, func(s string) bool { return contains(s, "c1 leads") })
	for i, name := range []string{"c2", "c3"} {
		f.startReplica(name)
		f.until("member add "+name, 20*time.Second, func() error {
			_, err := f.run("member", "add", name, f.addrs[i+1], "--config", f.configs["c1"])
			return err
		})
		f.await(name+" follows", 20*time.Second, func(s string) bool { return contains(s, name+" follows") })
	}
	return f
}

// table returns the table [fleet] of a process.
func (f *fleet) table(name, addr, more string) string {
	quoted, _ := json.Marshal(f.addrs)
	return fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\ntoken_file = %q\ndir = %q\ncouncil = %s\n%s",
		name, addr, f.token, filepath.Join(f.w.dir, "fleet-"+name), quoted, more)
}

func (f *fleet) startReplica(name string) {
	f.replicas[name] = f.w.start(name, nil, "wayhold-fleet", "council", "--config", f.configs[name])
}

// startAgent starts the agent of the node name. more has further keys of the table [fleet], and the table [door].
func (f *fleet) startAgent(name, more string) {
	if f.configs[name] == "" {
		f.configs[name] = f.w.writeFile("agent-"+name+".toml", f.table(name, f.w.freeAddr("127.0.0.1"), more))
	}
	f.agents[name] = f.w.start("agent "+name, nil, "wayhold-fleet", "agent", "--config", f.configs[name])
}

// killAlone ends the process itself at once, and none that it has started.
func (p *process) killAlone() {
	_ = syscall.Kill(p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.done
}

// run runs a command of the operator, and returns its output.
func (f *fleet) run(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.w.root, "bin", "wayhold-fleet"), args...)
	cmd.Env = append(os.Environ(), "USER=operator")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// command runs a command with the file of the process name, and ends the case if it fails.
func (f *fleet) command(command, name string, args ...string) string {
	out, err := f.run(append(append(strings.Fields(command), args...), "--config", f.configs[name])...)
	if err != nil {
		f.w.fail("%s: %v: %s", command, err, out)
	}
	return out
}

// until repeats do until it succeeds.
func (f *fleet) until(what string, limit time.Duration, do func() error) {
	var last error
	f.w.await(what, limit, func() bool {
		last = do()
		if last != nil {
			time.Sleep(200 * time.Millisecond)
		}
		return last == nil
	})
}

// await waits until the output of status fulfils a condition.
func (f *fleet) await(what string, limit time.Duration, met func(status string) bool) {
	f.w.await(what, limit, func() bool {
		out, _ := f.run("status", "--config", f.configs["c1"])
		if !met(out) {
			time.Sleep(200 * time.Millisecond)
			return false
		}
		return true
	})
}

// viewOf returns the status as the replica name alone tells it.
func (f *fleet) viewOf(name string) string {
	path := f.configs["view of "+name]
	if path == "" {
		raw, err := os.ReadFile(f.configs[name])
		if err != nil {
			f.w.fail("%v", err)
		}
		all, _ := json.Marshal(f.addrs)
		own, _ := json.Marshal([]string{f.addrs[name[1]-'1']})
		path = f.w.writeFile("view-"+name+".toml", strings.Replace(string(raw), string(all), string(own), 1))
		f.configs["view of "+name] = path
	}
	out, _ := f.run("status", "--config", path)
	return out
}

// startFleetNode starts a node with an admin API, and its agent. It returns the address for clients.
func (f *fleet) startFleetNode(name string, known []member, more string) (listen string) {
	socket := filepath.Join(f.w.dir, name+".sock")
	listen = f.w.freeAddr("127.0.0.1")
	f.w.startNode("node "+name, nodeConfig{
		program: "wayhold", listen: listen, discovery: "127.0.0.1:9", known: known,
		own: fmt.Sprintf("[door]\nsocket = %q\n", socket),
	})
	f.startAgent(name, more+fmt.Sprintf("[door]\nsocket = %q\n", socket))
	return listen
}
