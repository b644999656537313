package fleetcli

import (
	"errors"
	"fmt"
	"path/filepath"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

// storageDir is the name of the directory with the storage of a replica. The directory is in the data directory of
// the process.
const storageDir = "council"

func (s *settings) storagePath() string { return filepath.Join(s.Dir, storageDir) }

// member returns this process as a member of the consensus group with the given ID.
func (s *settings) member(id uint64) fleet.Member {
	return fleet.Member{ID: id, Name: s.Name, Address: s.Address}
}

// bootstrap initializes the storage of this process as the storage of the first member of a new cluster. It does not
// change storage that already belongs to a cluster.
func (c *operatorCommands) bootstrap(cfg *settings, _ TestHooks) error {
	rewrite := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		if !persisted.Empty() {
			return persisted, fmt.Errorf("%s: this storage already belongs to a cluster", cfg.Dir)
		}
		return consensus.Bootstrap(cfg.member(persisted.ID)), nil
	}
	return consensus.RewriteStorage(cfg.storagePath(), rewrite)
}

// forceNewCluster makes this process the only member of a new cluster. Operators use it when most members have lost
// their storage. Entries that only the lost members had stored are lost.
func (c *operatorCommands) forceNewCluster(cfg *settings, _ TestHooks) error {
	if c.reason == "" {
		return errors.New("recover: --reason is missing: entries that only the lost members stored are lost for good")
	}
	rewrite := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		if persisted.Snapshot == nil {
			return persisted, fmt.Errorf("%s: this storage has never belonged to a cluster", cfg.Dir)
		}
		return consensus.ForceNewCluster(persisted, cfg.member(persisted.ID))
	}
	if err := consensus.RewriteStorage(cfg.storagePath(), rewrite); err != nil {
		return err
	}
	cfg.log.Warn("fleet: new cluster forced", "name", cfg.Name, "requested_by", c.requestedBy, "reason", c.reason)
	return nil
}
