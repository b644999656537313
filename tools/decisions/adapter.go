package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

const (
	// maxReplyLine is the maximum length of a line of a reply, in bytes.
	maxReplyLine = 1 << 20

	// endOfReply is the line that ends each reply.
	endOfReply = `["yield"]`
)

// adapter is a running adapter process of one build. It reads each reply completely before it writes the next batch.
type adapter struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func startAdapter(path string) (*adapter, error) {
	started := &adapter{cmd: exec.Command(path)}
	started.cmd.Stderr = os.Stderr
	out, err := started.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started.out = bufio.NewScanner(out)
	started.out.Buffer(nil, maxReplyLine)
	if started.in, err = started.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	return started, started.cmd.Start()
}

// send writes a batch and returns the lines of its reply.
func (a *adapter) send(batch string) ([]string, error) {
	if _, err := io.WriteString(a.in, batch); err != nil {
		return nil, err
	}
	var reply []string
	for a.out.Scan() {
		if a.out.Text() == endOfReply {
			return reply, nil
		}
		reply = append(reply, a.out.Text())
	}
	return nil, fmt.Errorf("adapter exited before it completed a reply: %w", errors.Join(a.out.Err(), io.ErrUnexpectedEOF))
}

// stop closes the adapter's input, which makes the adapter exit, and waits for the exit.
func (a *adapter) stop() {
	_ = a.in.Close()
	_ = a.cmd.Wait() // the exit status doesn't matter: the replies have been compared
}
