package fleet

import (
	"encoding/json"
	"time"
)

// Kind is the kind of an entry of the log. The values are stored and transmitted, and must not change.
type Kind string

// The kinds of entries.
const (
	KindUpgradeFormat   Kind = "raise"   // raises the format version of the state
	KindAnnounceFormat  Kind = "speak"   // records the newest format version that a member supports
	KindRegisterNode    Kind = "join"    // registers a node or a new incarnation of a node
	KindRemoveNode      Kind = "forget"  // removes a node that will not register again
	KindGrantLease      Kind = "acquire" // grants the lease of a resource
	KindRenewLease      Kind = "renew"   // renews a lease
	KindExpireLease     Kind = "expire"  // ends a lease that expired without renewal
	KindReleaseLease    Kind = "release" // ends a lease that its holder releases
	KindRequestStepDown Kind = "ask"     // asks a holder to release its lease
	KindRevokeLease     Kind = "push"    // forbids further renewals of a lease
	KindStartJob        Kind = "start"   // starts a job
	KindControlJob      Kind = "order"   // changes the command of a job (see JobCommand)
	KindBeginStep       Kind = "begin"   // records that a step of a job is about to be carried out
	KindFinishStep      Kind = "done"    // records the outcome of a step
	KindCloseJob        Kind = "close"   // closes a job
	KindPublishVersion  Kind = "offer"   // publishes the first version of an artifact
	KindPromoteVersion  Kind = "stage"   // extends a rollout's version to another stage, or to all nodes
	KindRetireVersion   Kind = "retire"  // stops granting leases of a version
	KindClearVersion    Kind = "clear"   // records that the last lease of a retired version has expired
	KindDisableServers  Kind = "hold"    // disables servers at all nodes
	KindEnableServers   Kind = "lift"    // ends a disable order
)

// Entry is one entry of the log. The kind determines which fields are used.
type Entry struct {
	Kind Kind `json:"kind"`
	// FormatVersion is the minimum format version of the state for which the entry is valid; 0 means 1.
	FormatVersion int `json:"level,omitempty"`
	// SupportedFormat is the newest format version that the member supports (KindAnnounceFormat).
	SupportedFormat int    `json:"knows,omitempty"`
	Resource        string `json:"work,omitempty"`
	// Holder identifies one incarnation of a process: the name of the process, a slash, and an ID that is unique to the
	// incarnation.
	Holder       string       `json:"holder,omitempty"`
	FencingToken FencingToken `json:"token,omitempty"`
	// Argument is a number whose meaning depends on the kind. KindExpireLease: number of renewals that the proposer has
	// seen. KindAnnounceFormat: ID of the member. KindUpgradeFormat: new format version. KindPromoteVersion: index of
	// the stage. KindClearVersion: position at which the version was retired.
	Argument      uint64        `json:"seq,omitempty"`
	LeaseDuration time.Duration `json:"lease,omitempty"`
	Node          *Node         `json:"node,omitempty"`
	JobID         string        `json:"job,omitempty"`
	Spec          *JobSpec      `json:"spec,omitempty"`
	Command       JobCommand    `json:"order,omitempty"`
	Step          StepKey       `json:"step,omitzero"`
	// Outcome is a StepOutcome (KindFinishStep) or a CloseReason (KindCloseJob).
	Outcome      string        `json:"outcome,omitempty"`
	Detail       string        `json:"detail,omitempty"`
	DisableOrder *DisableOrder `json:"hold,omitempty"`
	Artifact     string        `json:"thing,omitempty"`
	Digest       string        `json:"digest,omitempty"`
	RequestedBy  string        `json:"who,omitempty"`
	Reason       string        `json:"reason,omitempty"`
}

// Marshal encodes the entry as the log stores it.
func (e Entry) Marshal() []byte {
	raw, err := json.Marshal(e)
	if err != nil {
		panic("fleet: encoding an entry: " + err.Error())
	}
	return raw
}

// Deferrable reports whether watchers may receive the entry together with the next entry that is not deferrable.
// Renewals of leases are deferrable. If they were not, each renewal would wake all watchers.
func (e Entry) Deferrable() bool { return e.Kind == KindRenewLease }
