package fleetcli

import (
	"errors"
	"fmt"
	"path/filepath"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

// storageDir is the directory of a replica's storage below that of its process.
const storageDir = "council"

func (s *settings) storagePath() string { return filepath.Join(s.Dir, storageDir) }

// member returns this process as the member with an ID.
func (s *settings) member(id uint64) fleet.Member {
	return fleet.Member{ID: id, Name: s.Name, Address: s.Address}
}

// bootstrap makes the storage of this process that of the first member of a new cluster.
func (c *operatorCommands) bootstrap(loaded *settings, _ TestHooks) error {
	rewrite := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		if !persisted.Empty() {
			return persisted, fmt.Errorf("%s: this storage belongs to a cluster already", loaded.Dir)
		}
		return consensus.Bootstrap(loaded.member(persisted.ID)), nil
	}
	return consensus.RewriteStorage(loaded.storagePath(), rewrite)
}

// forceNewCluster makes this process the only member of a new cluster, once most members have lost their storage.
// Entries that only they stored are lost.
func (c *operatorCommands) forceNewCluster(loaded *settings, _ TestHooks) error {
	if c.reason == "" {
		return errors.New("recover: want a --reason: entries that only the lost members stored are lost for good")
	}
	rewrite := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		if persisted.Snapshot == nil {
			return persisted, fmt.Errorf("%s: this storage has never belonged to a cluster", loaded.Dir)
		}
		return consensus.ForceNewCluster(persisted, loaded.member(persisted.ID))
	}
	if err := consensus.RewriteStorage(loaded.storagePath(), rewrite); err != nil {
		return err
	}
	loaded.log.Warn("fleet: new cluster forced", "name", loaded.Name, "requested_by", c.requestedBy, "reason", c.reason)
	return nil
}
