package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// EffectRequest is a lease holder's request to the receiver of a node. It asks the receiver to carry out a step.
type EffectRequest struct {
	Resource     string             `json:"work"`
	FencingToken fleet.FencingToken `json:"token"`
	JobID        string             `json:"job"`
	Step         fleet.StepKey      `json:"step"`
	// IdempotencyKey identifies the effect of the step. All holders use the same key for the same step.
	IdempotencyKey string `json:"key"`
	// Retry reports whether the effect may have been requested before.
	Retry        bool          `json:"again,omitempty"`
	DrainTimeout time.Duration `json:"drain,omitempty"`
	Reason       string        `json:"reason,omitempty"`
}

// EffectResponse is the progress of an effect.
type EffectResponse struct {
	Running bool              `json:"running,omitempty"`
	Outcome fleet.StepOutcome `json:"outcome,omitempty"` // empty: not ended
	Detail  string            `json:"detail,omitempty"`
	// HighestToken is the highest fencing token of the resource that the receiver has seen.
	HighestToken fleet.FencingToken `json:"seen"`
}

// Effect records an effect that a receiver has started.
type Effect struct {
	Sequence     uint64             `json:"n"` // sequence number of the start; the first effect has 1
	Resource     string             `json:"work"`
	FencingToken fleet.FencingToken `json:"token"` // token under which the effect was last started
	Running      bool               `json:"running"`
	Outcome      fleet.StepOutcome  `json:"outcome,omitempty"`
	Detail       string             `json:"detail,omitempty"`
}

// maxEffects is the maximum number of effects that an EffectLog keeps. Above it, the oldest effect is removed.
const maxEffects = 4096

// EffectLog records the effects of a receiver. A repeated request is answered with the recorded outcome.
type EffectLog struct {
	Effects      map[string]Effect `json:"effects"` // by idempotency key
	LastSequence uint64            `json:"n"`       // sequence number of the newest effect
}

// Start records, under key, that an effect on resource is about to be carried out under token.
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

// Finish records the outcome and the detail of the effect with the given key.
func (l *EffectLog) Finish(key string, outcome fleet.StepOutcome, detail string) {
	effect := l.Effects[key]
	effect.Running, effect.Outcome, effect.Detail = false, outcome, detail
	l.Effects[key] = effect
}

// interrupted returns the keys of the effects that were running when the previous process ended. The receiver must
// verify whether these effects were carried out.
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
