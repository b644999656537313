package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["former-members"] = formerMembers }

// formerMembers: two of three replicas die, and the operator forces a new cluster on the third. Later the two come back
// with their old storage, and an agent is started again. Then the operator disables a server at all nodes.
func formerMembers(w *world) verdict {
	s1, s2 := w.newAppServer("s1", "127.0.0.2", 20*time.Millisecond), w.newAppServer("s2", "127.0.0.3", 20*time.Millisecond)
	f := w.newFleet()
	known := []member{up("s1", s1.addr), up("s2", s2.addr)}
	listen := f.startFleetNode("n1", known, "owns = [\"round\"]\n")
	f.startFleetNode("n2", known, "owns = [\"round\"]\n")
	clients := w.startTraffic(listen, 12, 10*time.Millisecond)
	defer clients.end(w)
	f.await("the agents are there", 20*time.Second, func(s string) bool {
		return strings.Count(s, "at position") >= 2 && contains(s, "owner")
	})
	w.awaitWork(time.Now(), s1)
	if w.trouble {
		f.loseMost()
		f.startReplica("c1")
		f.startReplica("c2")
		f.startAgent("n2", "")
		w.note("c1 and c2 come back with their old storage, and so does the agent of n2")
		w.await("a former member leads", 40*time.Second, func() bool {
			return contains(f.viewOf("c1"), "c1 leads") || contains(f.viewOf("c2"), "c2 leads")
		})
		time.Sleep(5 * time.Second)
	}
	var leaders []string
	for _, name := range []string{"c1", "c2", "c3"} {
		view := f.viewOf(name)
		w.note("%s says:\n%s", name, view)
		if contains(view, name+" leads") {
			leaders = append(leaders, name)
		}
	}
	w.note("leaders: %v", leaders)
	out, err := f.run("hold", "s1", "--for", "10m", "--reason", "broken", "--config", f.configs["c1"])
	w.note("hold s1: %s (error: %v)", strings.TrimSpace(out), err)
	accepted := time.Now()
	if err != nil {
		w.note("the order was not accepted")
		return held
	}
	time.Sleep(20 * time.Second)
	n, last := s1.after(accepted.Add(10 * time.Second))
	w.note("later than 10 s after the order was accepted, s1 got %d requests", n)
	if n == 0 {
		return held
	}
	w.note("the last came %v after it", last.Sub(accepted).Round(time.Millisecond))
	return broken
}

// loseMost kills c1 and c2 and the agent of n2, and forces a new cluster on c3 as docs/fleet.md says.
func (f *fleet) loseMost() {
	f.replicas["c1"].kill()
	f.replicas["c2"].kill()
	f.agents["n2"].kill()
	f.w.note("c1, c2 and the agent of n2 are killed")
	_ = f.replicas["c3"].cmd.Process.Signal(syscall.SIGTERM)
	f.w.await("c3 stops", 10*time.Second, f.replicas["c3"].ended)
	f.w.note("recover: %s", strings.TrimSpace(f.command("recover", "c3", "--reason", "c1 and c2 are lost")))
	f.startReplica("c3")
	f.await("the agent of n1 follows the new cluster", 40*time.Second, func(s string) bool {
		return contains(s, "c3 leads") && contains(s, "epoch 2") && contains(s, "n1/")
	})
	f.w.note("%s", f.command("status", "c3"))
}
