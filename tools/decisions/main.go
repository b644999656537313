// Command decisions compares the policy module's decisions with those of an earlier revision: the simulator's
// adapter is built of both, each build is sent the same random histories, and every reply has to be the same.
//
//	go run ./tools/decisions -base HEAD~1 -histories 10000
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/tools/internal/benchkit"
)

// progressInterval is the time between two lines of progress.
const progressInterval = 5 * time.Second

func main() {
	base := flag.String("base", "HEAD", "the revision to hold the working tree against")
	histories := flag.Int("histories", 1000, "how many histories to play")
	seed := flag.Uint64("seed", 1, "of the first history; the others follow")
	countAll := flag.Bool("all", false, "count the histories that differ, rather than end at the first")
	jobs := flag.Int("jobs", runtime.NumCPU(), "pairs of adapters at once")
	flag.Parse()
	plays := &comparison{histories: int64(*histories), seed: *seed, countAll: *countAll}
	benchkit.ExitOnError("decisions", run(*base, plays, *jobs))
}

func run(base string, plays *comparison, jobs int) error {
	dir, err := os.MkdirTemp("", "decisions")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	former, err := buildFormer(base, dir)
	if err != nil {
		return err
	}
	current := filepath.Join(dir, "now")
	if err := runCommand("go", "build", "-o", current, "./cmd/simhost"); err != nil {
		return err
	}
	plays.former, plays.current = former, current
	if err := plays.run(jobs); err != nil {
		return err
	}
	fmt.Printf("%d histories from seed %d, %d replies with %d actions: %d differ from %s\n", plays.histories, plays.seed,
		plays.counts.replies.Load(), plays.counts.actions.Load(), plays.differing.Load(), base)
	return nil
}

// buildFormer builds the adapter as it was at a revision.
func buildFormer(base, dir string) (string, error) {
	tree := filepath.Join(dir, "tree")
	if err := os.Mkdir(tree, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "tree.tar")
	if err := runCommand("git", "archive", "-o", archive, base); err != nil {
		return "", err
	}
	if err := runCommand("tar", "-xf", archive, "-C", tree); err != nil {
		return "", err
	}
	former := filepath.Join(dir, "former")
	return former, runCommand("go", "build", "-C", tree, "-o", former, "./cmd/simhost")
}

func runCommand(name string, args ...string) error {
	out, err := exec.Command(name, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, out)
	}
	return nil
}

// counts are of all histories together.
type counts struct {
	replies, actions atomic.Int64
}

// comparison plays histories to both builds.
type comparison struct {
	former, current string // paths of the builds
	histories       int64
	seed            uint64
	countAll        bool // do not end at the first difference

	next   atomic.Int64 // index of the next history to play
	counts counts

	differing atomic.Int64 // histories; each ends at its first difference
}

// run plays all histories in so many jobs, until the first difference unless all are counted.
func (c *comparison) run(jobs int) error {
	failed := make(chan error, jobs)
	var all sync.WaitGroup
	for range jobs {
		all.Go(func() {
			if err := c.playHistories(failed); err != nil {
				failed <- err
			}
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	c.printProgress(done)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// playHistories plays one history after the other until all are played or some job has failed.
func (c *comparison) playHistories(failed <-chan error) error {
	for {
		i := c.next.Add(1) - 1
		if i >= c.histories || len(failed) > 0 {
			return nil
		}
		seed := c.seed + uint64(i)
		err := newHistory(seed, &c.counts).play(c.former, c.current)
		switch differs := (*differenceError)(nil); {
		case c.countAll && errors.As(err, &differs):
			c.differing.Add(1)
		case err != nil:
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
}

func (c *comparison) printProgress(done <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			fmt.Fprintf(os.Stderr, "%d of %d histories, %d replies\n",
				min(c.next.Load(), c.histories), c.histories, c.counts.replies.Load())
		case <-done:
			return
		}
	}
}
