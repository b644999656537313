package fleetcli

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// execute runs an operator's command with the replica at address, and returns the output of the command.
func execute(t *testing.T, address string, args ...string) (string, error) {
	t.Helper()
	files := keyFiles{t, t.TempDir()}
	token := files.write("token", []byte(testToken+"\n"))
	config := strings.Join([]string{
		"[fleet]",
		`name = "x"`,
		`listen = "127.0.0.1:0"`,
		fmt.Sprintf("address = %q", address),
		fmt.Sprintf("token_file = %q", token),
		fmt.Sprintf("dir = %q", filepath.Join(files.dir, "data")),
		fmt.Sprintf("council = [%q]", address),
	}, "\n")
	var out bytes.Buffer
	root := rootCommand(TestHooks{})
	root.SetOut(&out)
	root.SetArgs(append(args, "--config", files.write("own.toml", []byte(config))))
	err := root.Execute()
	return out.String(), err
}

// startLaggingReplica serves the status of a fake replica at position 7 with one node. The agent of the node reports
// position 6 in the first behindFor responses, and position 7 afterwards.
func startLaggingReplica(t *testing.T, behindFor int64) string {
	t.Helper()
	var requests atomic.Int64
	return testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		state := fleet.NewState(1).WithMembers(7, map[uint64]fleet.Member{1: {ID: 1, Name: "c1"}})
		state.Nodes = map[string]fleet.Node{"n1": {Name: "n1"}}
		report := consensus.AgentReport{Name: "n1", Position: 7, SeenAt: time.Now()}
		if requests.Add(1) <= behindFor {
			report.Position = 6
		}
		status := consensus.Status{Name: "c1", State: state, Reports: []consensus.AgentReport{report}}
		adminapi.WriteJSON(w, http.StatusOK, status)
	})
}

// TestWaitCommand_WaitsWithDefaultTimeout checks that without --for the command has the default timeout, not zero.
func TestWaitCommand_WaitsWithDefaultTimeout(t *testing.T) {
	out, err := execute(t, startLaggingReplica(t, 2), "wait")
	if err != nil {
		t.Errorf("the command failed: %v", err)
	}
	for _, want := range []string{"position 7: 0 of 1 nodes; behind: n1", "position 7: 1 of 1 nodes; behind: nothing"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output is %q, want it to contain %q", out, want)
		}
	}
}

func TestWaitCommand_TimeoutExitStatus(t *testing.T) {
	_, err := execute(t, startLaggingReplica(t, 1<<32), "wait", "9", "--for", "10ms")
	var exit exitError
	if !errors.As(err, &exit) || exit.status != exitTimeout {
		t.Errorf("got error %v, want one with exit status %d", err, exitTimeout)
	}
}

func TestWaitCommand_RejectsInvalidPosition(t *testing.T) {
	_, err := execute(t, startLaggingReplica(t, 0), "wait", "soon")
	if err == nil || !strings.Contains(err.Error(), `"soon"`) {
		t.Errorf("got error %v, want one that names the argument", err)
	}
}

// TestNewID_UniqueFasterThanClock checks that IDs are unique when they are created faster than the clock advances.
func TestNewID_UniqueFasterThanClock(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		id := newID("hold")
		if seen[id] {
			t.Fatalf("the ID %s was returned twice", id)
		}
		seen[id] = true
	}
}
