package agent

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

const (
	maxOutput = 4 << 10         // maximum bytes kept from the end of a command's output
	killDelay = 5 * time.Second // time from SIGTERM to SIGKILL
)

// tailBuffer keeps the last maxOutput bytes that are written to it.
type tailBuffer struct{ buffer bytes.Buffer }

// Write implements io.Writer.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.buffer.Write(p)
	if surplus := t.buffer.Len() - maxOutput; surplus > 0 {
		t.buffer.Next(surplus)
	}
	return len(p), nil
}

// runCommand runs the command line words with env added to the environment. It returns the exit status and the end of
// the output. If ctx is done first, the command gets SIGTERM, and SIGKILL after killDelay. The command also gets
// SIGKILL when this process dies. Without that signal, an orphaned command could still run while the next process
// verifies the outcome.
func runCommand(ctx context.Context, words, env []string) (status int, output string, err error) {
	// Pdeathsig is sent when the thread that started the command dies. This goroutine therefore keeps its thread
	// until the command has ended.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	command := exec.CommandContext(ctx, words[0], words[1:]...)
	command.Env = append(os.Environ(), env...)
	var tail tailBuffer
	command.Stdout, command.Stderr = &tail, &tail
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGTERM) }
	command.WaitDelay = killDelay
	err = command.Run()
	var exited *exec.ExitError
	if errors.As(err, &exited) && exited.ExitCode() >= 0 && ctx.Err() == nil {
		return exited.ExitCode(), tail.buffer.String(), nil
	}
	return 0, tail.buffer.String(), err
}
