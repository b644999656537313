package follow

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
	mostOutput = 4 << 10
	killAfter  = 5 * time.Second // SIGKILL after SIGTERM
)

// tail keeps the last bytes that are written to it.
type tail struct{ b bytes.Buffer }

func (t *tail) Write(p []byte) (int, error) {
	t.b.Write(p)
	if over := t.b.Len() - mostOutput; over > 0 {
		t.b.Next(over)
	}
	return len(p), nil
}

// run runs a command to its end, and returns its status and the end of what it printed. The command gets SIGKILL when
// this process dies, so that no orphan works on while the next process looks.
func run(ctx context.Context, words, env []string) (status int, out string, err error) {
	// The signal comes when the thread that began it dies; so that thread is kept until it has ended.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Env = append(os.Environ(), env...)
	var t tail
	cmd.Stdout, cmd.Stderr = &t, &t
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGTERM) }
	cmd.WaitDelay = killAfter
	err = cmd.Run()
	if ended := (*exec.ExitError)(nil); errors.As(err, &ended) && ended.ExitCode() >= 0 && ctx.Err() == nil {
		return ended.ExitCode(), t.b.String(), nil
	}
	return 0, t.b.String(), err
}
