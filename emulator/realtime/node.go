package realtime

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/router"
)

const (
	startTimeout   = 20 * time.Second // timeout for a started process to listen, and then for the node to be ready
	readyInterval  = 10 * time.Millisecond
	requestTimeout = time.Second // timeout for readiness and admin requests to a node
	maxLogLines    = 200         // maximum number of log lines kept of a node
)

// node is one instance of the router. It runs in its own process.
type node struct {
	rehearsal *rehearsal
	index     int
	spec      *plan.Node
	agent     Agent

	mu          sync.Mutex
	addr        string
	cmd         *exec.Cmd
	exited      chan struct{}
	killed      bool // true if a fault or the end of the run killed the node; any other exit is a failure
	incarnation int
	up          bool
	log         []string // last maxLogLines lines
}

// listening matches the log line that contains a node's address.
var listening = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// addNode adds and starts a node with its discovery agent and its HTTP client.
func (r *rehearsal) addNode(ctx context.Context, index int) error {
	n := &node{rehearsal: r, index: index, spec: &r.plan.Nodes[index]}
	var endpoints []Endpoint
	for _, s := range r.servers {
		endpoints = append(endpoints, s.endpoint(index, PhaseUp))
	}
	newAgent := NewAgent(startAgent)
	if r.plan.Script.Discovery.Protocol == protocolXDS {
		newAgent = r.options.NewControlPlane
	}
	var err error
	n.agent, err = newAgent(r.dir, endpoints, func(id string, available bool) {
		r.observer.endpointUpdated(n.spec.Name, id, available)
	})
	if err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	r.clients = append(r.clients, &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}})
	return n.start(ctx)
}

// start starts the process and waits until the node is ready.
func (n *node) start(ctx context.Context) error {
	configPath, nodeConfigPath, err := n.writeConfigs()
	if err != nil {
		return err
	}
	command := n.rehearsal.options.Command
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "WAYHOLD_CONFIG="+nodeConfigPath,
		"ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=", "GOMAXPROCS=")
	logs, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	addrs, exited := make(chan string, 1), make(chan struct{})
	n.rehearsal.tasks.Go(func() { n.followLog(cmd, logs, addrs, exited) })
	n.mu.Lock()
	n.cmd, n.exited, n.killed = cmd, exited, false
	n.mu.Unlock()
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	select {
	case addr := <-addrs:
		return n.awaitReady(ctx, addr)
	case <-exited:
		return fmt.Errorf("start node %s: process exited; log: %s", n.spec.Name, n.lastLogLine())
	case <-timeout.C:
		return fmt.Errorf("start node %s: not listening after %v; log: %s", n.spec.Name, startTimeout, n.lastLogLine())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeConfigs writes the node's platform configuration and the node's own configuration.
func (n *node) writeConfigs() (configPath, nodeConfigPath string, err error) {
	r := n.rehearsal
	endpoints, revision := n.agent.Snapshot()
	n.mu.Lock()
	listen, incarnation := n.addr, n.incarnation
	n.mu.Unlock()
	if listen == "" {
		listen = fmt.Sprintf("127.10.%d.%d:0", n.index/200, n.index%200+1)
	}
	config, err := platformConfig(r.plan, platformOptions{
		node: n.index, listen: listen, discovery: n.agent.Addr(),
		endpoints: endpoints, revision: revision, incarnation: incarnation,
	})
	if err != nil {
		return "", "", err
	}
	configPath = filepath.Join(r.dir, n.spec.Name+".json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return "", "", err
	}
	ownConfig := nodeConfig(r.plan, n.agent.NodeConfig()) + r.options.Levels + n.adminConfig()
	nodeConfigPath = filepath.Join(r.dir, n.spec.Name+".toml")
	return configPath, nodeConfigPath, os.WriteFile(nodeConfigPath, []byte(ownConfig), 0o600)
}

// followLog reads the log of a process to its end. It sends the process's listening address to addrs. It reports an
// exit that the run did not cause.
func (n *node) followLog(cmd *exec.Cmd, logs io.Reader, addrs chan<- string, exited chan<- struct{}) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if match := listening.FindStringSubmatch(lines.Text()); match != nil {
			select {
			case addrs <- match[1]:
			default:
			}
		}
		n.mu.Lock()
		if n.log = append(n.log, lines.Text()); len(n.log) > maxLogLines {
			n.log = n.log[1:]
		}
		n.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, logs) // drains the log if the scanner stopped at a line that is too long
	err := cmd.Wait()
	n.mu.Lock()
	crashed := !n.killed
	n.up = false
	n.mu.Unlock()
	close(exited)
	if crashed {
		n.rehearsal.fail(fmt.Errorf("node %s exited unexpectedly: %w; log ends with %q", n.spec.Name, err, n.lastLogLine()))
	}
}

// adminConfig returns the table that enables the node's admin API, which reports the level of reduced service. The
// table is empty if the node has no levels.
func (n *node) adminConfig() string {
	if n.rehearsal.options.Levels == "" {
		return ""
	}
	return fmt.Sprintf("\n[door]\nsocket = %q\n", n.adminSocket())
}

func (n *node) adminSocket() string { return filepath.Join(n.rehearsal.dir, n.spec.Name+".sock") }

// level returns the node's level of reduced service; ok is false if the node doesn't answer.
func (n *node) level() (level result.Level, ok bool) {
	client, baseURL := n.rehearsal.options.AdminClient(n.adminSocket())
	defer client.CloseIdleConnections()
	client.Timeout = requestTimeout
	response, err := client.Get(baseURL + "/level")
	if err != nil {
		return result.Level{}, false
	}
	defer func() { _ = response.Body.Close() }()
	var status router.LevelStatus
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&status) != nil {
		return result.Level{}, false
	}
	return result.Level{Level: status.Level, Demand: status.Demand, Slow: status.Slow}, true
}

// awaitReady waits until the node at addr is ready, and then marks the node as up.
func (n *node) awaitReady(ctx context.Context, addr string) error {
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readyInterval) {
		response, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n.mu.Lock()
			n.addr, n.up = addr, true
			n.mu.Unlock()
			return nil
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("start node %s: not ready after %v", n.spec.Name, startTimeout))
}

func (n *node) lastLogLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.log) == 0 {
		return ""
	}
	return n.log[len(n.log)-1]
}

// kill kills the process and waits for it to end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.killed, n.up = true, false
	n.incarnation++
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails only if the process has already ended
	<-exited
}

// state returns the node's address, whether the node is up, and the number of times it has been killed.
func (n *node) state() (addr string, up bool, incarnation int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr, n.up, n.incarnation
}
