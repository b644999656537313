package fleetcli

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// startUpdatingReplica serves a fake replica that accepts every proposal. The job "r" is open in the first openFor
// status responses of the replica and closed afterwards.
func startUpdatingReplica(t *testing.T, openFor int64) string {
	t.Helper()
	var requests atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/propose", func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, consensus.ProposeResponse{Position: 5})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		job := &fleet.Job{ID: "r", Command: fleet.CommandRun, Spec: fleet.JobSpec{Kind: fleet.JobRollingUpdate}}
		if requests.Add(1) > openFor {
			job.CloseReason = fleet.ClosedDone
		}
		state := fleet.NewState(1).WithMembers(5, nil)
		state.Nodes = map[string]fleet.Node{"n1": {Name: "n1"}, "n2": {Name: "n2"}}
		state.Jobs = map[string]*fleet.Job{"r": job}
		adminapi.WriteJSON(w, http.StatusOK, consensus.Status{Name: "c1", State: state})
	})
	return testkit.HTTPServer(t, mux.ServeHTTP)
}

// TestStartCommand_WaitsWithDefaultTimeout checks that with --wait and without --for the command has the default
// timeout, not zero.
func TestStartCommand_WaitsWithDefaultTimeout(t *testing.T) {
	out, err := execute(t, startUpdatingReplica(t, 3), "round", "start", "--id", "r", "--wait")
	if err != nil {
		t.Errorf("the command failed: %v", err)
	}
	for _, want := range []string{"agreed on at position 5", "r: 2 nodes", "round go: 0 of 0", "round done: 0 of 0"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output is %q, want it to contain %q", out, want)
		}
	}
}

func TestStartCommand_RejectsNodes(t *testing.T) {
	address := startUpdatingReplica(t, 0)
	for _, test := range []struct {
		name  string
		nodes []string
		want  string
	}{
		{"an unknown node", []string{"n1", "n7"}, `unknown node "n7"; known are n1 n2`},
		{"a node named twice", []string{"n1", "n1"}, "n1 is named twice"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := execute(t, address, append([]string{"round", "start"}, test.nodes...)...)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}

// TestCommands_RequireReason checks that the commands that revoke a lease, disable servers or force a new cluster
// require --reason.
func TestCommands_RequireReason(t *testing.T) {
	address := startUpdatingReplica(t, 0)
	for _, words := range [][]string{{"push", "round"}, {"hold", "s1"}, {"recover"}} {
		t.Run(words[0], func(t *testing.T) {
			_, err := execute(t, address, words...)
			if err == nil || !strings.Contains(err.Error(), "--reason") {
				t.Errorf("got error %v, want one that names --reason", err)
			}
		})
	}
}
