package main

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/pki"
	"cobaltward/tools/internal/benchkit"
)

const (
	stubDelay     = time.Millisecond // delay of each response of a stub server
	readyInterval = 20 * time.Millisecond
	readyTimeout  = 10 * time.Second
)

// nodeProcess is a running daemon and its stub servers.
type nodeProcess struct {
	addr        string
	adminSocket string
	cmd         *exec.Cmd
	stopServers []func()
}

// startNode starts the daemon in front of stub servers, and returns once the node is ready. Each server closes the
// connection of every closeEvery-th request. If closeEvery is 0, the servers close no connections.
func (b *bench) startNode(servers int, closeEvery int64) (_ *nodeProcess, err error) {
	pair := b.authority.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, KeyKind: pki.P256})
	if _, _, err := b.writeCertificates(pki.P256); err != nil {
		return nil, err
	}
	started := &nodeProcess{adminSocket: b.path("door.sock")}
	defer func() {
		if err != nil {
			started.stop()
		}
	}()
	if started.addr, err = benchkit.FreeAddress(); err != nil {
		return nil, err
	}
	var serverAddrs []string
	for range servers {
		addr, stop, err := startStub(pair.TLS(), closeEvery)
		if err != nil {
			return nil, err
		}
		serverAddrs, started.stopServers = append(serverAddrs, addr), append(started.stopServers, stop)
	}
	file := b.path("own.toml")
	if err := os.WriteFile(file, b.nodeConfig(started, serverAddrs), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(b.daemon, "serve", "--config", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started.cmd = cmd
	url := "https://" + started.addr + "/health/ready"
	return started, benchkit.WaitReady(b.client(), url, readyInterval, readyTimeout)
}

func (b *bench) nodeConfig(process *nodeProcess, servers []string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "[[listen]]\naddress = %q\n", process.addr)
	text.WriteString("[[class]]\nname = \"read\"\nrepeat = \"free\"\naim = \"1s\"\ndeadline = \"5s\"\n")
	fmt.Fprintf(&text, "[door]\nsocket = %q\n[tls]\n", process.adminSocket)
	if b.cpuShare != 0 {
		fmt.Fprintf(&text, "share = %v\n", max(b.cpuShare, 0.01))
	}
	fmt.Fprintf(&text, "[[tls.servers]]\ntrust = %q\n[tls.clients]\ncert = %q\nkey = %q\n", rootsFile, certFile, keyFile)
	for i, addr := range servers {
		fmt.Fprintf(&text, "[[server]]\nid = \"s%d\"\naddress = %q\n", i, addr)
	}
	return []byte(text.String())
}

// stop shuts the daemon down, waits for its exit and stops the servers.
func (n *nodeProcess) stop() {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		_ = n.cmd.Wait()
	}
	for _, stop := range n.stopServers {
		stop()
	}
}

// tlsStatus reads the node's TLS counters from its admin API.
func (n *nodeProcess) tlsStatus() (status node.TLSStatus, err error) {
	client, base := adminapi.NewClient(n.adminSocket, "", nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get(base + "/tls")
	if err != nil {
		return status, err
	}
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, errors.Join(err, resp.Body.Close())
}

// startStub starts a stub server that uses TLS. The server closes the connection of every closeEvery-th request, or
// no connection if closeEvery is 0.
func startStub(cert tls.Certificate, closeEvery int64) (addr string, stop func(), err error) {
	ln, err := benchkit.ListenLoopback()
	if err != nil {
		return "", nil, err
	}
	var requests atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(stubDelay)
		if closeEvery > 0 && requests.Add(1)%closeEvery == 0 {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write([]byte("done"))
	})}
	secured := tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
	go func() { _ = server.Serve(secured) }()
	return ln.Addr().String(), func() { _ = server.Close() }, nil
}
