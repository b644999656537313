package node

import (
	"log/slog"
	"time"

	"cobaltward/internal/rundir"
	"cobaltward/router"
)

const (
	// idShareTimeout limits the wait of a process that starts for its predecessor.
	idShareTimeout      = 500 * time.Millisecond
	idSharePollInterval = 5 * time.Millisecond
	// idUnshareDelay is how long a process continues to lock IDs after it has announced the end. In that time it sees a
	// process that has started just before the announcement.
	idUnshareDelay = 2 * time.Second
)

// sharedIDs makes the engine lock its request IDs in use while the node has other processes, and announces this to
// them. Only one goroutine at a time may call its methods.
type sharedIDs struct {
	process *rundir.Process
	locks   *rundir.IDLocks
	engine  *router.Router
	log     *slog.Logger

	locking    bool      // whether the engine locks its IDs
	announced  bool      // whether the other processes may rely on that
	aloneSince time.Time // end of the announcement
}

// newSharedIDs returns the sharing of IDs of a process. If the locks can't be opened, it logs the error and returns
// nil. A nil *sharedIDs shares nothing.
func newSharedIDs(process *rundir.Process, engine *router.Router, log *slog.Logger) *sharedIDs {
	locks, err := process.OpenIDLocks()
	if err != nil {
		log.Warn("hot restart: request IDs are not shared with other processes", "err", err)
		return nil
	}
	return &sharedIDs{process: process, locks: locks, engine: engine, log: log}
}

// update shares the IDs if the node has other processes. It returns an error if the others can't be notified.
func (s *sharedIDs) update(hasOthers bool, now time.Time) error {
	if s == nil {
		return nil
	}
	s.locks.Refresh(now)
	switch {
	case hasOthers && !s.announced:
		if !s.locking {
			s.engine.ShareIDs(s.locks)
		}
		s.locking, s.announced = true, true
		return s.process.SetIDsLocked(true)
	case !hasOthers && s.announced:
		s.announced, s.aloneSince = false, now
		return s.process.SetIDsLocked(false)
	case !hasOthers && s.locking && now.Sub(s.aloneSince) >= idUnshareDelay && !s.locks.RemembersOthers():
		s.engine.ShareIDs(nil)
		s.locking = false
	}
	return nil
}

// awaitOthers shares the IDs, and waits until all other processes of the node do so. This process must not accept
// requests before that. The wait is limited, because a process of an earlier version shares none.
func (s *sharedIDs) awaitOthers() error {
	if s == nil {
		return nil
	}
	if err := s.update(true, time.Now()); err != nil {
		return err
	}
	for deadline := time.Now().Add(idShareTimeout); !s.process.OthersLockIDs(); time.Sleep(idSharePollInterval) {
		if time.Now().After(deadline) {
			s.log.Warn("hot restart: another process of this node does not share its request IDs")
			break
		}
	}
	return nil
}

// close unlocks the IDs.
func (s *sharedIDs) close() {
	if s == nil {
		return
	}
	s.engine.ShareIDs(nil)
	s.locks.Close()
}
