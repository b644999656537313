package rollingupdate

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cobaltward/fleet"
)

// say is actions in short: what is done, with which step.
func say(all []Action) string {
	var out []string
	for _, a := range all {
		s := [...]string{"begin", "ask", "close", "step-down"}[a.Operation]
		switch {
		case a.Operation == CloseJob:
			s += " " + a.CloseReason
		case a.Operation != ReleaseLease:
			s += " " + a.Step.String()
		}
		if a.Retry {
			s += " again"
		}
		out = append(out, s)
	}
	return strings.Join(out, ", ")
}

// steps reads "a/out ok 2" as a step that has ended, "a/out" as one under way; a number is how many have had it.
func steps(lines ...string) map[fleet.StepKey]fleet.Step {
	m := make(map[fleet.StepKey]fleet.Step)
	for i, l := range lines {
		f := strings.Fields(l)
		node, what, _ := strings.Cut(f[0], "/")
		st := fleet.Step{StartedAt: fleet.Position(2*i + 1), Attempts: 1}
		for _, w := range f[1:] {
			if w == "2" {
				st.Attempts = 2
			} else {
				st.Outcome, st.FinishedAt = w, st.StartedAt+1
			}
		}
		m[fleet.StepKey{Node: node, Action: what}] = st
	}
	return m
}

func TestRound(t *testing.T) {
	view := func(self string, down ...string) ClusterView {
		v := ClusterView{Self: self, Nodes: make(map[string]NodeStatus)}
		for i, n := range []string{"a", "b", "c", "d"} {
			v.Nodes[n] = NodeStatus{Zone: fmt.Sprint("z", i/2), Capacity: 1, LeaseCandidate: true, Serving: !strings.Contains(strings.Join(down, ""), n)}
		}
		return v
	}
	all := []string{"a", "b", "c", "d"}
	spec := fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: all, MaxUnavailable: 2, MinCapacity: 2, MaxFailures: 2}
	for _, c := range []struct {
		title string
		spec  func(*fleet.JobSpec)
		order string
		fails int
		steps []string
		v     ClusterView
		want  string
	}{
		{"the first two", nil, fleet.CommandRun, 0, nil, view("x"), "begin a/out, begin b/out"},
		{"capacity allows one", func(s *fleet.JobSpec) { s.MinCapacity = 3 }, fleet.CommandRun, 0, nil, view("x"), "begin a/out"},
		{"capacity allows none while another is down", func(s *fleet.JobSpec) { s.MinCapacity = 3 }, fleet.CommandRun, 0, nil, view("x", "d"), ""},
		{"one that does not serve is not taken out", nil, fleet.CommandRun, 0, nil, view("x", "a"), "begin b/out"},
		{"an owner's own node is the last", nil, fleet.CommandRun, 0, nil, view("a"), "begin b/out, begin c/out"},
		{"and is another's to take out", nil, fleet.CommandRun, 0, []string{"b/out ok", "b/patch ok", "b/in ok", "c/out ok", "c/patch ok", "c/in ok", "d/out ok", "d/patch ok", "d/in ok"}, view("a"), "step-down"},
		{"each step follows the one before", nil, fleet.CommandRun, 0, []string{"a/out ok", "b/out"}, view("x"), "begin a/patch, ask b/out"},
		{"a step that another has begun is asked for again", nil, fleet.CommandRun, 0, []string{"a/out ok", "a/patch 2"}, view("x"), "ask a/patch again, begin b/out"},
		{"what could not be taken out is not patched", nil, fleet.CommandRun, 1, []string{"a/out failed"}, view("x"), "begin a/in, begin b/out"},
		{"a failed patch is taken back in", nil, fleet.CommandRun, 1, []string{"a/out ok", "a/patch failed"}, view("x"), "begin a/in, begin b/out"},
		{"too many failures stop", nil, fleet.CommandRun, 2, []string{"a/out ok", "a/patch failed", "a/in ok", "b/out ok", "b/patch failed"}, view("x"), "begin b/in"},
		{"and then it is over", nil, fleet.CommandRun, 2, []string{"a/out ok", "a/patch failed", "a/in ok", "b/out ok", "b/patch failed", "b/in ok"}, view("x"), "close stopped"},
		{"a node that does not come back stops", nil, fleet.CommandRun, 1, []string{"a/out ok", "a/patch ok", "a/in failed"}, view("x", "a"), "close stopped"},
		{"doubt stops at once", nil, fleet.CommandRun, 1, []string{"a/out ok", "a/patch doubt", "b/out"}, view("x"), "close stopped"},
		{"pause begins nothing", nil, fleet.CommandPause, 0, []string{"a/out ok", "b/out"}, view("x"), "ask b/out"},
		{"abort finishes who is out", nil, fleet.CommandAbort, 0, []string{"a/out ok"}, view("x"), "begin a/patch"},
		{"and ends", nil, fleet.CommandAbort, 0, []string{"a/out ok", "a/patch ok", "a/in ok"}, view("x"), "close aborted"},
		{"back takes the last first", func(s *fleet.JobSpec) { s.MaxUnavailable = 1 }, fleet.CommandRollBack, 0, []string{"a/out ok", "a/patch ok", "a/in ok", "b/out ok", "b/patch ok", "b/in ok"}, view("x"), "begin b/back-out"},
		{"back is over", nil, fleet.CommandRollBack, 0, []string{"a/out ok", "a/patch ok", "a/in ok", "a/back-out ok", "a/revert ok", "a/back-in ok"}, view("x"), "close back"},
		{"back ends first what is under way", nil, fleet.CommandRollBack, 2, []string{"a/out ok", "a/patch ok", "b/out", "c/out ok"}, view("x"), "begin a/in, ask b/out, begin c/in"},
		{"back takes a node that did not come back where it is", nil, fleet.CommandRollBack, 1, []string{"a/out ok", "a/patch ok", "a/in failed"}, view("x", "a"), "begin a/back-out"},
		{"back stops where one that did not come back leaves no room", func(s *fleet.JobSpec) { s.MaxUnavailable = 1 }, fleet.CommandRollBack, 1, []string{"a/out ok", "a/in failed", "b/out ok", "b/patch ok", "b/in ok"}, view("x", "a"), "close stopped"},
		{"a zone after another", func(s *fleet.JobSpec) { s.ByZone, s.MinCapacity = true, 0 }, fleet.CommandRun, 0, []string{"a/out ok", "a/patch ok", "a/in ok"}, view("x"), "begin b/out"},
		{"all are through", nil, fleet.CommandRun, 0, []string{"a/out ok", "a/patch ok", "a/in ok", "b/out ok", "b/patch ok", "b/in ok", "c/out ok", "c/patch ok", "c/in ok", "d/out ok", "d/patch ok", "d/in ok"}, view("x"), "close done"},
	} {
		s := spec
		if c.spec != nil {
			c.spec(&s)
		}
		j := &fleet.Job{ID: "j", Spec: s, Command: c.order, Steps: steps(c.steps...), Failures: c.fails}
		if got := say(Next(j, c.v)); got != c.want {
			t.Errorf("%s: %s; want %s", c.title, got, c.want)
		}
	}
}

