package rollout

import (
	"maps"
	"slices"

	"cobaltward/fleet"
)

// VersionVector maps the name of each artifact to the digest of one of its versions.
type VersionVector map[string]string

// Clone returns a copy of the vector.
func (v VersionVector) Clone() VersionVector { return maps.Clone(v) }

// DesiredVersions returns the versions on which a node should act.
func DesiredVersions(state *fleet.State, node string) VersionVector {
	desired := make(VersionVector, len(state.Artifacts))
	for name, artifact := range state.Artifacts {
		desired[name] = artifact.DesiredVersion(node)
	}
	return desired
}

// Allows reports whether node may get a lease of versions. state must include all entries that were committed before
// the lease was requested (see consensus.Core.Read).
func Allows(state *fleet.State, node string, versions VersionVector) bool {
	for name, artifact := range state.Artifacts {
		if !slices.Contains(artifact.AllowedVersions(node), versions[name]) {
			return false
		}
	}
	return true
}
