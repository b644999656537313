// Command decisions holds the module's decisions against those of an earlier revision: both builds of
// the simulator's adapter are played the same random histories, and every reply has to be the same.
//
//	go run ./tools/decisions -base HEAD~1 -histories 10000
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func main() {
	base := flag.String("base", "HEAD", "the revision to hold the working tree against")
	histories := flag.Int("histories", 1000, "how many histories to play")
	seed := flag.Uint64("seed", 1, "of the first history; the others follow")
	jobs := flag.Int("jobs", runtime.NumCPU(), "pairs of adapters at once")
	flag.Parse()
	if err := run(*base, *histories, *seed, *jobs); err != nil {
		fmt.Fprintln(os.Stderr, "decisions:", err)
		os.Exit(1)
	}
}

func run(base string, histories int, seed uint64, jobs int) error {
	dir, err := os.MkdirTemp("", "decisions")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	former, err := buildFormer(base, dir)
	if err != nil {
		return err
	}
	now := filepath.Join(dir, "now")
	if err := command("go", "build", "-o", now, "./cmd/simhost"); err != nil {
		return err
	}
	var next, replies, actions atomic.Int64
	failed := make(chan error, jobs)
	var all sync.WaitGroup
	for range jobs {
		all.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(histories) || len(failed) > 0 {
					return
				}
				h := newHistory(seed+uint64(i), &replies, &actions)
				if err := h.play(former, now); err != nil {
					failed <- fmt.Errorf("seed %d: %w", seed+uint64(i), err)
					return
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	for tick := time.NewTicker(5 * time.Second); ; {
		select {
		case <-tick.C:
			fmt.Fprintf(os.Stderr, "%d of %d histories, %d replies\n", min(next.Load(), int64(histories)), histories, replies.Load())
			continue
		case <-done:
		}
		tick.Stop()
		break
	}
	select {
	case err := <-failed:
		return err
	default:
	}
	fmt.Printf("%d histories from seed %d, %d replies with %d actions: the same as at %s\n", histories, seed, replies.Load(), actions.Load(), base)
	return nil
}

// buildFormer builds the adapter as it was at a revision.
func buildFormer(base, dir string) (string, error) {
	tree := filepath.Join(dir, "tree")
	if err := os.Mkdir(tree, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "tree.tar")
	if err := command("git", "archive", "-o", archive, base); err != nil {
		return "", err
	}
	if err := command("tar", "-xf", archive, "-C", tree); err != nil {
		return "", err
	}
	former := filepath.Join(dir, "former")
	return former, command("go", "build", "-C", tree, "-o", former, "./cmd/simhost")
}

func command(name string, args ...string) error {
	out, err := exec.Command(name, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, out)
	}
	return nil
}

// adapter is one running build. A reply is read whole before the next batch is written.
type adapter struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func start(path string) (*adapter, error) {
	a := &adapter{cmd: exec.Command(path)}
	a.cmd.Stderr = os.Stderr
	out, err := a.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	a.out = bufio.NewScanner(out)
	a.out.Buffer(nil, 1<<20)
	if a.in, err = a.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	return a, a.cmd.Start()
}

func (a *adapter) ask(batch string) ([]string, error) {
	if _, err := io.WriteString(a.in, batch); err != nil {
		return nil, err
	}
	var reply []string
	for a.out.Scan() {
		if a.out.Text() == `["yield"]` {
			return reply, nil
		}
		reply = append(reply, a.out.Text())
	}
	return nil, fmt.Errorf("the adapter ended: %w", errors.Join(a.out.Err(), io.ErrUnexpectedEOF))
}

func (a *adapter) stop() error {
	a.in.Close()
	return a.cmd.Wait()
}

// history is one random life of a node.
type history struct {
	r                *rand.Rand
	now              float64
	batch            strings.Builder
	out              []sent // attempts without an outcome
	attempts         map[string]int
	timers           []timer
	servers, asked   int
	replies, actions *atomic.Int64
}

type sent struct {
	id, server string
	attempt    int
	at         float64
}

type timer struct {
	due   float64
	token string
}

func newHistory(seed uint64, replies, actions *atomic.Int64) *history {
	return &history{r: rand.New(rand.NewPCG(seed, 1)), now: 5000, attempts: make(map[string]int), replies: replies, actions: actions}
}

func (h *history) line(format string, args ...any) {
	fmt.Fprintf(&h.batch, format+"\n", args...)
}

func pick[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// configure draws a site: few nodes or many, classes bound to kinds or zones, with and without quotas.
func (h *history) configure() {
	nodes := pick(h.r, 1, 2, 3, 4, 9, 40)
	bound := pick(h.r, "", "", `,"servedOn":["k1"]`, `,"localitiesOnly":["a","b"]`)
	tenants := pick(h.r, "", `,"tenants":[{"name":"t0","quotaRps":200,"fraction":0.5},{"name":"t1","quotaRps":40,"fraction":0.1}]`)
	extra := pick(h.r, "", `,"minExtra":5,"budgetShare":0.2,"ratioSpan":5000`)
	h.line(`["configure",0,%d,{"position":%d,"groupSize":%d,"zone":"a","familyInfo":{"warmKeys":%t},"services":[`+
		`{"name":"read","aim":300,"deadline":1500,"repeat":"free","lateWorth":0.2,"value":1},`+
		`{"name":"pay","aim":400,"deadline":1500,"repeat":"single_shot","lateWorth":0.2,"value":1%s},`+
		`{"name":"undo","aim":500,"deadline":2000,"repeat":"guarded","group":"%s","window":1000,"value":1}],`+
		`"limits":{"cancelling":true,"secondCopies":%t,"retryAfter":true,"maxAttempts":%d,"connIdle":%d},`+
		`"guarantees":{"graceToAnswer":50,"drainGrace":500,"coldShare":0.3,"cold":5000,"fallMultiple":3,"overloadFor":1000%s}%s}]`,
		h.r.Uint32(), h.r.IntN(nodes), nodes, h.r.IntN(3) == 0, bound, pick(h.r, "all", "zone", "cell"),
		h.r.IntN(2) == 0, 1+h.r.IntN(5), pick(h.r, 0, 5000), extra, tenants)
}

func (h *history) entry(i int, state string) string {
	since := "null"
	if h.r.IntN(12) == 0 {
		since = fmt.Sprintf("%.3f", h.now-1000)
	}
	return fmt.Sprintf(`[%s,"%s",1,"k%d","%s",%d,"s%04d"]`, since, state, 1+h.r.IntN(2), pick(h.r, "a", "a", "b", "c"), h.r.IntN(4), i)
}

// list says a whole list, or some changes of it.
func (h *history) list(how string) {
	var entries []string
	if how != "update" {
		for i := h.r.IntN(1 + h.servers/2); i < h.servers; i++ {
			entries = append(entries, h.entry(i, "Running"))
		}
	} else {
		for range 1 + h.r.IntN(pick(h.r, 3, 30)) {
			entries = append(entries, h.entry(h.r.IntN(h.servers+3), pick(h.r, "Running", "Running", "Stopping", "Deleted")))
		}
	}
	h.line(`["list",0,[%s]]`, strings.Join(entries, ","))
	h.line(`["peersKnown",0,"%s",1,0]`, how)
}

func (h *history) requests() {
	for range 1 + h.r.IntN(h.servers/4+2) {
		h.asked++
		h.line(`["ingress",0,"r%d","%s","t%d","key%d",%d]`, h.asked, pick(h.r, "read", "pay", "undo", "other"), h.r.IntN(3), h.r.IntN(7), 100+h.r.IntN(1900))
	}
}

func (h *history) outcomes() {
	for range min(len(h.out), 1+h.r.IntN(h.servers/4+2)) {
		i := h.r.IntN(len(h.out))
		o := h.out[i]
		h.out = append(h.out[:i], h.out[i+1:]...)
		rc := pick(h.r, "done", "done", "done", "done", "done", "err", "busy", "etimedout", "econnrefused", "econnreset")
		h.line(`["completed",0,"%s",%d,"%s","%s",%.3f,%t]`, o.id, o.attempt, o.server, rc, h.now-o.at, rc == "done")
	}
}

func (h *history) due() {
	var later []timer
	for _, t := range h.timers {
		if t.due <= h.now {
			h.line(`["reminder",0,%s]`, t.token)
		} else {
			later = append(later, t)
		}
	}
	h.timers = later
}

// step writes one batch.
func (h *history) step(first bool) string {
	h.batch.Reset()
	h.now += float64(h.r.IntN(60))
	h.line(`["mark",%.3f]`, h.now)
	if first {
		h.servers = pick(h.r, 3, 20, 130, 300)
		h.configure()
		h.list("restored")
	}
	h.due()
	switch h.r.IntN(10) {
	case 0:
		h.list("update")
	case 1:
		if h.r.IntN(8) == 0 {
			h.list("replace")
		}
	case 2, 3, 4:
		h.requests()
	default:
		h.outcomes()
	}
	h.line(`["eob"]`)
	return h.batch.String()
}

// follow takes over what a reply wants.
func (h *history) follow(reply []string) error {
	for _, line := range reply {
		parts := strings.Split(strings.Trim(line, "[]"), ",")
		for i := range parts {
			parts[i] = strings.Trim(parts[i], `"`)
		}
		switch parts[0] {
		case "handOff":
			h.out = append(h.out, sent{parts[2], parts[3], h.attempts[parts[2]], h.now})
			h.attempts[parts[2]]++
		case "wakeMe":
			var wait float64
			if _, err := fmt.Sscan(parts[2], &wait); err != nil {
				return fmt.Errorf("%s: %w", line, err)
			}
			h.timers = append(h.timers, timer{h.now + wait, parts[3]})
		case "broken":
			return errors.New(line)
		}
	}
	return nil
}

func (h *history) play(former, now string) error {
	a, err := start(former)
	if err != nil {
		return err
	}
	defer a.stop()
	b, err := start(now)
	if err != nil {
		return err
	}
	defer b.stop()
	for i := range 40 + h.r.IntN(160) {
		batch := h.step(i == 0)
		want, err := a.ask(batch)
		if err != nil {
			return err
		}
		got, err := b.ask(batch)
		if err != nil {
			return err
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			return fmt.Errorf("batch %d\n%sformer: %s\nnow:    %s", i, batch, strings.Join(want, "\n        "), strings.Join(got, "\n        "))
		}
		h.replies.Add(1)
		h.actions.Add(int64(len(got)))
		if err := h.follow(got); err != nil {
			return err
		}
	}
	return nil
}
