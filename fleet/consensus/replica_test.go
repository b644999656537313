package consensus

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/internal/testkit"
)

const testTick = 10 * time.Millisecond

// startReplica starts a replica on new storage with the contents that rewrite returns. The replica stops when the
// test ends.
func startReplica(t *testing.T, rewrite func(PersistentState) (PersistentState, error)) *Replica {
	t.Helper()
	dir := t.TempDir()
	if err := RewriteStorage(dir, rewrite); err != nil {
		t.Fatal(err)
	}
	storage, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Name: "c1", Address: "127.0.0.1:1", Tick: testTick, Log: slog.New(slog.DiscardHandler)}
	replica, err := Start(config, storage)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := replica.Close(); err != nil {
			t.Error(err)
		}
	})
	return replica
}

// startLeader starts the only replica of a cluster, and waits until it is the leader.
func startLeader(t *testing.T) *Replica {
	t.Helper()
	replica := startReplica(t, func(persisted PersistentState) (PersistentState, error) {
		return Bootstrap(fleet.Member{ID: persisted.ID, Name: "c1", Address: "127.0.0.1:1"}), nil
	})
	testkit.Await(t, "the replica to know of a leader", func() bool { return replica.Status().LeaderID != "" })
	return replica
}

// startNonMember starts a replica that is not a member of any cluster.
func startNonMember(t *testing.T) *Replica {
	t.Helper()
	return startReplica(t, func(persisted PersistentState) (PersistentState, error) { return persisted, nil })
}

func grantTo(holder string) fleet.Entry {
	return fleet.Entry{Kind: fleet.KindGrantLease, Resource: "w", Holder: holder, LeaseDuration: time.Minute}
}

func TestReplica_ProposeReturnsOutcome(t *testing.T) {
	replica := startLeader(t)
	granted, err := replica.Propose(t.Context(), grantTo("a/1"))
	if err != nil || granted.Err != nil || granted.FencingToken == 0 {
		t.Fatalf("the first grant: result %+v, error %v", granted, err)
	}
	rejected, err := replica.Propose(t.Context(), grantTo("b/1"))
	if err != nil || !errors.Is(rejected.Err, fleet.ErrConflict) {
		t.Errorf("a grant to another holder: result %+v, error %v, want a conflict", rejected, err)
	}
	if state := replica.View().State; state.Leases["w"].Holder != "a/1" || state.Position != rejected.Position {
		t.Errorf("the state has another holder or position: %s", state.Marshal())
	}
}

func TestReplica_WithoutLeader(t *testing.T) {
	replica := startNonMember(t)
	if _, err := replica.Propose(t.Context(), grantTo("a/1")); !errors.Is(err, ErrNoLeader) {
		t.Errorf("a proposal: %v, want %v", err, ErrNoLeader)
	}
	if status := replica.Status(); status.IsMember || status.LeaderID != "" {
		t.Errorf("a replica that is no member has the status %+v", status)
	}
}

func TestReplica_RejectsProposalsWhenStopped(t *testing.T) {
	replica := startLeader(t)
	if err := replica.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := replica.Propose(t.Context(), grantTo("a/1")); !errors.Is(err, ErrStopped) {
		t.Errorf("a proposal: %v, want %v", err, ErrStopped)
	}
}

// failingStorage is storage whose Save always fails.
type failingStorage struct{ Storage }

var errSave = errors.New("no space left on device")

// Save implements Storage.
func (failingStorage) Save(*WriteBatch) error { return errSave }

func TestReplica_StopsWhenStorageFails(t *testing.T) {
	dir := t.TempDir()
	err := RewriteStorage(dir, func(persisted PersistentState) (PersistentState, error) {
		return Bootstrap(fleet.Member{ID: persisted.ID, Name: "c1"}), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	storage, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Name: "c1", Tick: testTick, Log: slog.New(slog.DiscardHandler)}
	replica, err := Start(config, failingStorage{storage})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-replica.Done():
	case <-time.After(testkit.MaxWait):
		t.Error("the replica did not stop after its storage failed")
	}
	if err := replica.Close(); !errors.Is(err, errSave) {
		t.Errorf("the replica stopped with error %v, want %v", err, errSave)
	}
}

func TestReplica_RejectsMembershipChanges(t *testing.T) {
	replica := startLeader(t)
	for _, test := range []struct {
		name   string
		member fleet.Member
		remove bool
	}{
		{"removal of an unknown member", fleet.Member{ID: 9}, true},
		{"removal of the last member", fleet.Member{ID: replica.ID()}, true},
		{"addition of a member", fleet.Member{ID: replica.ID()}, false},
		{"addition of a learner with the name of a member", fleet.Member{ID: 9, Name: "c1", Learner: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := replica.ChangeMembership(t.Context(), test.member, test.remove)
			var membershipErr *MembershipError
			if !errors.As(err, &membershipErr) {
				t.Errorf("got %v, want a *MembershipError", err)
			}
		})
	}
}

