// Command decisions compares the policy module's decisions with those of an earlier revision. It builds the simulator's
// adapter from both revisions and sends the same random histories to both builds. The replies of the builds must be
// identical.
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

// progressInterval is the time between two progress messages.
const progressInterval = 5 * time.Second

func main() {
	base := flag.String("base", "HEAD", "revision to compare the working tree with")
	histories := flag.Int("histories", 1000, "number of histories")
	seed := flag.Uint64("seed", 1, "seed of the first history; later histories use consecutive seeds")
	countAll := flag.Bool("all", false, "count all differing histories instead of stopping at the first")
	jobs := flag.Int("jobs", runtime.NumCPU(), "maximum number of concurrent pairs of adapters")
	flag.Parse()
	compare := &comparison{histories: int64(*histories), seed: *seed, countAll: *countAll}
	benchkit.ExitOnError("decisions", run(*base, compare, *jobs))
}

func run(base string, compare *comparison, jobs int) error {
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
	compare.formerPath, compare.currentPath = former, current
	if err := compare.run(jobs); err != nil {
		return err
	}
	fmt.Printf("%d histories from seed %d, %d replies with %d actions: %d differ from %s\n",
		compare.histories, compare.seed, compare.counts.replies.Load(), compare.counts.actions.Load(),
		compare.differing.Load(), base)
	return nil
}

// buildFormer builds the adapter from the sources of the given revision and returns the path of the binary.
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

// counts are the totals over all histories.
type counts struct {
	replies, actions atomic.Int64
}

// comparison sends histories to both builds and compares their replies.
type comparison struct {
	formerPath, currentPath string // paths of the two adapter binaries
	histories               int64
	seed                    uint64
	countAll                bool // continue after a difference and count the differing histories

	next   atomic.Int64 // index of the next history to send
	counts counts

	differing atomic.Int64 // number of differing histories; each ends at its first difference
}

// run processes all histories with the given number of concurrent jobs. It stops at the first difference unless
// countAll is set.
func (c *comparison) run(jobs int) error {
	failed := make(chan error, jobs)
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			if err := c.compareHistories(failed); err != nil {
				failed <- err
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	c.printProgress(done)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// compareHistories processes histories one after the other until no history is left or a job has failed.
func (c *comparison) compareHistories(failed <-chan error) error {
	for {
		i := c.next.Add(1) - 1
		if i >= c.histories || len(failed) > 0 {
			return nil
		}
		seed := c.seed + uint64(i)
		err := newHistory(seed, &c.counts).compareBuilds(c.formerPath, c.currentPath)
		switch difference := (*differenceError)(nil); {
		case c.countAll && errors.As(err, &difference):
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
