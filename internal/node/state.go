package node

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"cobaltward/internal/door"
	"cobaltward/knowledge"
	"cobaltward/policy"
	"cobaltward/router"
)

// State says where a node keeps what it has learned. The zero value keeps nothing.
type State struct {
	File  string
	Every time.Duration // 0: 2s
	Half  time.Duration // after which half of what was kept is believed; 0: as knowledge.Config
	Most  time.Duration // beyond which none is; 0: as knowledge.Config
}

const (
	stateEvery = 2 * time.Second
	lastState  = time.Second // for the last snapshot, at the end
)

// keeper keeps what a node learns in a file, and gives it to the node when it starts.
type keeper struct {
	c      State
	name   string
	engine *router.Router
	brief  bool // it is for the next process of this node alone
	log    *slog.Logger
	failed bool        // the last write did: it is told of once
	hushed atomic.Bool // another process keeps what is learned from now on
}

// restore has the engine adopt what was kept. Nothing that is wrong with it does harm.
func (k *keeper) restore() {
	raw, err := os.ReadFile(k.c.File)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = k.adopt(raw, false)
	}
	if err != nil {
		k.log.Warn("state: beginning without what was kept", "file", k.c.File, "err", err)
	}
}

// adopt has the engine adopt a snapshot; foreign: another node's.
func (k *keeper) adopt(raw []byte, foreign bool) error {
	s, err := knowledge.Decode(raw)
	if err != nil {
		return err
	}
	var r knowledge.Report
	if err := k.engine.RestoreState(func(prior func(string) (float64, policy.Time, bool)) (all policy.LearnedState) {
		all, r = knowledge.Weigh(s, time.Now(), prior, knowledge.Config{Half: k.c.Half, Most: k.c.Most, Foreign: foreign, Brief: k.brief})
		return all
	}); err != nil {
		return err
	}
	if r.Refused != "" {
		return errors.New(r.Refused)
	}
	k.log.Info("state: taken over", "of", s.Node, "age", r.Age.Round(time.Millisecond), "weight", r.Weight, "servers", r.Servers, "ejected", r.Ejected,
		"unknown", r.Unknown, "replaced", r.Replaced, "spared", r.Spared, "buckets", r.Buckets)
	return nil
}

// run keeps what the engine learns until ctx ends, and once more then.
func (k *keeper) run(ctx context.Context) {
	every := k.c.Every
	if every == 0 {
		every = stateEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			k.keep()
		case <-ctx.Done():
			k.keep()
			return
		}
	}
}

// snapshot is what the engine knows, as it is kept.
func (k *keeper) snapshot() ([]byte, error) {
	all, err := k.engine.ExportState()
	if err != nil {
		return nil, err
	}
	return knowledge.Encode(knowledge.Snapshot{Node: k.name, At: time.Now(), Knowledge: all})
}

func (k *keeper) keep() {
	if k.hushed.Load() {
		return
	}
	raw, err := k.snapshot()
	if errors.Is(err, router.ErrClosed) {
		return
	}
	if err == nil {
		err = replace(k.c.File, raw)
	}
	if err != nil && !k.failed {
		k.log.Error("state: not kept", "file", k.c.File, "err", err)
	}
	k.failed = err != nil
}

// replace writes a file whole: a crash leaves the old one or the new one.
func replace(path string, raw []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the first error is the one to tell
	}
	return err
}

// mount lets others see what the node has learned, and hand it what another has.
func (k *keeper) mount(d *door.Door) {
	d.Handle(http.MethodGet, "/knowledge", func(w http.ResponseWriter, _ *http.Request) {
		raw, err := k.snapshot()
		if err != nil {
			door.Fail(w, http.StatusConflict, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(raw) // whoever asked may have left
	})
}
