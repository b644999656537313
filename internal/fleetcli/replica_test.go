package fleetcli

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/standalone"
	"cobaltward/internal/testkit"
)

// failingStorage returns an error from Save while faults has an error. Every second failed save is stored
// nevertheless, as if the disk reported an error after the write.
type failingStorage struct {
	consensus.Storage
	faults *storageFaults
}

// storageFaults sets the error of all instances of failingStorage that one process opens in turn.
type storageFaults struct {
	mu     sync.Mutex
	err    error // error of each Save; nil: saves succeed
	failed int   // number of saves that returned err
}

func (f *storageFaults) set(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *storageFaults) next() (err error, saveFirst bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		return nil, true
	}
	f.failed++
	return f.err, f.failed%2 == 0
}

func (f *storageFaults) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

func (s *failingStorage) Save(batch *consensus.WriteBatch) error {
	err, saveFirst := s.faults.next()
	if saveFirst {
		if saveErr := s.Storage.Save(batch); saveErr != nil {
			return saveErr
		}
	}
	return err
}

// TestReplica_SurvivesStorageErrors checks that a replica survives two periods in which its storage fails. The
// replica must acknowledge nothing while the storage fails. After that it must restart with all acknowledged entries
// and accept further entries.
func TestReplica_SurvivesStorageErrors(t *testing.T) {
	addresses := make(chan string, 1)
	loaded := bootstrapSettings(t, slog.New(addressHandler{slog.DiscardHandler, addresses}))
	faults := new(storageFaults)
	hooks := TestHooks{Storage: func(s consensus.Storage) consensus.Storage { return &failingStorage{s, faults} }}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serveReplica(ctx, loaded, hooks) }()
	defer func() {
		stop()
		if err := testkit.Receive(t, "the end of the replica", ended); err != nil {
			t.Error(err)
		}
	}()
	address := testkit.Receive(t, "the address of the replica", addresses)

	var acknowledged []string
	propose := func(node string) bool {
		if !registerNode(t, address, node) {
			return false
		}
		acknowledged = append(acknowledged, node)
		return true
	}
	testkit.Await(t, "the first node to be registered", func() bool { return propose("n0") })
	for i, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		failed := faults.count()
		faults.set(fault)
		testkit.Await(t, "two failed saves", func() bool {
			select {
			case err := <-ended:
				t.Fatalf("serveReplica returned during the storage failure: %v", err)
			default:
			}
			if registerNode(t, address, "unacknowledged") {
				t.Fatal("an entry was acknowledged while the storage failed")
			}
			return faults.count() >= failed+2
		})
		faults.set(nil)
		testkit.Await(t, "a node to be registered again", func() bool { return propose(fmt.Sprint("after", i)) })
	}
	var state json.RawMessage
	client := agent.NewClient([]string{address}, nil, testToken, nil)
	if err := client.Call(t.Context(), http.MethodPost, address, "/state", consensus.WatchRequest{}, &state); err != nil {
		t.Fatal(err)
	}
	for _, node := range acknowledged {
		if !strings.Contains(string(state), strconv.Quote(node)) {
			t.Errorf("node %q was acknowledged, but is missing in the state: %s", node, state)
		}
	}
}

// bootstrapSettings creates the storage of a new cluster with one replica, and returns the settings of that replica.
func bootstrapSettings(t *testing.T, log *slog.Logger) *settings {
	t.Helper()
	cfg := &settings{
		Fleet: &standalone.Fleet{
			Name: "a", Address: "127.0.0.1:1", Listen: "127.0.0.1:0", Dir: t.TempDir(), Tick: 10 * time.Millisecond,
		},
		token: testToken, log: log,
	}
	bootstrap := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		return consensus.Bootstrap(cfg.member(persisted.ID)), nil
	}
	if err := consensus.RewriteStorage(cfg.storagePath(), bootstrap); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// registerNode proposes to register a node, and reports whether the replica acknowledged the entry.
func registerNode(t *testing.T, address, name string) bool {
	client := agent.NewClient([]string{address}, nil, testToken, nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	node := &fleet.Node{Name: name, Address: "127.0.0.1:1", Incarnation: "r"}
	entry := fleet.Entry{Kind: fleet.KindRegisterNode, Node: node}
	result, err := client.Propose(ctx, entry)
	return err == nil && result.Err == nil
}
