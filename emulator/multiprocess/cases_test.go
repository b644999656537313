package multiprocess

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/testkit"
)

// The hard cases, each as a script.
func TestHardCases(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for i, c := range []struct{ title, faults string }{
		{"the owner is stopped for a lease, and for eight", `
[[fault]]
at = "1s"
for = "1s"
kind = "stop"
on = ["owner"]
[[fault]]
at = "4s"
for = "8s"
kind = "stop"
on = ["owner"]`},
		{"the owner is on the smaller side of a cut", `
[[fault]]
at = "1s"
for = "5s"
kind = "cut"
on = ["c4", "c5", "owner"]`},
		{"only answers don't pass", `
[[fault]]
at = "1s"
for = "4s"
kind = "answers"
on = ["owner"]
[[fault]]
at = "6s"
for = "3s"
kind = "answers"
on = ["n1", "n2", "n3", "n4"]`},
		{"a leader that hears all and is heard by nobody", `
[[fault]]
at = "1s"
for = "5s"
kind = "one_way"
on = ["leader"]`},
		{"all of the council dies at once", `
[[fault]]
at = "1500ms"
for = "2s"
kind = "kill"
on = ["c1", "c2", "c3", "c4", "c5"]
disk = "torn"`},
		{"the owner's clock jumps while it is cut off", `
[[fault]]
at = "1s"
for = "4s"
kind = "cut"
on = ["owner"]
[[fault]]
at = "1500ms"
for = "1s"
kind = "jump"
on = ["leader"]`},
		{"disks fail under all members, one after another", `
[[fault]]
at = "1s"
for = "1500ms"
kind = "sync"
on = ["c1"]
[[fault]]
at = "4s"
for = "1500ms"
kind = "sync"
on = ["c2", "c3"]`},
	} {
		if i > 0 && !*all {
			break
		}
		t.Run(strings.ReplaceAll(c.title, " ", "_"), func(t *testing.T) {
			if *all {
				t.Parallel()
			}
			s, err := Parse([]byte("council = 5\nnodes = 4\nlength = \"9s\"\nat_once = 1\nneed = 3\n" + c.faults))
			if err != nil {
				t.Fatal(err)
			}
			s.Lease = *lease
			r := verdict(t, s, options())
			if len(r.Broken) > 0 || r.Rounds == 0 {
				t.Errorf("%v, %d rounds", r.Broken, r.Rounds)
				show(t, s, r)
			}
			t.Log(r)
		})
	}
}

// rig starts one by hand.
func rig(t *testing.T, s *Script) *Rig {
	t.Helper()
	s.Lease, s.Tick, s.AtOnce = *lease, 25*time.Millisecond, 1
	g, err := Start(context.Background(), s, options())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.End)
	return g
}

// Two of three members lose their disks: the third says that it stands still, and begins nothing anew by itself. An
// operator has it begin anew, for a reason; tokens grow on, and a member of the former council is not listened to.
func TestMostOfTheCouncilIsLost(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	g := rig(t, &Script{Seed: 1, Council: 3, Nodes: 2})
	ctx := context.Background()
	testkit.Await(t, "an owner", func() bool { s, _ := g.look(ctx); return s.Leases[fleet.ResourceRollingUpdate].FencingToken != 0 })
	before, _ := g.look(ctx)
	old := filepath.Join(g.dir, "c1.old")
	g.procs["c1"].kill()
	if err := os.CopyFS(old, os.DirFS(g.procs["c1"].dir)); err != nil {
		t.Fatal(err)
	}
	for _, n := range []string{"c1", "c2"} {
		g.procs[n].kill()
		g.ruin(n, "none")
		if err := g.procs[n].start(); err != nil {
			t.Fatal(err)
		}
	}
	status := func(name string) (st consensus.Status) {
		c := g.direct()
		if err := c.Call(ctx, http.MethodGet, canonical(name), "/status", nil, &st); err != nil {
			t.Fatal(err)
		}
		return st
	}
	testkit.Await(t, "the third to stand still", func() bool { st := status("c3"); return st.LeaderID == "" && st.LeaderlessFor > time.Second })
	for _, n := range []string{"c1", "c2"} {
		if st := status(n); st.IsMember || st.LeaderID != "" {
			t.Errorf("%s, with an empty disk: %+v", n, st)
		}
	}
	if out, err := g.tool("c3", "recover"); err == nil || !strings.Contains(out, "--reason") {
		t.Errorf("recover without a reason: %v %s", err, out)
	}
	g.procs["c3"].kill()
	if out, err := g.tool("c3", "recover", "--reason", "two disks are lost"); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	if err := g.procs["c3"].start(); err != nil {
		t.Fatal(err)
	}
	heal, stop := context.WithTimeout(ctx, testkit.MaxWait)
	defer stop()
	for _, n := range []string{"c1", "c2"} {
		if err := g.addMember(heal, n); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Await(t, "an owner under a higher token", func() bool {
		s, led := g.look(ctx)
		return led && s.Epoch == before.Epoch+1 && s.Leases[fleet.ResourceRollingUpdate].FencingToken > before.HighestTokens[fleet.ResourceRollingUpdate]
	})
	if s, _ := g.look(ctx); len(s.Nodes) != 2 || s.Position <= before.Position {
		t.Errorf("the state did not go on: %+v", s)
	}
	// The former self of c1 comes back: it is nobody's member any more.
	g.procs["c1"].kill()
	if err := os.RemoveAll(g.procs["c1"].dir); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(g.procs["c1"].dir, os.DirFS(old)); err != nil {
		t.Fatal(err)
	}
	if err := g.procs["c1"].start(); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "it to ask for votes in vain", func() bool { st := status("c1"); return st.LeaderlessFor > time.Second })
	if s, led := g.look(ctx); !led || s.Epoch != before.Epoch+1 {
		t.Errorf("a former self unseated the council: %v", led)
	}
}

// A hold is in force at all nodes, and is said to be; it ends at its time, also while the council is away.
func TestHold(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	g := rig(t, &Script{Seed: 1, Council: 3, Nodes: 3})
	out, err := g.tool("n1", "hold", "s-7", "--for", "5m", "--wait", "30s", "--reason", "it answers wrongly", "--id", "h")
	if err != nil || !strings.Contains(out, "h: in force at 3 of 3 nodes") {
		t.Fatalf("%v: %s", err, out)
	}
	if n := g.court.holds("s-7"); n != 3 {
		t.Errorf("held at %d nodes", n)
	}
	if out, err = g.tool("n1", "lift", "h"); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	testkit.Await(t, "the lift", func() bool { return g.court.holds("s-7") == 0 })
	if out, err = g.tool("n1", "hold", "--zone", "bystrica", "--for", "7s", "--reason", "its link"); err != nil {
		t.Errorf("a zone's servers: %v: %s", err, out)
	}
	testkit.Await(t, "a zone's hold", func() bool { return g.court.holds("b-1") == 3 && g.court.holds("b-2") == 3 })
	for _, n := range []string{"c1", "c2", "c3"} {
		g.procs[n].kill()
	}
	testkit.Await(t, "its end", func() bool { return g.court.holds("b-1")+g.court.holds("b-2") == 0 })
	if out, err = g.tool("n1", "hold", "s-7", "--for", "6s", "--reason", "again"); err == nil || !strings.Contains(out, "no replica reported the outcome") {
		t.Errorf("without a council: %v: %s", err, out)
	}
}
