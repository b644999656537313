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

// StateConfig says where a node saves its learned state. The zero value saves nothing.
type StateConfig struct {
	File         string
	SaveInterval time.Duration // between snapshots; 0: 2 s
	HalfLife     time.Duration // as learnedstate.Config has it
	MaxAge       time.Duration // as learnedstate.Config has it
}

const defaultStateInterval = 2 * time.Second

// stateKeeper saves the learned state of a node to a file, and restores it when the node starts.
type stateKeeper struct {
	config        StateConfig
	name          string // of the node
	engine        *router.Router
	successorOnly bool // the file is for a successor in a hot restart, not for later starts
	log           *slog.Logger
	saveFailed    bool        // the last save failed; a lasting failure is logged once
	paused        atomic.Bool // another process of the node saves now
}

// restore restores the saved state. A missing or corrupt file leaves the engine as it is.
func (k *stateKeeper) restore() {
	raw, err := os.ReadFile(k.config.File)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = k.apply(raw)
	}
	if err != nil {
		k.log.Warn("state: starting without the saved state", "file", k.config.File, "err", err)
	}
}

// apply restores a snapshot of this node.
func (k *stateKeeper) apply(raw []byte) error {
	snapshot, err := learnedstate.Decode(raw)
	if err != nil {
		return err
	}
	config := learnedstate.Config{
		HalfLife:      k.config.HalfLife,
		MaxAge:        k.config.MaxAge,
		SuccessorOnly: k.successorOnly,
		Boot:          bootclock.Now(),
	}
	var report learnedstate.Report
	err = k.engine.RestoreState(func(initial func(string) (float64, policy.Time, bool)) policy.LearnedState {
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
	k.log.Info("state: restored", "of", snapshot.Node, "age", report.Age.Round(time.Millisecond),
		"weight", report.Weight, "servers", report.Restored, "ejected", report.Ejected,
		"not_listed", report.NotListed, "restarted", report.Restarted, "unejected", report.Unejected,
		"buckets", report.Buckets)
	return nil
}

// run saves the learned state at intervals until ctx ends, and once more then.
func (k *stateKeeper) run(ctx context.Context) {
	interval := k.config.SaveInterval
	if interval == 0 {
		interval = defaultStateInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.save()
		case <-ctx.Done():
			k.save()
			return
		}
	}
}

// snapshot returns the learned state in its stored form.
func (k *stateKeeper) snapshot() ([]byte, error) {
	state, err := k.engine.ExportState()
	if err != nil {
		return nil, err
	}
	boot := bootclock.Now()
	return learnedstate.Encode(learnedstate.Snapshot{Node: k.name, At: time.Now(), Boot: &boot, State: state})
}

// save replaces the file, unless another process does so now.
func (k *stateKeeper) save() {
	if k.paused.Load() {
		return
	}
	raw, err := k.snapshot()
	if errors.Is(err, router.ErrClosed) {
		return
	}
	if err == nil {
		err = atomicfile.WriteShared(k.config.File, raw)
	}
	if err != nil && !k.saveFailed {
		k.log.Error("state: not saved", "file", k.config.File, "err", err)
	}
	k.saveFailed = err != nil
}

// register adds the learned state to the admin API.
func (k *stateKeeper) register(api *adminapi.Server) {
	api.Handle(http.MethodGet, "/knowledge", func(w http.ResponseWriter, _ *http.Request) {
		raw, err := k.snapshot()
		if err != nil {
			adminapi.WriteError(w, http.StatusConflict, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(raw) // the client may have disconnected
	})
}
