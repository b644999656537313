package multiprocess

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/testkit"
)

// hardCases are combinations of faults that a random schedule rarely contains.
var hardCases = []struct{ title, faults string }{
	{"the lease holder is paused for a lease, and for eight", `
[[fault]]
at = "1s"
for = "1s"
kind = "stop"
on = ["owner"]
[[fault]]
at = "4s"
for = "8s"
kind = "stop"
on = ["owner"]`},
	{"the lease holder is on the smaller side of a partition", `
[[fault]]
at = "1s"
for = "5s"
kind = "cut"
on = ["c4", "c5", "owner"]`},
	{"only responses are lost", `
[[fault]]
at = "1s"
for = "4s"
kind = "answers"
on = ["owner"]
[[fault]]
at = "6s"
for = "3s"
kind = "answers"
on = ["n1", "n2", "n3", "n4"]`},
	{"a leader receives all messages, and all that it sends are lost", `
[[fault]]
at = "1s"
for = "5s"
kind = "one_way"
on = ["leader"]`},
	{"all replicas crash at once", `
[[fault]]
at = "1500ms"
for = "2s"
kind = "kill"
on = ["c1", "c2", "c3", "c4", "c5"]
disk = "torn"`},
	{"the leader's clock jumps while the lease holder is partitioned", `
[[fault]]
at = "1s"
for = "4s"
kind = "cut"
on = ["owner"]
[[fault]]
at = "1500ms"
for = "1s"
kind = "jump"
on = ["leader"]`},
	{"the disks of replicas fail one after another", `
[[fault]]
at = "1s"
for = "1500ms"
kind = "sync"
on = ["c1"]
[[fault]]
at = "4s"
for = "1500ms"
kind = "sync"
on = ["c2", "c3"]`},
}

func TestHardCases_NoViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	for i, test := range hardCases {
		if i > 0 && !*runAllCases {
			break
		}
		t.Run(strings.ReplaceAll(test.title, " ", "_"), func(t *testing.T) {
			if *runAllCases {
				t.Parallel()
			}
			script, err := Parse([]byte("council = 5\nnodes = 4\nlength = \"9s\"\nat_once = 1\nneed = 3\n" + test.faults))
			if err != nil {
				t.Fatal(err)
			}
			script.Lease = *leaseDuration
			result := runScript(t, script)
			if len(result.Violations) > 0 || result.RollingUpdates == 0 {
				t.Errorf("violations: %v; rolling updates: %d", result.Violations, result.RollingUpdates)
				logRun(t, script, result)
			}
			t.Log(result)
		})
	}
}