// However steps end, never more nodes are out than may be, those that serve carry what is needed, and the round ends.
func TestRoundModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "nodes")
		spec := fleet.JobSpec{Kind: fleet.JobRollingUpdate, MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "at once"), MinCapacity: float64(rapid.IntRange(0, n-1).Draw(t, "need")),
			MaxFailures: rapid.IntRange(0, 3).Draw(t, "failures"), ByZone: rapid.Bool().Draw(t, "by zone")}
		v := ClusterView{Nodes: make(map[string]NodeStatus), Self: "n0"}
		for i := range n {
			name := fmt.Sprint("n", i)
			spec.Nodes = append(spec.Nodes, name)
			v.Nodes[name] = NodeStatus{Zone: fmt.Sprint(i % 2), Capacity: 1, Serving: true}
		}
		s, _, _ := fleet.NewState(1).Apply(1, fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Spec: &spec}.Marshal())
		s, r, _ := s.Apply(2, fleet.Entry{Kind: fleet.KindGrantLease, Resource: fleet.JobRollingUpdate, Holder: "h", LeaseDuration: 1}.Marshal())
		apply := func(e fleet.Entry) {
			e.JobID, e.FencingToken = "j", r.FencingToken
			next, res, _ := s.Apply(s.Position+1, e.Marshal())
			if res.Err != nil {
				t.Fatalf("%+v: %v", e, res.Err)
			}
			s = next
		}
		for turn := 0; s.Jobs["j"].CloseReason == ""; turn++ {
			if turn > 200 {
				t.Fatalf("it does not end: %+v", s.Jobs["j"])
			}
			if rapid.IntRange(0, 20).Draw(t, "order") == 0 && s.Jobs["j"].Command == fleet.CommandRun {
				apply(fleet.Entry{Kind: fleet.KindControlJob, Command: rapid.SampledFrom([]string{fleet.CommandAbort, fleet.CommandRollBack}).Draw(t, "which")})
			}
			for _, a := range Next(s.Jobs["j"], v) {
				switch a.Operation {
				case StartStep:
					apply(fleet.Entry{Kind: fleet.KindBeginStep, Step: a.Step})
				case RequestStep:
					outcome := rapid.SampledFrom([]string{fleet.OutcomeOK, fleet.OutcomeOK, fleet.OutcomeOK, fleet.OutcomeFailed}).Draw(t, "outcome")
					apply(fleet.Entry{Kind: fleet.KindFinishStep, Step: a.Step, Outcome: outcome})
				case CloseJob:
					apply(fleet.Entry{Kind: fleet.KindCloseJob, Outcome: a.CloseReason})
				}
				away := s.Jobs["j"].UnavailableNodes()
				if len(away) > spec.MaxUnavailable || float64(n-len(away)) < spec.MinCapacity {
					t.Fatalf("%v are out", away)
				}
			}
		}
		if j := s.Jobs["j"]; j.CloseReason == "done" && len(j.UnavailableNodes()) > 0 {
			t.Fatalf("done, and %v are out", j.UnavailableNodes())
		}
	})
}
