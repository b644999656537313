package node

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/atomicfile"
	"cobaltward/internal/bootclock"
	"cobaltward/internal/learnedstate"
	"cobaltward/policy"
	"cobaltward/router"
)

// StateConfig configures where and how often a node saves its learned state. The zero value disables saving.
type StateConfig struct {
	File         string
	SaveInterval time.Duration // interval between snapshots; default: 2 s
	HalfLife     time.Duration // see learnedstate.Config
	MaxAge       time.Duration // see learnedstate.Config
}

const defaultStateInterval = 2 * time.Second

// stateStore saves the learned state of a node to a file, and restores it when the node starts.
type stateStore struct {
	config           StateConfig
	name             string // name of the node
	engine           *router.Router
	successorOnly    bool // whether the file is only for a successor in a hot restart
	log              *slog.Logger
	saveFailed       bool        // whether the last save failed; repeated failures are not logged
	savingHandedOver atomic.Bool // whether another process of the node saves instead
}

// restore restores the saved state. If the file is missing or corrupt, restore does not change the engine.
func (s *stateStore) restore() {
	raw, err := os.ReadFile(s.config.File)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = s.apply(raw)
	}
	if err != nil {
		s.log.Warn("state: starting without the saved state", "file", s.config.File, "err", err)
	}
}

// apply restores the stored snapshot raw. The older the snapshot, the lower its weight.
func (s *stateStore) apply(raw []byte) error {
	snapshot, err := learnedstate.Decode(raw)
	if err != nil {
		return err
	}
	config := learnedstate.Config{
		HalfLife:      s.config.HalfLife,
		MaxAge:        s.config.MaxAge,
		SuccessorOnly: s.successorOnly,
		Boot:          bootclock.Now(),
	}
	var report learnedstate.Report
	err = s.engine.RestoreState(func(initial func(string) (float64, policy.Time, bool)) policy.LearnedState {
		var state policy.LearnedState
		state, report = learnedstate.Decay(snapshot, time.Now(), initial, config)
		return state
	})
	if err != nil {
		return err
	}
	if report.Rejected != "" {
		return errors.New(report.Rejected)
	}
	s.log.Info("state: restored", "of", snapshot.Node, "age", report.Age.Round(time.Millisecond),
		"weight", report.Weight, "servers", report.Restored, "ejected", report.Ejected,
		"not_listed", report.NotListed, "restarted", report.Restarted, "unejected", report.Unejected,
		"buckets", report.Buckets)
	return nil
}

// run saves the learned state at intervals, and a last time when ctx ends.
func (s *stateStore) run(ctx context.Context) {
	interval := s.config.SaveInterval
	if interval == 0 {
		interval = defaultStateInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.save()
		case <-ctx.Done():
			s.save()
			return
		}
	}
}

// snapshot returns the learned state in its stored form.
func (s *stateStore) snapshot() ([]byte, error) {
	state, err := s.engine.ExportState()
	if err != nil {
		return nil, err
	}
	boot := bootclock.Now()
	return learnedstate.Encode(learnedstate.Snapshot{Node: s.name, At: time.Now(), Boot: &boot, State: state})
}

// save replaces the file with a new snapshot, unless another process saves instead.
func (s *stateStore) save() {
	if s.savingHandedOver.Load() {
		return
	}
	raw, err := s.snapshot()
	if errors.Is(err, router.ErrClosed) {
		return
	}
	if err == nil {
		err = atomicfile.WriteShared(s.config.File, raw)
	}
	if err != nil && !s.saveFailed {
		s.log.Error("state: not saved", "file", s.config.File, "err", err)
	}
	s.saveFailed = err != nil
}

// register adds the path that returns the learned state to the admin API.
func (s *stateStore) register(api *adminapi.Server) {
	api.Handle(http.MethodGet, "/knowledge", func(w http.ResponseWriter, _ *http.Request) {
		raw, err := s.snapshot()
		if err != nil {
			adminapi.WriteError(w, http.StatusConflict, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(raw) // the client may have disconnected
	})
}
