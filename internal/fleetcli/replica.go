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

// Bounds of the backoff before each attempt to restart a replica after a storage failure.
const (
	minRestartBackoff = 50 * time.Millisecond
	maxRestartBackoff = 2 * time.Second
)

// runReplica runs a replica of the consensus group until SIGTERM or SIGINT.
func runReplica(cfg *settings, hooks TestHooks) error {
	ctx, stop := signalContext()
	defer stop()
	return serveReplica(ctx, cfg, hooks)
}

// serveReplica runs a replica until ctx is done. After each storage failure it restarts the replica from the stored
// state, because a disk may be full or fail only for a while. Any other failure of the replica is returned.
func serveReplica(ctx context.Context, cfg *settings, hooks TestHooks) error {
	replica, err := startReplica(cfg, hooks, consensus.OpenStorage)
	if err != nil {
		return err
	}
	var handler replicaHandler
	handler.replace(replica)
	stopServing, err := serveHTTP(ctx, cfg, &handler)
	if err != nil {
		return errors.Join(err, replica.Close())
	}
	defer stopServing()
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
		cfg.log.Error("fleet: storage failed, restarting the replica", "error", err)
		if replica, err = restartReplica(ctx, cfg, hooks); err != nil {
			return nil // restartReplica fails only when ctx is done
		}
		handler.replace(replica)
	}
}

// startReplica opens the storage of this process with open, and starts a replica on that storage.
func startReplica(
	cfg *settings, hooks TestHooks, open func(dir string) (consensus.Storage, error),
) (*consensus.Replica, error) {
	storage, err := open(cfg.storagePath())
	if err != nil {
		return nil, err
	}
	if hooks.Storage != nil {
		storage = hooks.Storage(storage)
	}
	replica, err := consensus.Start(cfg.replicaConfig(hooks), storage)
	if err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	logStart(cfg, replica)
	return replica, nil
}

// restartReplica starts a replica on recovered storage. It retries with backoff until the start succeeds or ctx is
// done.
func restartReplica(ctx context.Context, cfg *settings, hooks TestHooks) (*consensus.Replica, error) {
	lastProblem := ""
	for backoff := minRestartBackoff; ; backoff = min(2*backoff, maxRestartBackoff) {
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		replica, err := startReplica(cfg, hooks, consensus.RecoverStorage)
		if err == nil {
			return replica, nil
		}
		if problem := err.Error(); problem != lastProblem { // log an error only if it differs from the last one
			lastProblem = problem
			cfg.log.Error("fleet: replica restart failed, retrying", "error", err)
		}
	}
}

// replicaHandler forwards HTTP requests to the running replica, which changes at each restart.
type replicaHandler struct{ current atomic.Pointer[http.Handler] }

// replace sets the replica that gets further requests. After replace(nil), requests are rejected with status 503
// until the next replica is set.
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
		adminapi.WriteError(w, http.StatusServiceUnavailable, "the replica's storage failed; the replica is restarting")
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

func logStart(cfg *settings, replica *consensus.Replica) {
	state := replica.View().State
	cfg.log.Info("fleet: replica started", "name", cfg.Name, "id", fmt.Sprintf("%x", replica.ID()),
		"position", state.Position)
	if len(state.Members) == 0 {
		cfg.log.Warn("fleet: storage is empty; the replica joins once it is added with wayhold fleet member add",
			"name", cfg.Name, "address", cfg.Address)
	}
}
