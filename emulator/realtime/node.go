package realtime

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/internal/adminapi"
	"cobaltward/router"
)

const (
	readyWithin = 20 * time.Second
	readyEvery  = 10 * time.Millisecond
	logKept     = 200 // lines of a node's log
)

// node is one instance of the router: a process of its own.
type node struct {
	w     *world
	index int
	spec  *plan.Node
	agent Agent

	mu     sync.Mutex
	addr   string
	cmd    *exec.Cmd
	exited chan struct{}
	killed bool // by the script
	lives  int  // that the script has ended
	up     bool
	log    []string
}

var listening = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// start runs the process, and waits until it is ready.
func (n *node) start(ctx context.Context) error {
	known, revision := n.agent.Known()
	n.mu.Lock()
	addr, life := n.addr, n.lives
	n.mu.Unlock()
	listen := addr
	if listen == "" {
		listen = fmt.Sprintf("127.10.%d.%d:0", n.index/200, n.index%200+1)
	}
	config, err := configOf(n.w.p, n.index, listen, n.agent.Addr(), known, revision, life)
	if err != nil {
		return err
	}
	path := filepath.Join(n.w.dir, n.spec.Name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	own := filepath.Join(n.w.dir, n.spec.Name+".toml")
	if err := os.WriteFile(own, []byte(operatorOf(n.w.p, n.agent.Operator())+n.w.o.Levels+n.door()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(n.w.o.Command[0], n.w.o.Command[1:]...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "WAYHOLD_CONFIG="+own, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=", "GOMAXPROCS=")
	logs, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	found, exited := make(chan string, 1), make(chan struct{})
	n.w.parts.Go(func() {
		lines := bufio.NewScanner(logs)
		for lines.Scan() {
			if m := listening.FindStringSubmatch(lines.Text()); m != nil {
				select {
				case found <- m[1]:
				default:
				}
			}
			n.mu.Lock()
			if n.log = append(n.log, lines.Text()); len(n.log) > logKept {
				n.log = n.log[1:]
			}
			n.mu.Unlock()
		}
		_, _ = io.Copy(io.Discard, logs) // a line too long to scan
		err := cmd.Wait()
		n.mu.Lock()
		crashed := !n.killed
		n.up = false
		n.mu.Unlock()
		close(exited)
		if crashed {
			n.w.fail(fmt.Errorf("live: node %s ended by itself: %w; its log ends with %q", n.spec.Name, err, n.lastLine()))
		}
	})
	n.mu.Lock()
	n.cmd, n.exited, n.killed = cmd, exited, false
	n.mu.Unlock()
	select {
	case addr = <-found:
	case <-exited:
		return fmt.Errorf("live: node %s did not start: %s", n.spec.Name, n.lastLine())
	case <-time.After(readyWithin):
		return fmt.Errorf("live: node %s never listened: %s", n.spec.Name, n.lastLine())
	case <-ctx.Done():
		return ctx.Err()
	}
	return n.awaitReady(ctx, addr)
}

// door is the table by which the level of service is asked for; empty where there are none.
func (n *node) door() string {
	if n.w.o.Levels == "" {
		return ""
	}
	return fmt.Sprintf("\n[door]\nsocket = %q\n", n.sock())
}

func (n *node) sock() string { return filepath.Join(n.w.dir, n.spec.Name+".sock") }

// level asks for the level of service; ok is false while the node does not answer.
func (n *node) level() (l result.Level, ok bool) {
	c, base := adminapi.NewClient(n.sock(), "", nil)
	defer c.CloseIdleConnections()
	c.Timeout = time.Second
	resp, err := c.Get(base + "/level")
	if err != nil {
		return l, false
	}
	defer resp.Body.Close()
	var st router.LevelStatus
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&st) != nil {
		return l, false
	}
	return result.Level{Level: st.Level, Demand: st.Demand, Slow: st.Slow}, true
}

func (n *node) awaitReady(ctx context.Context, addr string) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyWithin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readyEvery) {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.mu.Lock()
			n.addr, n.up = addr, true
			n.mu.Unlock()
			return nil
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("live: node %s never became ready", n.spec.Name))
}

func (n *node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.log) == 0 {
		return ""
	}
	return n.log[len(n.log)-1]
}

// kill ends the process at once, and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.killed, n.up = true, false
	n.lives++
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails only once it has ended
	<-exited
}

// state is where the node is reached, whether it lives, and how often the script has ended it.
func (n *node) state() (addr string, up bool, lives int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr, n.up, n.lives
}
