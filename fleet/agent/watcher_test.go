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
	"cobaltward/internal/door"
	"cobaltward/internal/testkit"
)

// A member that answers at once with nothing that leads on is not asked without a rest, and leads a follower never back.
func TestNothingNew(t *testing.T) {
	var asks atomic.Int64
	at := testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		s := fleet.NewState(2).WithMembers(7, nil)
		if asks.Add(1) > 1 {
			s = fleet.NewState(1).WithMembers(9, nil) // of a council that was begun anew without it
		}
		door.Reply(w, http.StatusOK, consensus.WatchResponse{State: s, HasLeader: true})
	})
	c := NewClient([]string{at}, nil, "", nil)
	defer c.HTTP.CloseIdleConnections()
	f := NewStateWatcher(c, func() consensus.AgentReport { return consensus.AgentReport{} }, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer stop()
	f.Run(ctx)
	if s, _ := f.State(); s.Epoch != 2 || s.Position != 7 {
		t.Errorf("it went back to epoch %d, position %d", s.Epoch, s.Position)
	}
	if n := asks.Load(); n < 2 || n > 20 {
		t.Errorf("asked %d times in half a second", n)
	}
}
