package checker

import "time"

// Rule is one of the platform's four rules.
type Rule int

// The rules, as numbered in docs/rehearse.md.
const (
	RuleOneAnswer  Rule = 1 + iota // each request gets one answer by its deadline, and no attempt is sent after the answer
	RuleAtMostOnce                 // no request has its effect twice
	RuleDrainGrace                 // a draining server gets no new work after the grace period
	RuleSlowStart                  // a server that warms up is not overloaded
)

// Rules lists all rules in order.
var Rules = []Rule{RuleOneAnswer, RuleAtMostOnce, RuleDrainGrace, RuleSlowStart}

// String returns the name of the rule in reports.
func (r Rule) String() string {
	return [...]string{"", "one answer, in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Violation is one violation of a rule, with the evidence for it.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"`
	ID          string        `json:"request"` // ID of the request; the last one if several requests are involved
	Node        string        `json:"node,omitempty"`
	Server      string        `json:"server,omitempty"`
	Description string        `json:"what"`
}

// Verdict is the result of checking a run against all rules.
type Verdict struct {
	Checked    map[Rule]int `json:"checked"` // observations checked against each rule
	Count      map[Rule]int `json:"count"`   // violations of each rule
	Violations []Violation  `json:"breaches"`
}

// Passed reports whether no rule was violated.
func (v *Verdict) Passed() bool { return len(v.Count) == 0 }
