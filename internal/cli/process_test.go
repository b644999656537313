package cli

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"cobaltward/internal/testkit"
)

// programVariable is the name of an environment variable. If the variable is set, the test binary runs the program,
// not the tests.
const programVariable = "WAYHOLD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(Main(Extensions{}))
	}
	os.Exit(m.Run())
}

// logBuffer stores the log output of a program. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// address returns the address on which the program listens. The result is empty until the program logs the address.
func (l *logBuffer) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	match := regexp.MustCompile(`msg=listening.* address=(\S+)`).FindSubmatch(l.text.Bytes())
	if match == nil {
		return ""
	}
	return string(match[1])
}

// programCommand returns a command that runs the program in a new process of the test binary.
func programCommand(environment []string, args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(append(os.Environ(), programVariable+"=1"), environment...)
	return command
}

// startProgram runs the program until the test ends. It returns the node's address once the node is ready.
func startProgram(t *testing.T, args ...string) (address string, command *exec.Cmd) {
	t.Helper()
	command = programCommand([]string{"ROUTER_CONFIG="}, args...)
	logs := &logBuffer{}
	command.Stderr = logs
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		if err := command.Wait(); err != nil {
			t.Errorf("the node ended with an error: %v", err)
		}
	})
	testkit.Await(t, "the node's address", func() bool { address = logs.address(); return address != "" })
	testkit.Await(t, "readiness", func() bool {
		status, err := get("http://" + address + "/health/ready")
		return err == nil && status == http.StatusOK
	})
	return address, command
}

// startInProcess runs the command line in this process. The channel ended receives the error of the command.
func startInProcess(args ...string) (ended <-chan error, logs *logBuffer) {
	result, logs := make(chan error, 1), &logBuffer{}
	go func() { // this goroutine ends when the command returns
		command := rootCommand(Extensions{})
		command.SetArgs(args)
		command.SetErr(logs)
		result <- command.Execute()
	}()
	return result, logs
}

// run executes the command line in this process, and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	command := rootCommand(Extensions{})
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	err := command.Execute()
	return out.String(), err
}

// get sends a GET request, and returns the status code of the response.
func get(url string) (status int, err error) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	status, _, err = do(request)
	return status, err
}

// do sends a request, and returns the status code and the body of the response.
func do(request *http.Request) (status int, body string, err error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(raw), err
}

// writeFile writes a file into a directory, and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// signalSelf sends a signal to this process.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
