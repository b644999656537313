package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// EffectRequest is a request of the holder of a lease that the receiver of a node carries out a step.
type EffectRequest struct {
	Resource     string             `json:"work"`
	FencingToken fleet.FencingToken `json:"token"`
	JobID        string             `json:"job"`
	Step         fleet.StepKey      `json:"step"`
	// IdempotencyKey identifies the effect of the step. It is the same for all holders that request it.
	IdempotencyKey string `json:"key"`
	// Retry reports whether the effect may have been requested before.
	Retry        bool          `json:"again,omitempty"`
	DrainTimeout time.Duration `json:"drain,omitempty"`
	Reason       string        `json:"reason,omitempty"`
}

// EffectResponse is the progress of an effect.
type EffectResponse struct {
	Running bool              `json:"running,omitempty"`
	Outcome fleet.StepOutcome `json:"outcome,omitempty"` // empty: the effect has not ended
	Detail  string            `json:"detail,omitempty"`
	// HighestToken is the highest fencing token of the resource that the receiver has seen.
	HighestToken fleet.FencingToken `json:"seen"`
}

// Effect is the record of an effect that a receiver has begun.
type Effect struct {
	Sequence     uint64             `json:"n"` // 1, 2, ... in the order in which effects were begun
	Resource     string             `json:"work"`
	FencingToken fleet.FencingToken `json:"token"` // token under which the effect was last begun
	Running      bool               `json:"running"`
	Outcome      fleet.StepOutcome  `json:"outcome,omitempty"`
	Detail       string             `json:"detail,omitempty"`
}

// maxEffects is the number of effects that an EffectLog keeps. If there are more, the oldest is removed.
const maxEffects = 4096

// EffectLog records the effects of a receiver, so that a repeated request gets the outcome of the first one.
type EffectLog struct {
	Effects      map[string]Effect `json:"effects"` // by idempotency key
	LastSequence uint64            `json:"n"`       // sequence number of the newest effect
}

// Start records that an effect is about to be carried out.
func (l *EffectLog) Start(key, resource string, token fleet.FencingToken) {
	if l.Effects == nil {
		l.Effects = make(map[string]Effect)
	}
	l.LastSequence++
	l.Effects[key] = Effect{Sequence: l.LastSequence, Resource: resource, FencingToken: token, Running: true}
	if len(l.Effects) > maxEffects {
		delete(l.Effects, l.oldest())
	}
}

func (l *EffectLog) oldest() string {
	return slices.MinFunc(slices.Collect(maps.Keys(l.Effects)), func(a, b string) int {
		return cmp.Compare(l.Effects[a].Sequence, l.Effects[b].Sequence)
	})
}

// Finish records the outcome of an effect.
func (l *EffectLog) Finish(key string, outcome fleet.StepOutcome, detail string) {
	effect := l.Effects[key]
	effect.Running, effect.Outcome, effect.Detail = false, outcome, detail
	l.Effects[key] = effect
}

// interrupted returns the keys of the effects that were running when the process ended. The receiver must verify
// whether they were carried out.
func (l *EffectLog) interrupted() []string {
	var keys []string
	for key, effect := range l.Effects {
		if effect.Running {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
