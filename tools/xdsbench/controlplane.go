package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
)

// maxBufferedLines is the maximum number of unread lines of a control plane's output that are buffered.
const maxBufferedLines = 1 << 16

// controlPlane is a running xds-standin process and its output.
type controlPlane struct {
	addr  string
	cmd   *exec.Cmd
	lines chan string
}

func startControlPlane(bin, script string) (*controlPlane, error) {
	plane := &controlPlane{cmd: exec.Command(bin, "-"), lines: make(chan string, maxBufferedLines)}
	plane.cmd.Stdin, plane.cmd.Stderr = strings.NewReader(script), os.Stderr
	out, err := plane.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := plane.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { // returns when the process ends
		defer close(plane.lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			plane.lines <- in.Text()
		}
	}()
	if plane.addr, err = plane.await("listening "); err != nil {
		plane.stop()
		return nil, err
	}
	return plane, nil
}

// await skips lines up to the next line that contains text, and returns the rest of that line after text.
func (p *controlPlane) await(text string) (string, error) {
	for line := range p.lines {
		if _, rest, ok := strings.Cut(line, text); ok {
			return rest, nil
		}
	}
	return "", fmt.Errorf("control plane ended before it printed %q", text)
}

func (p *controlPlane) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has already ended
	_ = p.cmd.Wait()
}
