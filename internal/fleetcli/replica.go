package fleetcli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"cobaltward/fleet/consensus"
	"cobaltward/internal/adminapi"
)

// Bounds of the backoff between attempts to restart a replica whose storage has failed.
const (
	minRestartBackoff = 50 * time.Millisecond
	maxRestartBackoff = 2 * time.Second
)

// runReplica runs a replica of the consensus group until SIGTERM.
func runReplica(loaded *settings, hooks TestHooks) error {
	ctx, stop := signalContext()
	defer stop()
	return serveReplica(ctx, loaded, hooks)
}

// serveReplica runs a replica until ctx ends. After a failure of its storage it is restarted on the stored state, as
// often as necessary: a disk may be full, or fail, for a while.
func serveReplica(ctx context.Context, loaded *settings, hooks TestHooks) error {
	replica, err := startReplica(loaded, hooks, consensus.OpenStorage)
	if err != nil {
		return err
	}
	var handler replicaHandler
	handler.replace(replica)
	endServing, err := serveHTTP(ctx, loaded, &handler)
	if err != nil {
		return errors.Join(err, replica.Close())
	}
	defer endServing()
	for {
		select {
		case <-ctx.Done():
			return replica.Close()
		case <-replica.Done():
		}
		handler.replace(nil)
		err := replica.Close()
		if failed := (*consensus.StorageError)(nil); !errors.As(err, &failed) {
			return err
		}
		loaded.log.Error("fleet: storage failed, restarting the replica", "error", err)
		if replica, err = restartReplica(ctx, loaded, hooks); err != nil {
			return nil // ctx has ended
		}
		handler.replace(replica)
	}
}

// startReplica starts a replica on the storage of this process.
func startReplica(
	loaded *settings, hooks TestHooks, open func(dir string) (consensus.Storage, error),
) (*consensus.Replica, error) {
	storage, err := open(loaded.storagePath())
	if err != nil {
		return nil, err
	}
	if hooks.Storage != nil {
		storage = hooks.Storage(storage)
	}
	replica, err := consensus.Start(loaded.replicaConfig(hooks), storage)
	if err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	logStart(loaded, replica)
	return replica, nil
}

// restartReplica starts a replica on recovered storage, and retries with backoff until that succeeds or ctx ends.
func restartReplica(ctx context.Context, loaded *settings, hooks TestHooks) (*consensus.Replica, error) {
	lastProblem := ""
	for backoff := minRestartBackoff; ; backoff = min(2*backoff, maxRestartBackoff) {
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		replica, err := startReplica(loaded, hooks, consensus.RecoverStorage)
		if err == nil {
			return replica, nil
		}
		if problem := err.Error(); problem != lastProblem { // a lasting problem is logged once
			lastProblem = problem
			loaded.log.Error("fleet: replica restart failed, retrying", "error", err)
		}
	}
}

// replicaHandler passes calls to the replica that is running.
type replicaHandler struct{ current atomic.Pointer[http.Handler] }

// replace passes further calls to another replica; with nil they are rejected until the next one is set.
func (h *replicaHandler) replace(replica *consensus.Replica) {
	if replica == nil {
		h.current.Store(nil)
		return
	}
	handler := replica.Handler()
	h.current.Store(&handler)
}

// ServeHTTP implements http.Handler.
func (h *replicaHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := h.current.Load()
	if handler == nil {
		adminapi.WriteError(w, http.StatusServiceUnavailable, "the replica's storage failed, and it is restarting")
		return
	}
	(*handler).ServeHTTP(w, r)
}

func (s *settings) replicaConfig(hooks TestHooks) consensus.Config {
	return consensus.Config{
		Name:             s.Name,
		Address:          s.Address,
		AddressOverrides: s.AddressOverrides,
		AuthToken:        s.token,
		TLS:              s.clientTLS(),
		Tick:             s.Tick,
		Clock:            hooks.clock(),
		Unsafe:           hooks.Unsafe,
		Log:              s.log,
	}
}

func logStart(loaded *settings, replica *consensus.Replica) {
	state := replica.View().State
	loaded.log.Info("fleet: replica started", "name", loaded.Name, "id", fmt.Sprintf("%x", replica.ID()),
		"position", state.Position)
	if len(state.Members) == 0 {
		loaded.log.Warn("fleet: storage is empty; the replica takes part once it is added by wayhold fleet member add",
			"name", loaded.Name, "address", loaded.Address)
	}
}
