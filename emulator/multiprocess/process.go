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
	maxLogLines        = 400 // maximum number of log lines kept for each process
	leaseHistorySuffix = ".lease-requests"
)

// process is a named process of the run. It can be killed and started again.
type process struct {
	harness       *Harness
	name          string
	role          string
	dir           string
	diskFaultFile string // writes to storage fail while the file exists

	lifecycle sync.Mutex // held while the process is being started or stopped

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	address      string // empty while the process is down
	log          []string
	activeFaults int // number of faults that keep the process down
}

func newProcess(h *Harness, name string) *process {
	role := roleAgent
	if isReplica(name) {
		role = roleReplica
	}
	return &process{harness: h, name: name, role: role, dir: h.path(name), diskFaultFile: h.path(name + ".bad")}
}

// configPath returns the path of the process's settings file.
func (p *process) configPath() string { return p.harness.path(p.name + ".toml") }

var listeningLine = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// start starts the process and waits until it listens.
func (p *process) start() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	command := p.harness.options.Command
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), p.environment()...)
	// The kernel kills the process when the harness ends, even if the harness crashes.
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
		_ = cmd.Wait() // the log shows why the process ended
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
		disabledSafeguardsEnv + "=" + p.harness.options.SkipGuards,
		leaseHistoryEnv + "=" + p.harness.path(p.name+leaseHistorySuffix),
		diskFaultEnv + "=" + p.diskFaultFile,
		"GOMAXPROCS=2",
	}
}

// readLog reads the process's log to its end and keeps the last lines. It sends the process's listening address to
// listening.
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
	_, _ = io.Copy(io.Discard, stderr) // drains the output after a line that is too long for the scanner
}

// kill kills the process and waits for it to end.
func (p *process) kill() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd, exited := p.lastCommand()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails if the process has ended by itself
	<-exited
}

// stop shuts the process down gracefully. If the shutdown takes longer than startTimeout, stop kills the process.
func (p *process) stop() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd, exited := p.lastCommand()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended by itself
	select {
	case <-exited:
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// lastCommand returns the last started command, or nil before the first start. The channel closes when the command's
// process ends.
func (p *process) lastCommand() (cmd *exec.Cmd, exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

func (p *process) signal(signal syscall.Signal) {
	if cmd, _ := p.lastCommand(); cmd != nil {
		_ = cmd.Process.Signal(signal) // fails if the process has ended
	}
}

// pid returns the process ID; 0 before the first start.
func (p *process) pid() int {
	cmd, _ := p.lastCommand()
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

// currentAddress returns the address on which the process listens; empty while the process is down.
func (p *process) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// adjustActiveFaults adds change to the number of faults that keep the process down. It returns the new number.
func (p *process) adjustActiveFaults(change int) int {
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

// runCommand runs an administrator's command with the settings of a process. It returns the command's output.
func (h *Harness) runCommand(name string, arguments ...string) (string, error) {
	command := h.options.Command
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), roleEnv+"="+roleCommand, argumentsEnv+"="+strings.Join(arguments, "\n"),
		configEnv+"="+h.processes[name].configPath())
	output, err := cmd.CombinedOutput()
	return string(output), err
}
