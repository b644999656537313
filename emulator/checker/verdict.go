package checker

import "time"

// Rule is one of the platform's four rules.
type Rule int

// The rules, with their numbers in docs/rehearse.md.
const (
	RuleOneAnswer  Rule = 1 + iota // one final answer in time for each request received, and no attempt after it
	RuleAtMostOnce                 // no effect happens twice
	RuleDrainGrace                 // no new work for a draining server after the grace period
	RuleSlowStart                  // a warming server is not overloaded
)

// Rules lists all rules in order.
var Rules = []Rule{RuleOneAnswer, RuleAtMostOnce, RuleDrainGrace, RuleSlowStart}

// String returns the name of the rule in reports.
func (r Rule) String() string {
	return [...]string{"", "one answer, in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Violation is one violation of a rule with its evidence.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"`
	ID          string        `json:"request"` // of the request, or of the last of several
	Node        string        `json:"node,omitempty"`
	Server      string        `json:"server,omitempty"`
	Description string        `json:"what"`
}

// Verdict is the result of a check.
type Verdict struct {
	Checked    map[Rule]int `json:"checked"` // facts checked against each rule
	Count      map[Rule]int `json:"count"`   // violations of each rule
	Violations []Violation  `json:"breaches"`
}

// Passed reports whether there is no violation.
func (v *Verdict) Passed() bool { return len(v.Count) == 0 }
