// Command rig2 runs the cases 6 to 10 of the review. Each case starts programs of the project as separate processes on
// loopback addresses, and plays clients, app servers, the platform's discovery and the network itself.
//
//	rig2 CASE FOLDER
//
// It writes FOLDER/record.txt. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxCaseTime ends a case that hangs. The programs that it has started end with it.
const maxCaseTime = 115 * time.Second

// verdict is the result of a case. It is the exit status of the program.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// cases has the function of each case, by name.
var cases = map[string]func(*world) verdict{}

func main() { os.Exit(int(run())) }

func run() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return couldNot
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	time.AfterFunc(maxCaseTime, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(int(couldNot))
	})
	return w.play(cases[os.Args[1]])
}

// problem is what fail panics with.
type problem string

// play runs a case. A case that calls w.fail could not run.
func (w *world) play(do func(*world) verdict) (result verdict) {
	defer func() {
		if p := recover(); p != nil {
			text, ok := p.(problem)
			if !ok {
				panic(p)
			}
			w.note("could not run: %s", text)
			result = couldNot
		}
		w.note("verdict: %d (0 held, 1 broken, 2 could not run)", result)
	}()
	return do(w)
}

// fail ends the case with the verdict couldNot.
func (w *world) fail(format string, args ...any) { panic(problem(fmt.Sprintf(format, args...))) }
