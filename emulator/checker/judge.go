// Package checker holds what nodes did against the four rules, from what clients, servers and discovery saw and
// not from what the nodes say of themselves. It does no I/O and reads no clock: facts and their times in, a
// verdict with its evidence out. What it keeps of a request ends some seconds after the request's time.
package checker

import (
	"fmt"
	"slices"
	"time"

	"cobaltward/policy"
)

// Rule is one of the four.
type Rule int

// The rules, as docs/rehearse.md numbers them.
const (
	Answered Rule = 1 + iota // each request taken gets exactly one final answer in time, and nothing goes out after it
	Once                     // no effect happens twice
	Drained                  // nothing new goes to a server after the grace
	Cold                     // a cold server is not pushed over
)

// Rules are all of them, in order.
var Rules = []Rule{Answered, Once, Drained, Cold}

// String says the rule in few words.
func (r Rule) String() string {
	return [...]string{"", "one answer, in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Breach is one breach of a rule with its evidence.
type Breach struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at"`
	ID     string        `json:"request"` // the request, or the last of several
	Node   string        `json:"node,omitempty"`
	Server string        `json:"server,omitempty"`
	What   string        `json:"what"`
}

// Verdict is what the judge has found.
type Verdict struct {
	Checked  map[Rule]int `json:"checked"` // facts that were held against each rule
	Count    map[Rule]int `json:"count"`   // breaches
	Breaches []Breach     `json:"breaches"`
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Count) == 0 }

const (
	mostBreaches = 200              // kept with their evidence; more are counted
	tail         = 10 * time.Second // after a request's time, in which its attempts may still come to servers
)

// Class is what the judge must know of a class.
type Class struct {
	Repeat policy.Idempotency
	Group  policy.DedupScope
	Window time.Duration
}

// Rulebook holds the figures of the rules.
type Rulebook struct {
	Classes     map[string]Class
	AnswerGrace time.Duration
	DrainGrace  time.Duration
	// Slack is what time on sockets may blur: zero in virtual time.
	Slack time.Duration
	// Place is the zone and the cell of a server, by which groups of keys go.
	Place func(server string) (zone string, cell int64)
}

// Judge is one judge. It isn't safe for concurrent use. Times must not go back by more than the slack.
type Judge struct {
	b      Rulebook
	v      Verdict
	open   map[held]*request
	byID   map[string]*request // the first taken under an id, which its attempts count for
	expiry []*request          // in the order of Take
	told   map[[2]string]time.Duration
}

// held names the n-th request that a node holds under one id.
type held struct {
	node, id string
	n        int
}

type request struct {
	node, id, class string
	due             time.Duration
	forget          time.Duration
	answered        bool
	gone            bool // the client has left, or the node has died: nothing is owed
	refused         bool
	attempts        []attempt
	ran             int // effects
	mayRun          int // first attempt that may have run; -1: none
}

type attempt struct {
	server string
	sent   time.Duration
	over   bool
	notRun bool
}

// New returns a judge.
func New(b Rulebook) *Judge {
	return &Judge{
		b: b, v: Verdict{Checked: make(map[Rule]int), Count: make(map[Rule]int)},
		open: make(map[held]*request), byID: make(map[string]*request), told: make(map[[2]string]time.Duration),
	}
}

func (j *Judge) breach(b Breach) {
	j.v.Count[b.Rule]++
	if len(j.v.Breaches) < mostBreaches {
		j.v.Breaches = append(j.v.Breaches, b)
	}
}

// Taken says that a node has been sent a request whole, and until when its client waits for the answer.
func (j *Judge) Taken(at time.Duration, node, id, class string, due time.Duration) {
	j.sweep(at)
	r := &request{
		node: node, id: id, class: class, due: due, mayRun: -1,
		forget: due + tail + j.b.Classes[class].Window,
	}
	k := held{node: node, id: id}
	for j.open[k] != nil {
		k.n++
	}
	j.open[k] = r
	if j.byID[id] == nil {
		j.byID[id] = r
	}
	j.expiry = append(j.expiry, r)
}

// Answer says that a client has the last byte of an answer, to the n-th request of an id at a node.
func (j *Judge) Answer(at time.Duration, node, id string, n int, refused bool) {
	r := j.open[held{node, id, n}]
	if r == nil {
		j.breach(Breach{Answered, at, id, node, "", "an answer to no request, or long after its time"})
		return
	}
	j.v.Checked[Answered]++
	switch {
	case r.answered:
		j.breach(Breach{Answered, at, id, node, "", "a second answer"})
	case r.gone:
	case at > r.due+j.b.AnswerGrace+j.b.Slack:
		j.breach(Breach{Answered, at, id, node, "", fmt.Sprintf("answered %v after its client's time", at-r.due)})
	}
	r.answered = true
	r.refused = r.refused || refused && !r.gone
	if refused && n == 0 && j.b.Classes[r.class].Repeat == policy.NonIdempotent {
		j.v.Checked[Once]++
		if r.ran > 0 || r.mayRun >= 0 {
			j.breach(Breach{Once, at, id, node, "", "refused, though it may have run: its client will come again"})
		}
	}
}

// Left says that the client of the n-th request of an id has gone away.
func (j *Judge) Left(node, id string, n int) {
	if r := j.open[held{node, id, n}]; r != nil {
		r.gone = true
	}
}

// NodeDown says that a node was killed: what it held is its clients' to retry.
func (j *Judge) NodeDown(node string) {
	for _, r := range j.expiry {
		if r.node == node {
			r.gone = true
		}
	}
	for k := range j.told {
		if k[0] == node {
			delete(j.told, k)
		}
	}
}