func TestReplica_AddsOneLearnerAtATime(t *testing.T) {
	replica := startLeader(t)
	first := fleet.Member{ID: 9, Name: "c2", Address: "127.0.0.1:2", Learner: true}
	if _, err := replica.ChangeMembership(t.Context(), first, false); err != nil {
		t.Fatal(err)
	}
	if got := replica.View().State.Members[9]; got != first {
		t.Errorf("the member is %+v, want %+v", got, first)
	}
	second := fleet.Member{ID: 10, Name: "c3", Address: "127.0.0.1:3", Learner: true}
	var membershipErr *MembershipError
	if _, err := replica.ChangeMembership(t.Context(), second, false); !errors.As(err, &membershipErr) {
		t.Errorf("adding a second learner: got error %v, want a *MembershipError", err)
	}
}

// post sends a request to a replica's HTTP interface.
func post(t *testing.T, replica *Replica, path string, body []byte, header http.Header) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(body))
	for key, values := range header {
		request.Header[key] = values
	}
	recorder := httptest.NewRecorder()
	replica.Handler().ServeHTTP(recorder, request)
	return recorder
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestHandler_Propose(t *testing.T) {
	replica := startLeader(t)
	for _, test := range []struct {
		name   string
		entry  fleet.Entry
		status int
		want   string // expected part of the response body
	}{
		{"accepted", grantTo("a/1"), http.StatusOK, `"token"`},
		{"rejected by the state", grantTo("b/1"), http.StatusOK, fleet.RejectionWireText(fleet.ErrConflict)},
		{"a kind for replicas only", fleet.Entry{Kind: fleet.KindExpireLease}, http.StatusForbidden, "expire"},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := post(t, replica, "/v1/propose", encodeJSON(t, test.entry), nil)
			if response.Code != test.status || !strings.Contains(response.Body.String(), test.want) {
				t.Errorf("status %d: %s; want %d and %s", response.Code, response.Body, test.status, test.want)
			}
		})
	}
}

func TestHandler_Messages(t *testing.T) {
	replica := startLeader(t)
	messageTo := func(id uint64) []byte {
		body, _ := encodeMessages([]*raftpb.Message{{
			Type: raftpb.MsgHeartbeatResp.Enum(),
			To:   proto.Uint64(id),
			From: proto.Uint64(9),
		}})
		return body
	}
	epoch := func(epoch uint64) http.Header { return http.Header{epochHeader: {strconv.FormatUint(epoch, 10)}} }
	for _, test := range []struct {
		name   string
		body   []byte
		header http.Header
		status int
	}{
		{"to this replica", messageTo(replica.ID()), epoch(1), http.StatusNoContent},
		{"from a replica without a state", messageTo(replica.ID()), epoch(0), http.StatusNoContent},
		{"from another epoch", messageTo(replica.ID()), epoch(2), http.StatusGone},
		{"to another replica", messageTo(9), epoch(1), http.StatusGone},
		{"truncated", messageTo(replica.ID())[:3], epoch(1), http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := post(t, replica, messagePath, test.body, test.header); got.Code != test.status {
				t.Errorf("status %d: %s; want %d", got.Code, got.Body, test.status)
			}
		})
	}
}

// watch sends a watch request, and returns the decoded response.
func watch(t *testing.T, replica *Replica, request WatchRequest) WatchResponse {
	t.Helper()
	recorder := post(t, replica, "/v1/state", encodeJSON(t, request), nil)
	var response WatchResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
		t.Fatalf("%s: %v", recorder.Body, err)
	}
	return response
}

func TestHandler_WatchReturnsStateThenEntries(t *testing.T) {
	replica := startLeader(t)
	if response := watch(t, replica, WatchRequest{}); response.State == nil || !response.HasLeader {
		t.Fatalf("an agent without a state gets %+v, want the whole state", response)
	}
	state := replica.View().State
	result, err := replica.Propose(t.Context(), grantTo("a/1"))
	if err != nil {
		t.Fatal(err)
	}
	request := WatchRequest{AgentReport: AgentReport{Name: "n1", Epoch: state.Epoch, Position: state.Position}}
	response := watch(t, replica, request)
	if len(response.Entries) == 0 || response.Entries[len(response.Entries)-1].Position != result.Position {
		t.Errorf("an agent at position %d gets %+v, want entries up to %d", state.Position, response, result.Position)
	}
	if reports := replica.Status().Reports; len(reports) != 1 || reports[0].Position != state.Position {
		t.Errorf("the agent's report is not recorded: %+v", reports)
	}
}

func TestHandler_WatchWaitsForChange(t *testing.T) {
	replica := startLeader(t)
	// The replica announces its format without a request. After that the replica proposes nothing more.
	testkit.Await(t, "the announcement of the format", func() bool {
		return replica.View().State.Members[replica.ID()].SupportedFormat == fleet.FormatVersion
	})
	state := replica.View().State
	request := WatchRequest{Wait: testkit.MaxWait}
	request.Epoch, request.Position = state.Epoch, state.Position
	type outcome struct {
		result fleet.Result
		err    error
	}
	proposed := make(chan outcome, 1)
	go func() { // also ends when the context of the test ends
		for len(replica.watchers) == 0 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		result, err := replica.Propose(t.Context(), grantTo("a/1"))
		proposed <- outcome{result, err}
	}()
	response := watch(t, replica, request)
	got := <-proposed
	if got.err != nil {
		t.Fatal(got.err)
	}
	if len(response.Entries) != 1 || response.Entries[0].Position != got.result.Position {
		t.Errorf("the watcher gets %+v, want the entry at position %d", response, got.result.Position)
	}
}
