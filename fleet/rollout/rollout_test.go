package rollout

import (
	"slices"
	"testing"
	"time"

	"cobaltward/fleet"
)

const (
	testArtifact = "settings"
	testToken    = fleet.FencingToken(9)
)

// testState returns a state with the nodes a and b and one artifact.
func testState(artifact fleet.Artifact) *fleet.State {
	artifact.Name, artifact.Current.Digest = testArtifact, "v1"
	state := fleet.NewState(1)
	state.Nodes = map[string]fleet.Node{"a": {Name: "a"}, "b": {Name: "b"}}
	state.Artifacts = map[string]*fleet.Artifact{testArtifact: &artifact}
	return state
}

func nodesActingOn(versions ...string) map[string]NodeStatus {
	nodes := make(map[string]NodeStatus)
	for i, version := range versions {
		nodes[string(rune('a'+i))] = NodeStatus{Versions: VersionVector{testArtifact: version}}
	}
	return nodes
}

var (
	nextVersion     = fleet.Version{Digest: "v2", Position: 5}
	retiringVersion = fleet.Version{Digest: "v0", Position: 4}
)

// nextTests are rollouts and the entries that Next must return for them.
var nextTests = []struct {
	name     string
	artifact fleet.Artifact
	digest   string // digest of the version that the job introduces
	command  fleet.JobCommand
	view     View
	want     fleet.Entry // expected kind, digest, argument and outcome; zero: nothing is proposed
}{
	{"first stage", fleet.Artifact{}, "v2", fleet.CommandRun, View{}, fleet.Entry{Kind: fleet.KindPromoteVersion}},
	{"paused", fleet.Artifact{}, "v2", fleet.CommandPause, View{}, fleet.Entry{}},
	{
		"waits for the first stage",
		fleet.Artifact{Next: &nextVersion, NextNodes: []string{"a"}},
		"v2", fleet.CommandRun,
		View{Nodes: nodesActingOn("v1", "v1")},
		fleet.Entry{},
	},
	{
		"next stage",
		fleet.Artifact{Next: &nextVersion, NextNodes: []string{"a"}},
		"v2", fleet.CommandRun,
		View{Nodes: nodesActingOn("v2", "v1")},
		fleet.Entry{Kind: fleet.KindPromoteVersion, Argument: 1},
	},
	{
		"does not wait for a straggler",
		fleet.Artifact{Next: &nextVersion, NextNodes: []string{"a"}},
		"v2", fleet.CommandRun,
		View{Nodes: map[string]NodeStatus{"a": {Straggler: true}}},
		fleet.Entry{Kind: fleet.KindPromoteVersion, Argument: 1},
	},
	{
		"retires the former version",
		fleet.Artifact{Next: &nextVersion, NextEverywhere: true},
		"v2", fleet.CommandRun,
		View{Nodes: nodesActingOn("v2", "v2")},
		fleet.Entry{Kind: fleet.KindRetireVersion, Digest: "v1"},
	},
	{
		"waits for the retired version",
		fleet.Artifact{Retiring: &retiringVersion},
		"v1", fleet.CommandRun,
		View{},
		fleet.Entry{},
	},
	{
		"clears the retired version",
		fleet.Artifact{Retiring: &retiringVersion},
		"v1", fleet.CommandRun,
		View{Cleared: retiringVersion},
		fleet.Entry{Kind: fleet.KindClearVersion, Digest: "v0", Argument: 4},
	},
	{"done", fleet.Artifact{}, "v1", fleet.CommandRun, View{}, fleet.Entry{Kind: fleet.KindCloseJob, Outcome: "done"}},
	{
		"rollback retires the next version",
		fleet.Artifact{Next: &nextVersion},
		"v2", fleet.CommandRollBack,
		View{},
		fleet.Entry{Kind: fleet.KindRetireVersion, Digest: "v2"},
	},
	{
		"a rollback reason rolls back",
		fleet.Artifact{Next: &nextVersion},
		"v2", fleet.CommandRun,
		View{RollbackReason: "worse"},
		fleet.Entry{Kind: fleet.KindRetireVersion, Digest: "v2"},
	},
	{
		"rollback closes the job",
		fleet.Artifact{},
		"v2", fleet.CommandRollBack,
		View{},
		fleet.Entry{Kind: fleet.KindCloseJob, Outcome: "back"},
	},
}

func TestNext_OfRollout(t *testing.T) {
	for _, test := range nextTests {
		t.Run(test.name, func(t *testing.T) {
			job := &fleet.Job{ID: "j", Command: test.command, Spec: fleet.JobSpec{
				Kind:          fleet.JobRollout,
				Artifact:      testArtifact,
				Digest:        test.digest,
				Stages:        [][]string{{"a"}},
				MaxStragglers: 1,
			}}
			got, ok := Next(job, testState(test.artifact), testToken, test.view)
			if ok != (test.want.Kind != "") {
				t.Fatalf("the holder proposes %+v (%v), want %+v", got, ok, test.want)
			}
			if !ok {
				return
			}
			if got.Kind != test.want.Kind || got.Digest != test.want.Digest || got.Argument != test.want.Argument {
				t.Errorf("the holder proposes %+v, want %+v", got, test.want)
			}
			if got.Outcome != test.want.Outcome || got.FencingToken != testToken || got.JobID != "j" {
				t.Errorf("the holder proposes %+v, want %+v with the token and ID of the test", got, test.want)
			}
		})
	}
}

