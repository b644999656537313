package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cobaltward/internal/testkit"
)

// nodeProcess is a node that runs as a separate process until the test ends.
type nodeProcess struct {
	t       *testing.T
	command *exec.Cmd
	addr    string        // address for clients
	logPath string        // file that receives the standard error of the process
	exited  chan struct{} // closed once the process has exited
}

// startNode runs command as a node with the given configuration, and waits until the node is ready.
func startNode(t *testing.T, command *exec.Cmd, config string) *nodeProcess {
	t.Helper()
	dir := t.TempDir()
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	node := &nodeProcess{t: t, command: command, logPath: filepath.Join(dir, "log"), exited: make(chan struct{})}
	log, err := os.Create(node.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own copy of the descriptor
	command.Env = append(os.Environ(), nodeEnv+"=1", "ROUTER_CONFIG="+configPath, "TMPDIR="+dir)
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = command.Wait() // any exit status is allowed
		close(node.exited)
	}()
	t.Cleanup(func() {
		node.signal(syscall.SIGKILL)
		<-node.exited
	})
	testkit.Await(t, "the node to listen", node.readAddr)
	testkit.Await(t, "the node to be ready", node.isReady)
	return node
}

// readAddr reads the node's address from its log, and reports whether the log contains it.
func (n *nodeProcess) readAddr() (found bool) {
	raw, _ := os.ReadFile(n.logPath)
	_, rest, found := strings.Cut(string(raw), "msg=listening")
	if !found {
		return false
	}
	_, rest, _ = strings.Cut(rest, "address=")
	n.addr, _, found = strings.Cut(rest, " ")
	return found
}

func (n *nodeProcess) isReady() bool {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // an error no longer matters: the response was read
	write(conn, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	head := make([]byte, len("HTTP/1.1 200"))
	read, _ := conn.Read(head)
	return string(head[:read]) == "HTTP/1.1 200"
}

// signal sends a signal to the process, unless it has exited.
func (n *nodeProcess) signal(s syscall.Signal) {
	select {
	case <-n.exited:
	default:
		_ = n.command.Process.Signal(s) // fails if the process has just exited
	}
}
