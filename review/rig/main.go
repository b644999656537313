// Command rig plays one case: it starts a node with the deploy file's command, and stands in for clients, servers and
// the platform. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs. A case takes at most 20 s.
const timeLimit = 100 * time.Second

// world is what each case gets.
type world struct {
	root    string // the project's root, where the deploy file's commands run
	dir     string // temporary folder
	trouble bool
	rec     *record
}

// verdict is what a case has found.
type verdict struct {
	broken  []string // one line for each breach of the rule
	summary string
}

// cases holds the cases by name. Each case's file adds its own.
var cases = make(map[string]func(w *world) (verdict, error))

var (
	exitMu    sync.Mutex
	exitFuncs []func()
)

// atExit makes f run before the program ends, however it ends.
func atExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	exitFuncs = append(exitFuncs, f)
}

func runExitFuncs() {
	exitMu.Lock()
	defer exitMu.Unlock()
	for i := len(exitFuncs) - 1; i >= 0; i-- {
		exitFuncs[i]()
	}
	exitFuncs = nil
}

func main() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupts:
		case <-time.After(timeLimit):
			fmt.Println("could not run: over the time limit")
		}
		runExitFuncs()
		os.Exit(2)
	}()
	status := run()
	runExitFuncs()
	os.Exit(status)
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	atExit(func() { _ = os.RemoveAll(dir) })
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.printf("case %s, trouble: %v", os.Args[1], w.trouble)
	result, err := cases[os.Args[1]](w)
	if err != nil {
		rec.printf("could not run: %v", err)
		if log, readErr := os.ReadFile(filepath.Join(dir, "node.log")); readErr == nil {
			rec.printf("node.log:\n%s", log)
		}
		fmt.Println("could not run:", err)
		return 2
	}
	for _, line := range result.broken {
		rec.printf("BROKEN: %s", line)
	}
	rec.printf("%s", result.summary)
	fmt.Println(result.summary)
	if len(result.broken) > 0 {
		fmt.Println("broken, for example:", result.broken[0])
		return 1
	}
	return 0
}