func TestNext_OfClosedJob(t *testing.T) {
	job := &fleet.Job{ID: "j", CloseReason: fleet.ClosedDone, Spec: fleet.JobSpec{Artifact: testArtifact, Digest: "v2"}}
	if entry, ok := Next(job, testState(fleet.Artifact{}), testToken, View{}); ok {
		t.Errorf("the holder proposes %+v for a closed job", entry)
	}
}

func TestAllows_VersionsOfNode(t *testing.T) {
	artifact := fleet.Artifact{Next: &fleet.Version{Digest: "v2"}, NextNodes: []string{"a"}}
	state := testState(artifact)
	for _, test := range []struct {
		node, version string
		want          bool
	}{
		{"a", "v1", true},
		{"a", "v2", true},
		{"b", "v1", true},
		{"b", "v2", false},
		{"b", "v3", false},
	} {
		t.Run(test.node+" "+test.version, func(t *testing.T) {
			if got := Allows(state, test.node, VersionVector{testArtifact: test.version}); got != test.want {
				t.Errorf("allowed %v, want %v", got, test.want)
			}
		})
	}
	if desired := DesiredVersions(state, "a"); desired[testArtifact] != "v2" {
		t.Errorf("the desired versions of node a are %v, want v2 of the test artifact", desired)
	}
}

func TestStragglers_DescribesNodesOnOtherVersions(t *testing.T) {
	state := testState(fleet.Artifact{Next: &fleet.Version{Digest: "v2"}, NextNodes: []string{"a"}})
	want := []string{"a: settings v1, should be v2", "b: has no valid version lease, and accepts no work"}
	if got := Stragglers(state, nodesActingOn("v1")); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestVersionLease_CountsFromRequest(t *testing.T) {
	lease := VersionLease{Duration: 3 * time.Second}
	desired := VersionVector{testArtifact: "v1"}
	if _, ok := lease.Valid(0); ok {
		t.Error("a lease is valid before any was granted")
	}
	versions, ok := lease.NextRequest(0, desired)
	if !ok {
		t.Fatal("no lease is requested before any was granted")
	}
	lease.HandleResult(0, 2*time.Second, versions, true)
	if got, ok := lease.Valid(3*time.Second - 1); !ok || got[testArtifact] != "v1" {
		t.Errorf("just before its end the lease is for %v (%v), want v1 of the test artifact", got, ok)
	}
	if _, ok := lease.Valid(3 * time.Second); ok {
		t.Error("the lease is valid for longer than its duration after the request")
	}
}

// TestVersionLease_OfOtherVersionsReplacesFormer checks that a lease of other versions replaces the current lease at
// once, even if its answer is late and leaves less time. A repeated answer to an earlier request must not bring back
// the former versions.
func TestVersionLease_OfOtherVersionsReplacesFormer(t *testing.T) {
	lease := VersionLease{Duration: 3 * time.Second}
	first, _ := lease.NextRequest(0, VersionVector{testArtifact: "v1"})
	lease.HandleResult(0, 0, first, true)
	second, ok := lease.NextRequest(time.Second/2, VersionVector{testArtifact: "v2"})
	if !ok {
		t.Fatal("a lease of other versions is not requested at once")
	}
	lease.HandleResult(time.Second/2, time.Second, second, true)
	if got, ok := lease.Valid(time.Second); !ok || got[testArtifact] != "v2" {
		t.Errorf("the lease is for %v (%v), want v2 of the test artifact", got, ok)
	}
	lease.HandleResult(0, time.Second, first, true) // a repeated answer
	if got, _ := lease.Valid(time.Second); got[testArtifact] != "v2" {
		t.Errorf("a repeated answer changes the versions of the lease to %v", got)
	}
}

func TestRetirementTracker_ClearsAfterLastLease(t *testing.T) {
	tracker := RetirementTracker{LeaseDuration: 4 * time.Second}
	retired := fleet.Version{Digest: "v0", Position: 4}
	state := testState(fleet.Artifact{Retiring: &retired})
	tracker.Observe(state, time.Second)
	tracker.Observe(state, 2*time.Second) // the same retirement must not restart the wait
	if got := tracker.Cleared(testArtifact, 6*time.Second-1); got != (fleet.Version{}) {
		t.Errorf("%v is cleared while a lease of it may be valid", got)
	}
	if got := tracker.Cleared(testArtifact, 6*time.Second); got != retired {
		t.Errorf("%v is cleared, want %v", got, retired)
	}
	tracker.Observe(testState(fleet.Artifact{}), 7*time.Second)
	if got := tracker.Cleared(testArtifact, time.Minute); got != (fleet.Version{}) {
		t.Errorf("%v is cleared although no version is retired", got)
	}
}