// startHarness starts the processes of a script without injecting faults.
func startHarness(t *testing.T, script *Script) *Harness {
	t.Helper()
	script.Lease, script.Tick, script.MaxUnavailable = *leaseDuration, testTick, 1
	harness, err := Start(context.Background(), script, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(harness.Close)
	return harness
}

func (h *Harness) mustStart(t *testing.T, name string) {
	t.Helper()
	if err := h.processes[name].start(); err != nil {
		t.Fatal(err)
	}
}

func (h *Harness) mustStatus(t *testing.T, name string) (status consensus.Status) {
	t.Helper()
	err := h.Client().Call(context.Background(), http.MethodGet, canonicalAddress(name), "/status", nil, &status)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// updateToken returns the fencing token of the rolling-update lease, or 0 if no process holds the lease.
func updateToken(state *fleet.State) fleet.FencingToken {
	return state.Leases[fleet.ResourceRollingUpdate].FencingToken
}

// loseDisks restarts c1 and c2 with empty disks. It returns the path of a copy of c1's previous disk.
func loseDisks(t *testing.T, harness *Harness) (oldDisk string) {
	t.Helper()
	oldDisk = filepath.Join(harness.dir, "c1.old")
	harness.Kill("c1")
	if err := os.CopyFS(oldDisk, os.DirFS(harness.processes["c1"].dir)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"c1", "c2"} {
		harness.Kill(name)
		if err := harness.damageDisk(name, diskLost); err != nil {
			t.Fatal(err)
		}
		harness.mustStart(t, name)
	}
	return oldDisk
}

// recoverCluster starts a new cluster with the recover command at c3, and adds c1 and c2 to the new cluster.
func recoverCluster(t *testing.T, harness *Harness) {
	t.Helper()
	if output, err := harness.runCommand("c3", "recover"); err == nil || !strings.Contains(output, "--reason") {
		t.Errorf("recover without a reason succeeded, or did not ask for one: %v: %s", err, output)
	}
	harness.Kill("c3")
	if output, err := harness.runCommand("c3", "recover", "--reason", "two disks are lost"); err != nil {
		t.Fatalf("recover: %v: %s", err, output)
	}
	harness.mustStart(t, "c3")
	ctx, cancel := context.WithTimeout(context.Background(), testkit.MaxWait)
	defer cancel()
	for _, name := range []string{"c1", "c2"} {
		if err := harness.addMember(ctx, name); err != nil {
			t.Fatal(err)
		}
	}
}

// restoreDisk restarts c1 with its previous disk.
func restoreDisk(t *testing.T, harness *Harness, oldDisk string) {
	t.Helper()
	harness.Kill("c1")
	dir := harness.processes["c1"].dir
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(dir, os.DirFS(oldDisk)); err != nil {
		t.Fatal(err)
	}
	harness.mustStart(t, "c1")
}

// TestRecover_MajorityOfDisksLost checks that a cluster can be recovered after two of three replicas have lost their
// disks. The third replica must report that it has no leader, and must not start a new cluster by itself. The recover
// command starts a new cluster and requires a reason. Fencing tokens must keep increasing across the recovery. A
// replica with a disk of the former cluster must not make the new leader step down.
func TestRecover_MajorityOfDisksLost(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	harness, ctx := startHarness(t, &Script{Seed: 1, Replicas: 3, Nodes: 2}), context.Background()
	testkit.Await(t, "a lease holder", func() bool {
		state, _ := harness.State(ctx)
		return updateToken(state) != 0
	})
	before, _ := harness.State(ctx)
	oldDisk := loseDisks(t, harness)
	testkit.Await(t, "the third replica to be without a leader", func() bool {
		status := harness.mustStatus(t, "c3")
		return status.LeaderID == "" && status.LeaderlessFor > time.Second
	})
	for _, name := range []string{"c1", "c2"} {
		if status := harness.mustStatus(t, name); status.IsMember || status.LeaderID != "" {
			t.Errorf("%s has an empty disk, but is a member or has a leader: %+v", name, status)
		}
	}
	recoverCluster(t, harness)
	testkit.Await(t, "a lease holder under a higher token", func() bool {
		state, hasLeader := harness.State(ctx)
		return hasLeader && state.Epoch == before.Epoch+1 &&
			updateToken(state) > before.HighestTokens[fleet.ResourceRollingUpdate]
	})
	if state, _ := harness.State(ctx); len(state.Nodes) != 2 || state.Position <= before.Position {
		t.Errorf("the new cluster did not continue from the old state: %+v", state)
	}
	restoreDisk(t, harness, oldDisk)
	testkit.Await(t, "c1 to stay without a leader", func() bool {
		return harness.mustStatus(t, "c1").LeaderlessFor > time.Second
	})
	if state, hasLeader := harness.State(ctx); !hasLeader || state.Epoch != before.Epoch+1 {
		t.Errorf("a replica of the former cluster unseated the leader; has leader: %v", hasLeader)
	}
}

// TestDisabledServers_AtAllNodesUntilExpiry checks that a server that the administrator disables is disabled at all
// nodes. The command must report the number of nodes. The disable order must expire at its time even while
// no replica runs.
func TestDisabledServers_AtAllNodesUntilExpiry(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	harness := startHarness(t, &Script{Seed: 1, Replicas: 3, Nodes: 3})
	output, err := harness.runCommand("n1", "hold", "s-7", "--for", "5m", "--wait", "30s",
		"--reason", "it answers wrongly", "--id", "h")
	if err != nil || !strings.Contains(output, "h: in force at 3 of 3 nodes") {
		t.Fatalf("hold: %v: %s", err, output)
	}
	if count := harness.NodesDisabling("s-7"); count != 3 {
		t.Errorf("the server is disabled at %d nodes, want 3", count)
	}
	if output, err = harness.runCommand("n1", "lift", "h"); err != nil {
		t.Errorf("lift: %v: %s", err, output)
	}
	testkit.Await(t, "the server to be enabled", func() bool { return harness.NodesDisabling("s-7") == 0 })
	output, err = harness.runCommand("n1", "hold", "--zone", "bystrica", "--for", "7s", "--reason", "its link")
	if err != nil {
		t.Errorf("hold of a zone: %v: %s", err, output)
	}
	testkit.Await(t, "the servers of a zone to be disabled", func() bool {
		return harness.NodesDisabling("b-1") == 3 && harness.NodesDisabling("b-2") == 3
	})
	for _, name := range []string{"c1", "c2", "c3"} {
		harness.Kill(name)
	}
	testkit.Await(t, "the order to end", func() bool {
		return harness.NodesDisabling("b-1")+harness.NodesDisabling("b-2") == 0
	})
	output, err = harness.runCommand("n1", "hold", "s-7", "--for", "6s", "--reason", "again")
	if err == nil || !strings.Contains(output, "no replica reported the outcome") {
		t.Errorf("hold without replicas: %v: %s", err, output)
	}
}
