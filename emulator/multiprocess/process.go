package multiprocess

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxLogLines        = 400 // of each process
	leaseHistorySuffix = ".lease-requests"
)

// process is one process of the program, which may be started several times.
type process struct {
	harness       *Harness
	name          string
	role          string
	dir           string
	diskFaultFile string // while the file exists, writes to the disk fail

	lifecycle sync.Mutex // held during a start or a stop

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	address      string // empty while the process is down
	log          []string
	activeFaults int // that keep it down
}

func newProcess(h *Harness, name string) *process {
	role := roleAgent
	if isReplica(name) {
		role = roleReplica
	}
	return &process{harness: h, name: name, role: role, dir: h.path(name), diskFaultFile: h.path(name + ".bad")}
}

// configPath returns the path of the process's settings.
func (p *process) configPath() string { return p.harness.path(p.name + ".toml") }

var listeningLine = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// start starts the process, and waits until it listens.
func (p *process) start() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	command := p.harness.options.Command
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), p.environment()...)
	// The process ends with the harness, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	listening, exited := make(chan string, 1), make(chan struct{})
	p.harness.tasks.Go(func() {
		p.readLog(stderr, listening)
		_ = cmd.Wait() // the log shows how it ended
		p.setAddress("")
		close(exited)
	})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	select {
	case address := <-listening:
		p.setAddress(address)
		return nil
	case <-exited:
		return fmt.Errorf("%s exited before it listened", p.name)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s did not listen within %v", p.name, startTimeout)
	}
}

func (p *process) environment() []string {
	return []string{
		roleEnv + "=" + p.role,
		configEnv + "=" + p.configPath(),
		withoutEnv + "=" + p.harness.options.Without,
		leaseHistoryEnv + "=" + p.harness.path(p.name+leaseHistorySuffix),
		diskFaultEnv + "=" + p.diskFaultFile,
		"GOMAXPROCS=2",
	}
}

// readLog keeps the last lines of the process's log until its end, and sends the address on which it listens.
func (p *process) readLog(stderr io.Reader, listening chan<- string) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		if match := listeningLine.FindStringSubmatch(lines.Text()); match != nil {
			select {
			case listening <- match[1]:
			default:
			}
		}
		p.mu.Lock()
		p.log = append(p.log, fmt.Sprintf("%8.3f %s", p.harness.elapsed().Seconds(), lines.Text()))
		if len(p.log) > maxLogLines {
			p.log = p.log[1:]
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, stderr) // the rest, after a line that is too long for the scanner
}

// kill ends the process at once.
func (p *process) kill() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd, exited := p.running()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended by itself
	<-exited
}

// stop ends the process by a graceful shutdown.
func (p *process) stop() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd, exited := p.running()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-exited:
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// running returns the last command that was started, nil before the first, and the channel that its end closes.
func (p *process) running() (cmd *exec.Cmd, exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

func (p *process) signal(signal syscall.Signal) {
	if cmd, _ := p.running(); cmd != nil {
		_ = cmd.Process.Signal(signal) // it may have ended
	}
}

// pid returns the process identifier; 0 before the first start.
func (p *process) pid() int {
	cmd, _ := p.running()
	if cmd == nil {
		return 0
	}
	return cmd.Process.Pid
}

func (p *process) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// currentAddress returns the address on which the process listens; empty while it is down.
func (p *process) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// addFault adds to the number of faults that keep the process down, and returns the new number.
func (p *process) addFault(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeFaults += change
	return p.activeFaults
}

func (p *process) logLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.log)
}

// runCommand runs a command of the administrator's with the settings of a process, and returns its output.
func (h *Harness) runCommand(name string, arguments ...string) (string, error) {
	command := h.options.Command
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), roleEnv+"="+roleCommand, argumentsEnv+"="+strings.Join(arguments, "\n"),
		configEnv+"="+h.processes[name].configPath())
	output, err := cmd.CombinedOutput()
	return string(output), err
}
