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
	maxOutput = 4 << 10
	killDelay = 5 * time.Second // SIGKILL after SIGTERM
)

// tailBuffer keeps the last bytes that are written to it.
type tailBuffer struct{ b bytes.Buffer }

func (t *tailBuffer) Write(p []byte) (int, error) {
	t.b.Write(p)
	if over := t.b.Len() - maxOutput; over > 0 {
		t.b.Next(over)
	}
	return len(p), nil
}

// runCommand runs a command to its end, and returns its status and the end of what it printed. The command gets SIGKILL when
// this process dies, so that no orphan works on while the next process looks.
func runCommand(ctx context.Context, words, env []string) (status int, out string, err error) {
	// The signal comes when the thread that began it dies; so that thread is kept until it has ended.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Env = append(os.Environ(), env...)
	var t tailBuffer
	cmd.Stdout, cmd.Stderr = &t, &t
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGTERM) }
	cmd.WaitDelay = killDelay
	err = cmd.Run()
	if ended := (*exec.ExitError)(nil); errors.As(err, &ended) && ended.ExitCode() >= 0 && ctx.Err() == nil {
		return ended.ExitCode(), t.b.String(), nil
	}
	return 0, t.b.String(), err
}
