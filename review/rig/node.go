package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"
)

// class is a request class in the settings.
type class struct {
	name, repeat     string
	aim, deadline    int // milliseconds
	window           int // milliseconds
	lateWorth, value float64
}

// classes are those of the example in WIRE-wayhold.md.
var classes = []class{
	{"hladanie", "free", 600, 3000, 5000, 0.2, 1},
	{"rezervacia", "single_shot", 500, 1500, 5000, 0.25, 1},
	{"zrusenie", "guarded", 1000, 4000, 4000, 0.3, 1},
}

type object = map[string]any

// settings returns the settings of the example in WIRE-wayhold.md, for a deployment of one node and one zone.
func settings() object {
	var services []object
	for _, c := range classes {
		services = append(services, object{
			"aim": c.aim, "deadline": c.deadline, "group": "all", "lateWorth": c.lateWorth, "name": c.name,
			"repeat": c.repeat, "stream": false, "value": c.value, "window": c.window,
		})
	}
	return object{
		"charges": object{"connection": 0, "crossZone": 0.12, "handshake": 0, "lateFail": 0.05, "moves": 0, "origin": 0,
			"peer": 0, "probe": 0, "registryMode": 0, "waste": 0.04},
		"clients":    object{"marksRetry": true},
		"familyInfo": object{"warmKeys": false},
		"groupSize":  1,
		"guarantees": object{"cold": 8400, "coldShare": 0.34, "drainGrace": 500, "fallMultiple": 3, "graceToAnswer": 20,
			"mustAskIn": 10000, "overloadFor": 1000},
		"kinds": []string{"vykonny-4j", "usporny-4j"},
		"limits": object{"cancelling": true, "connIdle": 60000, "connectTimeout": 250, "cpuUsPerRequest": 0,
			"cpuUsPerS": 400000, "maxAttempts": 5, "maxOpen": 20000, "maxRetryAfter": 2000, "peerMessages": false,
			"probes": false, "retryAfter": true, "secondCopies": true, "streamsPerConn": 1},
		"localities":     []string{"bystrica"},
		"objectiveMix":   object{"whole": 0.4, "worstClass": 0.1, "worstTenant": 0.4, "worstWindow": 0.1},
		"overShareWorth": 0.05,
		"position":       0,
		"registryMode":   "automatic",
		"report":         object{"fields": []string{}, "how": "none"},
		"serviceType":    "proxy",
		"services":       services,
		"tenants":        []object{{"fraction": 1, "name": "dielna-bystrica", "quotaRps": 400}},
		"tick":           5, "tier": 0, "tiers": []string{"zasadacky-web"},
		"weightSource": "rough", "worthBy": "request", "zone": "bystrica",
	}
}

// freePort returns a loopback address with a port that was free a moment ago.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// runCommand returns the command run of the deploy file.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = (".*")$`).FindSubmatch(raw)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line run")
	}
	return strconv.Unquote(string(found[1]))
}

// node is a node process, started with the run command of the deploy file.
type node struct {
	listen string
	cmd    *exec.Cmd
	exited chan struct{}
}

// startNode starts a node with the run command and waits until it is ready. operatorFile names the operator's own
// file; empty: there is none.
func startNode(root, dir, discovery string, known object, operatorFile string) (*node, error) {
	listen, err := freePort()
	if err != nil {
		return nil, err
	}
	config, err := json.MarshalIndent(object{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": "", "peers": []string{}, "peers_all": "",
		"known": known, "settings": settings(),
	}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "node.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	n := &node{listen: listen, exited: make(chan struct{})}
	n.cmd = exec.Command("/bin/sh", "-c", command)
	n.cmd.Dir = root
	n.cmd.Env = append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery,
		"ROUTER_CONFIG="+path, "TMPDIR="+tmp)
	if operatorFile != "" {
		n.cmd.Env = append(n.cmd.Env, "WAYHOLD_CONFIG="+operatorFile)
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	atExit(n.kill)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return n, nil
		}
	}
	return nil, fmt.Errorf("the node was not ready within 15 s; see node.log")
}

// running returns an error if the process has ended.
func (n *node) running() error {
	select {
	case <-n.exited:
		return fmt.Errorf("the node has ended: %v", n.cmd.ProcessState)
	default:
		return nil
	}
}

// kill ends the process if it still runs.
func (n *node) kill() {
	select {
	case <-n.exited:
	default:
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}
