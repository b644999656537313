package sim

import (
	"slices"

	"cobaltward/emulator/checker"
	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// Mutant is a configuration of the nodes with one safeguard disabled. The checker must report violations of the rule
// that the safeguard protects.
type Mutant struct {
	Name       string
	Scenario   string // file in scenarios/, without extension, in which the safeguard is needed
	Rule       checker.Rule
	newOptions func() Options
}

// Options returns the options of a run of the mutant.
func (m Mutant) Options() Options { return m.newOptions() }

// Mutants returns all mutants, ordered by rule. A run of each mutant shows that the checker detects violations.
func Mutants() []Mutant {
	return slices.Concat(answerMutants(), effectMutants(), drainMutants(), slowStartMutants())
}

func answerMutants() []Mutant {
	const rule = checker.RuleOneAnswer
	return []Mutant{
		{"answers twice", "sick", rule, overriding(safeguards.Overrides{
			Disabled: safeguards.SingleAnswer, WrapPolicy: changeEvents(hideAnswer),
		})},
		{"answers late", "sick", rule, disabling(safeguards.AnswerDeadline)},
		{"leaves requests without an answer", "sick", rule, overriding(safeguards.Overrides{
			Disabled:   safeguards.BackstopAnswer,
			WrapPolicy: func(p safeguards.Policy) safeguards.Policy { return &tamperedPolicy{Policy: p, keep: isNoFailure} },
		})},
		{"sends after the answer", "sick", rule, overriding(safeguards.Overrides{
			Disabled: safeguards.NoAttemptAfterAnswer, WrapPolicy: changeEvents(hideAnswer),
		})},
	}
}

func effectMutants() []Mutant {
	const rule = checker.RuleAtMostOnce
	return []Mutant{
		{"takes an id twice", "bad-clients", rule, disabling(safeguards.UniqueID)},
		{"refuses what may have run", "sick", rule, disabling(safeguards.NoRejectionAfterRun)},
		{"repeats an unsafe request", "sick", rule, overriding(safeguards.Overrides{
			Settings: changeClasses(func(class *policy.Class) {
				if class.Idempotency == policy.NonIdempotent {
					class.Idempotency = policy.Idempotent
				}
			}),
		})},
		{"takes a reset for proof", "sick", rule, func() Options { return Options{TrustResets: true} }},
		{"forgets the group of a key", "keys", rule, overriding(safeguards.Overrides{
			Settings: changeClasses(func(class *policy.Class) { class.DedupScope = policy.DedupAll }),
		})},
		{"forgets the window of a key", "keys", rule, overriding(safeguards.Overrides{
			Disabled: safeguards.DedupWindow,
			Settings: changeClasses(func(class *policy.Class) { class.DedupWindow *= 100 }),
		})},
		{"writes a repeat when its key is forgotten", "keys", rule, disabling(safeguards.DedupWindow)},
	}
}

func drainMutants() []Mutant {
	const rule = checker.RuleDrainGrace
	return []Mutant{
		{"does not hear of drains", "rolling", rule, ignoringDrains(hideDrains)},
		{"does not hear of servers that are gone", "wrong-list", rule, ignoringDrains(hideRemovals)},
	}
}

func slowStartMutants() []Mutant {
	const rule = checker.RuleSlowStart
	return []Mutant{
		{"takes cold servers for warm", "fresh", rule, overriding(safeguards.Overrides{
			WrapPolicy: changeEvents(hideWarmUp),
		})},
		{"has no budget for cold servers", "fresh", rule, overriding(safeguards.Overrides{
			Settings: func(s policy.Settings) policy.Settings {
				s.Rules.SlowStartShare, s.Rules.OverloadFactor = 1, 1e6
				return s
			},
		})},
	}
}

// overriding returns a function that returns options with the given overrides of the engines.
func overriding(overrides safeguards.Overrides) func() Options {
	return func() Options { return Options{Overrides: func() safeguards.Overrides { return overrides }} }
}

// disabling returns a function that returns options with some guards disabled.
func disabling(guards safeguards.Guards) func() Options {
	return overriding(safeguards.Overrides{Disabled: guards})
}

// ignoringDrains returns a function that returns options in which transports send to draining and removed servers.
// change must hide from the policy that servers are draining or removed.
func ignoringDrains(change func(policy.Event) policy.Event) func() Options {
	overrides := safeguards.Overrides{WrapPolicy: changeEvents(change)}
	return func() Options {
		return Options{IgnoreDrains: true, Overrides: func() safeguards.Overrides { return overrides }}
	}
}

// changeEvents returns a wrapper of policies. The wrapper applies change to each event before the policy receives the
// event.
func changeEvents(change func(policy.Event) policy.Event) func(safeguards.Policy) safeguards.Policy {
	return func(p safeguards.Policy) safeguards.Policy { return &tamperedPolicy{Policy: p, change: change} }
}

// changeClasses returns a function that applies change to each class of a copy of the settings.
func changeClasses(change func(*policy.Class)) func(policy.Settings) policy.Settings {
	return func(s policy.Settings) policy.Settings {
		s.Classes = slices.Clone(s.Classes)
		for i := range s.Classes {
			change(&s.Classes[i])
		}
		return s
	}
}

// isNoFailure reports whether an action is not the final answer to a failed or rejected request.
func isNoFailure(a policy.Action) bool { return a.Kind != policy.Fail && a.Kind != policy.Reject }

// tamperedPolicy wraps a policy. It changes the events that the policy receives, or drops some of the policy's
// actions.
type tamperedPolicy struct {
	safeguards.Policy
	change func(policy.Event) policy.Event // nil: events are passed on unchanged
	keep   func(policy.Action) bool        // nil: all actions are kept
}

// Handle passes an event to the policy and returns the policy's actions.
func (t *tamperedPolicy) Handle(now policy.Time, event policy.Event) []policy.Action {
	if t.change != nil {
		event = t.change(event)
	}
	actions := t.Policy.Handle(now, event)
	if t.keep != nil {
		actions = slices.DeleteFunc(slices.Clone(actions), func(a policy.Action) bool { return !t.keep(a) })
	}
	return actions
}

// changeEndpoints applies change to each endpoint in a copy of an endpoint list. It returns all other events
// unchanged.
func changeEndpoints(ev policy.Event, change func(*policy.Endpoint)) policy.Event {
	list, ok := ev.(policy.EndpointList)
	if !ok {
		return ev
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		change(&list.Endpoints[i])
	}
	return list
}

func hideDrains(ev policy.Event) policy.Event {
	return changeEndpoints(ev, func(m *policy.Endpoint) {
		if m.Availability == policy.Draining {
			m.Availability = policy.Running
		}
	})
}

func hideRemovals(ev policy.Event) policy.Event {
	return changeEndpoints(ev, func(m *policy.Endpoint) { m.Availability = policy.Running })
}

func hideWarmUp(ev policy.Event) policy.Event {
	return changeEndpoints(ev, func(m *policy.Endpoint) { m.OnlineSince, m.SlowStartAt = 0, 0 })
}

// hideAnswer hides from the policy that a request was answered. The policy then retries the request.
func hideAnswer(ev policy.Event) policy.Event {
	if o, ok := ev.(policy.Outcome); ok {
		o.Answered = false
		if o.Code == policy.OK {
			o.Code = policy.Overloaded
		}
		return o
	}
	return ev
}
