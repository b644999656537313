package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["patch-of-killed-agent"] = patchOfKilledAgent }

// patchOfKilledAgent: the operator's command is a shell script that runs a program. The agent is killed while the program
// runs, and started again.
func patchOfKilledAgent(w *world) verdict {
	log, patched := filepath.Join(w.dir, "patches.log"), filepath.Join(w.dir, "patched")
	install := w.writeFile("install.sh", fmt.Sprintf("sleep 10\necho applied >> %q\ntouch %q\n", log, patched))
	pids := filepath.Join(w.dir, "pids")
	patch := w.writeFile("patch.sh", fmt.Sprintf(
		"echo $$ >> %q\necho \"begins for $WAYHOLD_NODE\" >> %q\n/bin/sh %q || exit 1\necho ends >> %q\n",
		pids, log, install, log))
	defer endGroups(pids)
	commands := fmt.Sprintf("patch = [\"/bin/sh\", %q]\nlook = [\"/bin/sh\", \"-c\", \"test -e %s\"]\n", patch, patched)
	read := func() string {
		raw, _ := os.ReadFile(log)
		return string(raw)
	}
	f := w.newFleet()
	f.startFleetNode("n1", []member{}, "owns = [\"round\"]\n")
	f.startFleetNode("n2", []member{}, "owns = [\"round\"]\n")
	f.startFleetNode("n3", []member{}, commands)
	f.await("all agents are there", 20*time.Second, func(s string) bool { return strings.Count(s, "at position") >= 3 })
	w.note("%s", strings.TrimSpace(f.command("round start n3", "c1", "--drain", "2s", "--id", "r1")))
	w.await("the patch begins", 30*time.Second, func() bool { return contains(read(), "begins") })
	w.note("the patch of n3 has begun")
	if w.trouble {
		time.Sleep(2 * time.Second)
		f.agents["n3"].killAlone()
		w.note("the agent of n3 is killed")
		time.Sleep(time.Second)
		f.startAgent("n3", "")
	}
	f.await("the end of the round", 60*time.Second, func(s string) bool { return contains(s, "done") || contains(s, "stopped") })
	time.Sleep(12 * time.Second)
	for _, line := range strings.Split(strings.TrimSpace(read()), "\n") {
		w.note("patches.log: %s", line)
	}
	w.note("%s", f.command("status", "c1"))
	applied := strings.Count(read(), "applied")
	w.note("the patch was applied %d times", applied)
	if applied > 1 {
		return broken
	}
	return held
}

// endGroups ends what is left of the process groups in a file, those of the commands that agents have run.
func endGroups(path string) {
	raw, _ := os.ReadFile(path)
	for _, word := range strings.Fields(string(raw)) {
		if pid, err := strconv.Atoi(word); err == nil && pid > 1 {
			_ = syscall.Kill(-pid, syscall.SIGKILL)
		}
	}
}
