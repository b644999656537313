package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world has what a case has started, and its record.
type world struct {
	trouble bool   // whether the disruption takes place
	root    string // root of the project
	dir     string // temporary folder
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closed    bool
}

func newWorld(folder string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, root: filepath.Dir(filepath.Dir(folder)), dir: dir, began: time.Now(), record: record}
	w.note("disruption: %v", trouble)
	return w, nil
}

// note adds a line to the record, with the milliseconds since the start of the case.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%9.1f %s\n", float64(time.Since(w.began).Microseconds())/1000, fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

// at returns the milliseconds from the start of the case to t.
func (w *world) at(t time.Time) float64 { return float64(t.Sub(w.began).Microseconds()) / 1000 }

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// process is a program of the project that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has ended
	state string        // how it has ended; valid once done is closed

	mu       sync.Mutex
	out      bytes.Buffer
	pushedAt []time.Time // when the control plane has told each of its changes
}

// Write implements io.Writer for the output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range bytes.Count(b, []byte("pushed ")) {
		p.pushedAt = append(p.pushedAt, time.Now())
	}
	return p.out.Write(b)
}

// output returns what the process has written so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// start starts bin/PROGRAM with the given arguments, by the command run of the deploy file with that program in place of
// the node's.
func (w *world) start(name string, env []string, program string, args ...string) *process {
	if _, err := os.Stat(filepath.Join(w.root, "bin", program)); err != nil {
		w.fail("%s is not built: %v", program, err)
	}
	command := strings.Replace(w.deployRun(), "bin/wayhold", "bin/"+program, 1)
	for _, arg := range args {
		command += " '" + arg + "'"
	}
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir = w.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		w.fail("%s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		p.state = p.cmd.ProcessState.String()
		close(p.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.note("started %s: %s (pid %d)", name, program, p.cmd.Process.Pid)
	return p
}

// deployRun returns the command run of the deploy file.
func (w *world) deployRun() string {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		w.fail("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if command, found := strings.CutPrefix(line, "run = \""); found {
			return strings.TrimSuffix(command, "\"")
		}
	}
	w.fail("deploy/balancer.toml has no run")
	return ""
}

// kill ends the process at once, and waits for its end.
func (p *process) kill() {
	if p.ended() {
		return
	}
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// noteOutput adds the lines of the output that contain one of words to the record.
func (w *world) noteOutput(p *process, words ...string) {
	for _, line := range strings.Split(p.output(), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				w.note("%s says: %s", p.name, strings.ReplaceAll(line, w.root+"/", ""))
				break
			}
		}
	}
}

// await waits until done returns true, and ends the case after limit.
func (w *world) await(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.fail("%s: not within %v", what, limit)
		}
	}
}

// freeAddr returns an unused address on the loopback address host.
func (w *world) freeAddr(host string) string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		w.fail("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// writeFile writes a file into the temporary folder, and returns its path.
func (w *world) writeFile(name, text string) string {
	path := filepath.Join(w.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.fail("%v", err)
	}
	return path
}

// nodeConfig has what differs between the nodes of the cases.
type nodeConfig struct {
	listen, discovery string
	known             []member
	cores             string // 1.0 if empty
	program           string // bin/wayhold-xds if empty
	own               string // the operator's own file
}

// settings are those of a small deployment: 500 ms of grace for drains, retries, no second copies.
const settings = `{"position":0,"groupSize":3,"registryMode":"automatic","zone":"z1","localities":["z1"],
 "services":[
  {"name":"search","aim":600,"deadline":3000,"repeat":"free","group":"all","window":5000,"lateWorth":0.2,"value":1},
  {"name":"booking","aim":500,"deadline":1500,"repeat":"single_shot","group":"all","window":5000,"lateWorth":0.2,"value":1},
  {"name":"cancel","aim":1000,"deadline":3000,"repeat":"guarded","group":"cell","window":4000,"lateWorth":0.2,"value":1}],
 "tenants":[{"name":"desk","quotaRps":3000,"fraction":1}],
 "limits":{"cancelling":true,"secondCopies":false,"probes":false,"retryAfter":true,"maxAttempts":5,
  "maxRetryAfter":2000,"connIdle":60000,"connectTimeout":250},
 "guarantees":{"graceToAnswer":50,"drainGrace":500,"coldShare":0.34,"cold":8400,"fallMultiple":3,"overloadFor":1000}}`

// startNode starts a node, and waits until it is ready.
func (w *world) startNode(name string, config nodeConfig) *process {
	p := w.startNodeUnready(name, config)
	w.await(name+" is ready", 20*time.Second, func() bool {
		if p.ended() {
			w.noteOutput(p, "")
			w.fail("%s has ended: %s", name, p.state)
		}
		return isReady(config.listen)
	})
	w.note("%s is ready at %s", name, config.listen)
	return p
}

// startNodeUnready starts a node.
func (w *world) startNodeUnready(name string, config nodeConfig) *process {
	known, err := json.Marshal(list{Revision: 1, Complete: true, Members: config.known})
	if err != nil {
		w.fail("%v", err)
	}
	platform := w.writeFile(name+".json", fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":%s,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		config.listen, config.discovery, cmp.Or(config.cores, "1.0"), known, settings))
	own := w.writeFile(name+".toml", config.own)
	program := config.program
	if program == "" {
		program = "wayhold-xds"
	}
	return w.start(name, []string{"ROUTER_CONFIG=" + platform, "WAYHOLD_CONFIG=" + own}, program)
}

func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// bootstrap writes the bootstrap file for a control plane at addr, and returns its path.
func (w *world) bootstrap(addr string) string {
	return w.writeFile("bootstrap.json", fmt.Sprintf(
		`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}]}],"node":{"id":"n1"}}`, addr))
}

// startControlPlane starts bin/xds-standin with a script. It returns the process and its address.
func (w *world) startControlPlane(listen, script string) (*process, string) {
	path := w.writeFile("control-plane.txt", script)
	args := []string{path}
	if listen != "" {
		args = append(args, "--listen", listen)
	}
	p := w.start("control plane", nil, "xds-standin", args...)
	addr := ""
	w.await("the control plane listens", 20*time.Second, func() bool {
		_, after, found := strings.Cut(p.output(), "listening ")
		if !found || !strings.Contains(after, "\n") {
			return false
		}
		addr, _, _ = strings.Cut(after, "\n")
		return true
	})
	return p, addr
}

// pushes returns the times at which the control plane has said that it put changes in force.
func (p *process) pushes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.pushedAt)
}

// wallMillis returns the time in milliseconds since 1970, by the control plane's word.
func (p *process) wallMillis() int64 {
	pushes := p.pushes()
	_, after, found := strings.Cut(p.output(), "pushed ")
	var nanos int64
	if _, err := fmt.Sscanf(after, "%d", &nanos); !found || err != nil || len(pushes) == 0 {
		return 0
	}
	return nanos/int64(time.Millisecond) + time.Since(pushes[0]).Milliseconds()
}
