package rollout

import (
	"maps"
	"slices"

	"cobaltward/fleet"
)

// VersionVector is what a process acts on: the digest of one version of each artifact, by the artifact's name.
type VersionVector map[string]string

// Clone returns a copy.
func (v VersionVector) Clone() VersionVector { return maps.Clone(v) }

// DesiredVersions returns the versions that a node should act on.
func DesiredVersions(state *fleet.State, node string) VersionVector {
	desired := make(VersionVector, len(state.Artifacts))
	for name, artifact := range state.Artifacts {
		desired[name] = artifact.DesiredVersion(node)
	}
	return desired
}

// Allows reports whether a node may get a lease of versions. The state has to be one that was the newest at some
// moment after the lease was asked for (see consensus.Core.Read).
func Allows(state *fleet.State, node string, versions VersionVector) bool {
	for name, artifact := range state.Artifacts {
		if !slices.Contains(artifact.AllowedVersions(node), versions[name]) {
			return false
		}
	}
	return true
}
