package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["drain-under-hold"] = drainUnderHold }

// drainUnderHold: an order of the fleet disables a server for some seconds. Meanwhile the operator of one node drains the
// same server by hand, for good. The order ends.
func drainUnderHold(w *world) verdict {
	s1, s2 := w.newAppServer("s1", "127.0.0.2", 20*time.Millisecond), w.newAppServer("s2", "127.0.0.3", 20*time.Millisecond)
	f := w.newFleet()
	listen := f.startFleetNode("n1", []member{up("s1", s1.addr), up("s2", s2.addr)}, "owns = [\"round\"]\n")
	clients := w.startTraffic(listen, 12, 10*time.Millisecond)
	defer clients.end(w)
	f.await("the agent is there", 20*time.Second, func(s string) bool { return contains(s, "at position") })
	w.awaitWork(time.Now(), s1)
	if w.trouble {
		out := f.command("hold s1", "c1", "--for", "8s", "--reason", "looks slow", "--wait", "5s")
		w.note("hold s1: %s", strings.TrimSpace(out))
	}
	door := filepath.Join(w.dir, "n1.sock")
	out, err := exec.Command(filepath.Join(w.root, "bin", "wayhold"), "ctl", "server", "drain", "s1", "--door", door).CombinedOutput()
	told := time.Now()
	w.note("ctl server drain s1: %s (error: %v)", strings.TrimSpace(string(out)), err)
	if err != nil {
		w.fail("the drain was not accepted")
	}
	time.Sleep(20 * time.Second)
	out, err = exec.Command(filepath.Join(w.root, "bin", "wayhold"), "ctl", "status", "--door", door).CombinedOutput()
	w.note("ctl status: %s", fmt.Sprint(string(out), err))
	return w.judgeDrain(s1, told)
}