// Told says that a node has been told of a server: that it may get new work, or that it drains or is gone.
func (j *Judge) Told(at time.Duration, node, server string, open bool) {
	k := [2]string{node, server}
	if open {
		delete(j.told, k)
		return
	}
	if _, there := j.told[k]; !there {
		j.told[k] = at
	}
}

// Sent says that the n-th attempt for an id went out whole to a server.
func (j *Judge) Sent(at time.Duration, node, id string, n int, server string) {
	j.v.Checked[Drained]++
	if since, there := j.told[[2]string{node, server}]; there && at > since+j.b.DrainGrace+j.b.Slack {
		j.breach(Breach{Drained, at, id, node, server, fmt.Sprintf("sent %v after the node was told that the server drains or is gone", at-since)})
	}
	r := j.byID[id]
	if r == nil || r.node != node {
		j.breach(Breach{Answered, at, id, node, server, "sent for a request that the node does not hold"})
		return
	}
	if r.answered && at > r.due-j.b.Slack || r.answered && j.b.Slack == 0 {
		j.breach(Breach{Answered, at, id, node, server, "sent after its answer"})
	}
	c := j.b.Classes[r.class]
	for i, a := range r.attempts {
		if a.over && a.notRun {
			continue
		}
		j.v.Checked[Once]++
		if c.Repeat == policy.NonIdempotent {
			j.breach(Breach{Once, at, id, node, server, fmt.Sprintf("sent again, though attempt %d at %s may have run", i+1, a.server)})
			break
		}
		if c.Repeat == policy.IdempotencyKeyed {
			if zone, cell := j.place(a.server); !j.same(c.Group, zone, cell, server) {
				j.breach(Breach{Once, at, id, node, server, fmt.Sprintf("sent outside the group of %s, which alone drops its repeats", a.server)})
				break
			}
			if at > a.sent+c.Window+j.b.Slack {
				j.breach(Breach{Once, at, id, node, server, fmt.Sprintf("sent again %v after the first, when its key is forgotten", at-a.sent)})
				break
			}
			break // the first that may have run is what counts
		}
	}
	for len(r.attempts) <= n {
		r.attempts = append(r.attempts, attempt{over: true, notRun: true})
	}
	r.attempts[n] = attempt{server: server, sent: at}
	r.decide()
}

func (j *Judge) place(server string) (string, int64) {
	if j.b.Place == nil {
		return "", 0
	}
	return j.b.Place(server)
}

func (j *Judge) same(g policy.DedupScope, zone string, cell int64, server string) bool {
	z, c := j.place(server)
	switch g {
	case policy.DedupAll:
		return true
	case policy.DedupZone:
		return z == zone
	}
	return z == zone && c == cell
}

// decide works out which attempt may have run first.
func (r *request) decide() {
	r.mayRun = slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.over || !a.notRun })
}

// Attempts is the number of attempts so far that went out for an id.
func (j *Judge) Attempts(id string) int {
	if r := j.byID[id]; r != nil {
		return len(r.attempts)
	}
	return 0
}

// Proved says that an attempt can't have run, as the server or the network has shown the node.
func (j *Judge) Proved(node, id string, n int) {
	if r := j.byID[id]; r != nil && r.node == node && n < len(r.attempts) {
		r.attempts[n].over, r.attempts[n].notRun = true, true
		r.decide()
	}
}

// Ran says that a server has begun a request under an id; discarded, that it was a repeat without an effect.
func (j *Judge) Ran(at time.Duration, server, id string, discarded bool) {
	r := j.byID[id]
	if r == nil || discarded {
		return
	}
	r.ran++
	c := j.b.Classes[r.class]
	j.v.Checked[Once]++
	if c.Repeat == policy.Idempotent {
		return
	}
	if r.ran > 1 {
		j.breach(Breach{Once, at, id, r.node, server, fmt.Sprintf("ran for the %d. time", r.ran)})
	}
	if r.refused && c.Repeat == policy.NonIdempotent {
		j.breach(Breach{Once, at, id, r.node, server, "ran, though its client was told that it never did"})
	}
}

// Fell says that a server fell over while it was cold, and by which requests.
func (j *Judge) Fell(at time.Duration, server string, pushed []string) {
	last := ""
	if len(pushed) > 0 {
		last = pushed[len(pushed)-1]
	}
	node := ""
	if r := j.byID[last]; r != nil {
		node = r.node
	}
	j.breach(Breach{Cold, at, last, node, server, fmt.Sprintf("fell over while cold, pushed by %d requests", len(pushed))})
}

// Started counts a cold start that is held against the rule.
func (j *Judge) Started() { j.v.Checked[Cold]++ }

// sweep looks at the requests whose time is long over, and forgets them.
func (j *Judge) sweep(now time.Duration) {
	for len(j.expiry) > 0 && j.expiry[0].forget < now {
		j.settle(j.expiry[0])
		j.expiry[0] = nil
		j.expiry = j.expiry[1:]
	}
}

func (j *Judge) settle(r *request) {
	if !r.answered && !r.gone {
		j.v.Checked[Answered]++
		j.breach(Breach{Answered, r.due, r.id, r.node, "", "never answered"})
	}
	if j.byID[r.id] == r {
		delete(j.byID, r.id)
	}
	for n := 0; ; n++ {
		k := held{r.node, r.id, n}
		if j.open[k] == r {
			delete(j.open, k)
			return
		}
		if j.open[k] == nil {
			return
		}
	}
}

// Kept is the number of requests that the judge holds.
func (j *Judge) Kept() int { return len(j.expiry) }

// End looks at what is left, and returns the verdict.
func (j *Judge) End() *Verdict {
	for _, r := range j.expiry {
		j.settle(r)
	}
	j.expiry = nil
	slices.SortStableFunc(j.v.Breaches, func(a, b Breach) int { return int(a.At - b.At) })
	return &j.v
}
