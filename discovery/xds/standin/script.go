package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	maxLineLength = 16 << 20       // maximum length of a line, in bytes
	logTimeFormat = "15:04:05.000" // format of the times in the output of Run
)

// Script is a sequence of steps for a control plane. docs/xds.md describes the steps.
type Script struct{ steps []step }

// step is one line of a script.
type step struct {
	line int
	text string
	do   action
}

// action executes a step.
type action func(ctx context.Context, run *scriptRun) error

// scriptRun is the state of one run of a script.
type scriptRun struct {
	controlPlane *ControlPlane
	out          io.Writer
	staged       []proto.Message // resources for the next push
}

// ParseScript parses a script with one step per line. # starts a comment. Errors name the line.
func ParseScript(in io.Reader) (*Script, error) {
	script := &Script{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineLength)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		text = strings.TrimSpace(text)
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		parse, ok := stepParsers[words[0]]
		if !ok {
			return nil, fmt.Errorf("line %d: %s: no such step", n, words[0])
		}
		do, err := parse(stepArgs{words[1:], strings.TrimSpace(strings.TrimPrefix(text, words[0]))})
		if err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", n, words[0], err)
		}
		script.steps = append(script.steps, step{n, text, do})
	}
	return script, lines.Err()
}

// Run executes the script on a control plane. It writes each step to out before it executes the step. If an
// expectation is not met, Run returns an error that names the line.
func (s *Script) Run(ctx context.Context, controlPlane *ControlPlane, out io.Writer) error {
	run := &scriptRun{controlPlane: controlPlane, out: out}
	for _, step := range s.steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		now := time.Now().Format(logTimeFormat)
		if _, err := fmt.Fprintf(out, "%s line %d: %.100s\n", now, step.line, step.text); err != nil {
			return err
		}
		if err := step.do(ctx, run); err != nil {
			return fmt.Errorf("line %d: %s: %w", step.line, step.text, err)
		}
	}
	return nil
}

// sleep waits until d has passed. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
