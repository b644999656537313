package agent

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// TestStateWatcher_BacksOffWithoutNews checks that a watcher backs off if a replica responds at once without a newer
// state. The watcher must never return to a state of an older epoch.
func TestStateWatcher_BacksOffWithoutNews(t *testing.T) {
	var requests atomic.Int64
	address := testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		state := fleet.NewState(2).WithMembers(7, nil)
		if requests.Add(1) > 1 {
			state = fleet.NewState(1).WithMembers(9, nil) // state of a replica outside the new cluster
		}
		adminapi.WriteJSON(w, http.StatusOK, consensus.WatchResponse{State: state, HasLeader: true})
	})
	client := NewClient([]string{address}, nil, "", nil)
	t.Cleanup(client.HTTP.CloseIdleConnections)
	report := func() consensus.AgentReport { return consensus.AgentReport{} }
	watcher := NewStateWatcher(client, report, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	watcher.Run(ctx)
	if state, _ := watcher.State(); state.Epoch != 2 || state.Position != 7 {
		t.Errorf("the state is of epoch %d, position %d, want epoch 2, position 7", state.Epoch, state.Position)
	}
	if count := requests.Load(); count < 2 || count > 20 {
		t.Errorf("%d requests were sent in half a second, want 2 to 20", count)
	}
}
