package multiprocess

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

const (
	startWithin = 20 * time.Second
	healWithin  = 60 * time.Second // after the last fault: for the round under way to end
	lookAgain   = 20 * time.Millisecond
	logLines    = 400
	zones       = 3
)

// Options are what a run is told beside its script.
type Options struct {
	Command []string // starts a process: one that calls Child
	Without string   // guards that all processes lack
	Log     io.Writer
}

// Rig is a run.
type Rig struct {
	clock   atomic.Pointer[time.Time] // when the script began
	s       *Script
	o       Options
	dir     string
	quiet   *slog.Logger
	procs   map[string]*proc
	relays  map[[2]string]*relay
	court   *court
	traffic *traffic // nil: nodes are stand-ins
	client  *agent.Client
	parts   sync.WaitGroup
	quit    chan struct{}
	Counts  Counts

	mu       sync.Mutex
	injected map[string]int
	rounds   []string
	ended    int
}

// Result is what a run came to.
type Result struct {
	Script  *Script
	Broken  []string // rules, each with the effect that broke it
	Effects int
	Owners  int // tokens under which effects came
	Late    int // effects under an older token than another node had seen already
	Refused uint64
	Commits int
	Rounds  int // that ended
	Faults  map[string]int
	Links   string
	Asks    []Ask
	Log     string // the ends of all logs, where something is broken
	Traffic string // of real nodes
}

func (r *Result) String() string {
	var faults []string
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		faults = append(faults, fmt.Sprintf("%s %d", k, r.Faults[k]))
	}
	return fmt.Sprintf("%d effects under %d owners (%d late and harmless, %d refused), %d patches in %d rounds; %s; %s",
		r.Effects, r.Owners, r.Late, r.Refused, r.Commits, r.Rounds, strings.Join(faults, ", "), r.Links+r.Traffic)
}

// proc is one process, and what it needs to be started again.
type proc struct {
	g    *Rig
	name string
	role string
	dir  string
	bad  string // while this file is there, its disk fails

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	addr   string
	log    []string
	faults int        // that keep it down
	life   sync.Mutex // of one start or end at a time
}

func canonical(name string) string {
	kind, n := 1, 0
	if name[0] == 'n' {
		kind = 2
	}
	_, _ = fmt.Sscanf(name[1:], "%d", &n) // names are the rig's
	return fmt.Sprintf("127.99.%d.%d:7600", kind, n)
}

func (g *Rig) began() time.Time { return *g.clock.Load() }

func (g *Rig) since() time.Duration { return time.Since(g.began()) }

// begins has the script's time begin now.
func (g *Rig) begins() {
	now := time.Now()
	g.clock.Store(&now)
}

// where is the real address of a process; empty while it is down.
func (g *Rig) where(name string) string {
	p := g.procs[name]
	if p == nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Run plays a script. All that it has started has ended when it returns. An error says what could not be played.
func Run(ctx context.Context, s *Script, o Options) (_ *Result, err error) {
	g, err := Start(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer g.End()
	var faults sync.WaitGroup
	for i, f := range s.Faults {
		faults.Go(func() { g.play(ctx, i, f) })
	}
	work, stop := context.WithCancel(ctx)
	if g.traffic != nil {
		g.parts.Go(func() { g.traffic.run(work) })
	}
	rounds, last := context.WithCancel(work)
	defer last()
	g.parts.Go(func() { g.rounds_(rounds) })
	wait(ctx, g.began().Add(s.Length))
	faults.Wait()
	last()
	healed := g.heal(ctx)
	stop()
	if g.traffic != nil {
		healed = append(healed, g.traffic.verdict()...)
	}
	r := g.result()
	r.Broken = append(r.Broken, healed...)
	if len(r.Broken) > 0 {
		r.Log = g.logs()
	}
	return r, ctx.Err()
}

// Start starts all that a script names, and plays none of its faults. Whoever calls it ends it with End.
func Start(ctx context.Context, s *Script, o Options) (_ *Rig, err error) {
	g := &Rig{
		s: s, o: o, procs: make(map[string]*proc), relays: make(map[[2]string]*relay), quit: make(chan struct{}), injected: make(map[string]int),
		quiet: slog.New(slog.DiscardHandler),
	}
	g.begins()
	if g.dir, err = os.MkdirTemp("", "fleet"); err != nil {
		return nil, err
	}
	if err := g.start(ctx); err != nil {
		defer g.End()
		return nil, fmt.Errorf("%w\n%s", err, g.logs())
	}
	g.begins()
	return g, nil
}

func wait(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// start starts all, and waits until the council has all its members and all nodes have joined.
func (g *Rig) start(ctx context.Context) error {
	var err error
	if g.court, err = newCourt(g); err != nil {
		return err
	}
	if err := tokenFile(filepath.Join(g.dir, "token")); err != nil {
		return err
	}
	names := g.s.Names()
	for _, n := range names {
		g.procs[n] = &proc{g: g, name: n, dir: filepath.Join(g.dir, n), bad: filepath.Join(g.dir, n+".bad"), role: map[byte]string{'c': "council", 'n': "agent"}[n[0]]}
	}
	seed := g.s.Seed
	for _, from := range names {
		for _, to := range names {
			if from == to && from[0] == 'c' || from[0] == 'c' && to[0] == 'n' {
				continue
			}
			seed++
			if g.relays[[2]string{from, to}], err = newRelay(g, from, to, seed); err != nil {
				return err
			}
		}
	}
	g.client = agent.NewClient(nil, make(map[string]string), "a-secret-of-the-rig", nil)
	for _, n := range names {
		p := g.procs[n]
		if err := p.configure(); err != nil {
			return err
		}
		if n[0] == 'c' {
			g.client.Replicas = append(g.client.Replicas, canonical(n))
		} else if err := g.court.add(n, filepath.Join(g.dir, n+".sock")); err != nil {
			return err
		}
	}
	if g.s.Load > 0 {
		if g.traffic, err = newTraffic(g); err != nil {
			return err
		}
	}
	if out, err := g.tool("c1", "init"); err != nil {
		return fmt.Errorf("init: %w: %s", err, out)
	}
	for _, n := range names {
		if err := g.procs[n].start(); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(ctx, startWithin)
	defer stop()
	for _, n := range names[1:g.s.Council] {
		if err := g.addMember(ctx, n); err != nil {
			return err
		}
	}
	return g.await(ctx, "all nodes to join", func(s *fleet.State) bool { return len(s.Nodes) == g.s.Nodes })
}

// direct is a client that no fault of links meets, with the addresses of now.
func (g *Rig) direct() *agent.Client {
	via := make(map[string]string)
	for n := range g.procs {
		if at := g.where(n); at != "" {
			via[canonical(n)] = at
		}
	}
	return &agent.Client{Replicas: g.client.Replicas, AddressOverrides: via, AuthToken: g.client.AuthToken, HTTP: g.client.HTTP}
}

// look is the newest state that any member tells of; nil where none does.
func (g *Rig) look(ctx context.Context) (s *fleet.State, led bool) {
	ctx, stop := context.WithTimeout(ctx, 500*time.Millisecond)
	defer stop()
	for _, st := range g.direct().Statuses(ctx) {
		led = led || st.LeaderID != "" && st.LeaderID == st.ID
		if s == nil || st.State.NewerThan(s) {
			s = st.State
		}
	}
	return s, led
}

func (g *Rig) await(ctx context.Context, what string, ok func(*fleet.State) bool) error {
	for ctx.Err() == nil {
		if s, led := g.look(ctx); s != nil && led && ok(s) {
			return nil
		}
		wait(ctx, time.Now().Add(lookAgain))
	}
	return fmt.Errorf("waited in vain for %s: %w", what, ctx.Err())
}

// addMember does as an operator does: a former self of the member is removed first.
func (g *Rig) addMember(ctx context.Context, name string) error {
	for ctx.Err() == nil {
		one, stop := context.WithTimeout(ctx, 2*time.Second)
		err := g.addOnce(one, name)
		stop()
		if err == nil {
			return nil
		}
		wait(ctx, time.Now().Add(5*lookAgain))
	}
	return fmt.Errorf("member %s could not be added: %w", name, ctx.Err())
}

func (g *Rig) addOnce(ctx context.Context, name string) error {
	c := g.direct()
	var st consensus.Status
	if err := c.Call(ctx, http.MethodGet, canonical(name), "/status", nil, &st); err != nil {
		return err
	}
	s, led := g.look(ctx)
	if s == nil || !led {
		return errors.New("no leader")
	}
	change := func(o consensus.MembershipRequest) error {
		var err error
		for _, addr := range c.Replicas {
			if err = c.Call(ctx, http.MethodPost, addr, "/member", o, new(consensus.ProposeResponse)); err == nil {
				return nil
			}
		}
		return err
	}
	for id, m := range s.Members {
		text := fmt.Sprintf("%x", id)
		switch {
		case text == st.ID && !m.Learner:
			return nil
		case text == st.ID:
			return errors.New("it catches up")
		case m.Name == name:
			if err := change(consensus.MembershipRequest{ID: text, Name: name, Remove: true}); err != nil {
				return err
			}
		}
	}
	if err := change(consensus.MembershipRequest{ID: st.ID, Name: name, Address: canonical(name)}); err != nil {
		return err
	}
	return errors.New("looked at again")
}

// tool runs a command of the operators' with a process's own file; its words come by the environment.
func (g *Rig) tool(name string, words ...string) (string, error) {
	cmd := exec.Command(g.o.Command[0], g.o.Command[1:]...)
	cmd.Env = append(os.Environ(), roleEnv+"=tool", wordsEnv+"="+strings.Join(words, "\n"), "WAYHOLD_CONFIG="+filepath.Join(g.dir, name+".toml"))
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// configure writes a process's own file.
func (p *proc) configure() error {
	var b strings.Builder
	s := p.g.s
	index := 0
	_, _ = fmt.Sscanf(p.name[1:], "%d", &index) // names are the rig's
	fmt.Fprintf(&b, "[fleet]\nname = %q\nlisten = \"127.0.0.1:0\"\naddress = %q\ntoken_file = %q\ndir = %q\nlease = %q\ntick = %q\ntimeout = \"10s\"\n",
		p.name, canonical(p.name), filepath.Join(p.g.dir, "token"), p.dir, s.Lease, s.Tick)
	var members []string
	for _, n := range s.Names()[:s.Council] {
		members = append(members, fmt.Sprintf("%q", canonical(n)))
	}
	if len(members)%2 == 1 {
		fmt.Fprintf(&b, "council = [%s]\n", strings.Join(members, ", "))
	}
	if p.role == "agent" {
		fmt.Fprintf(&b, "zone = \"z%d\"\n", (index-1)%zones)
		if s.Owners == 0 || index <= s.Owners {
			b.WriteString("owns = [\"round\"]\n")
		}
		for key, role := range map[string]string{"patch": "patch", "look": "look", "revert": "patch"} {
			fmt.Fprintf(&b, "%s = [\"/usr/bin/env\", \"%s=%s\", \"%s=%s\"", key, roleEnv, role, courtEnv, p.g.court.ln.Addr())
			for _, w := range p.g.o.Command {
				fmt.Fprintf(&b, ", %q", w)
			}
			b.WriteString("]\n")
		}
	}
	b.WriteString("[fleet.via]\n")
	for key, r := range p.g.relays {
		if key[0] == p.name {
			fmt.Fprintf(&b, "%q = %q\n", canonical(key[1]), r.addr)
		}
	}
	if p.role == "agent" {
		fmt.Fprintf(&b, "[door]\nsocket = %q\n", filepath.Join(p.g.dir, p.name+".sock"))
	}
	return os.WriteFile(filepath.Join(p.g.dir, p.name+".toml"), []byte(b.String()), 0o600)
}

var listening = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// start starts the process, and waits until it listens.
func (p *proc) start() error {
	p.life.Lock()
	defer p.life.Unlock()
	cmd := exec.Command(p.g.o.Command[0], p.g.o.Command[1:]...)
	cmd.Env = append(os.Environ(), roleEnv+"="+p.role, "WAYHOLD_CONFIG="+filepath.Join(p.g.dir, p.name+".toml"), withoutEnv+"="+p.g.o.Without,
		historyEnv+"="+filepath.Join(p.g.dir, p.name+".asks"), syncEnv+"="+p.bad, "GOMAXPROCS=2")
	// It dies with the rig, whatever happens to that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	found, exited := make(chan string, 1), make(chan struct{})
	p.g.parts.Go(func() {
		lines := bufio.NewScanner(logs)
		for lines.Scan() {
			if m := listening.FindStringSubmatch(lines.Text()); m != nil {
				select {
				case found <- m[1]:
				default:
				}
			}
			p.mu.Lock()
			if p.log = append(p.log, fmt.Sprintf("%8.3f %s", p.g.since().Seconds(), lines.Text())); len(p.log) > logLines {
				p.log = p.log[1:]
			}
			p.mu.Unlock()
		}
		_, _ = io.Copy(io.Discard, logs) // a line too long to scan
		_ = cmd.Wait()                   // its end is seen by the log
		p.mu.Lock()
		p.addr = ""
		p.mu.Unlock()
		close(exited)
	})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	select {
	case addr := <-found:
		p.mu.Lock()
		p.addr = addr
		p.mu.Unlock()
		return nil
	case <-exited:
		return fmt.Errorf("%s did not start", p.name)
	case <-time.After(startWithin):
		return fmt.Errorf("%s never listened", p.name)
	}
}

// kill ends the process at once.
func (p *proc) kill() {
	p.life.Lock()
	defer p.life.Unlock()
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended by itself
	<-exited
}

// stop ends the process in order.
func (p *proc) stop() {
	p.life.Lock()
	defer p.life.Unlock()
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-exited:
	case <-time.After(startWithin):
		_ = cmd.Process.Kill()
		<-exited
	}
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

func (p *proc) up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr != ""
}

// down notes that one more fault keeps the process down, or one less; it tells how many do.
func (p *proc) down(by int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults += by
	return p.faults
}

// play carries out one fault.
func (g *Rig) play(ctx context.Context, i int, f Fault) {
	wait(ctx, g.began().Add(f.At))
	end := g.began().Add(f.At + f.For)
	g.mu.Lock()
	g.injected[f.Kind]++
	g.mu.Unlock()
	f.On = g.resolve(ctx, f.On)
	f.With = g.resolve(ctx, f.With)
	if len(f.On) == 0 {
		return
	}
	switch f.Kind {
	case "kill":
		for _, n := range f.On {
			g.procs[n].down(1)
			g.procs[n].kill()
			g.ruin(n, f.Disk)
		}
		wait(ctx, end)
		for _, n := range f.On {
			g.revive(ctx, n)
		}
	case "stop":
		for _, n := range f.On {
			g.procs[n].signal(syscall.SIGSTOP)
		}
		wait(ctx, end)
		for _, n := range f.On {
			g.procs[n].signal(syscall.SIGCONT)
		}
	case "jump", "rate":
		s := map[string]syscall.Signal{"jump": syscall.SIGUSR1, "rate": syscall.SIGUSR2}[f.Kind]
		for _, n := range f.On {
			g.procs[n].signal(s)
		}
		wait(ctx, end)
	case "sync":
		for _, n := range f.On {
			g.procs[n].down(1)
			_ = os.WriteFile(g.procs[n].bad, nil, 0o600)
		}
		wait(ctx, end)
		for _, n := range f.On {
			_ = os.Remove(g.procs[n].bad)
			g.procs[n].kill() // most have ended by themselves
			g.revive(ctx, n)
		}
	default:
		g.begin(i, f)
		wait(ctx, end)
		g.lift(i)
	}
}

// resolve names who is the owner, or the leader, now; nobody where there is none.
func (g *Rig) resolve(ctx context.Context, names []string) (all []string) {
	for _, n := range names {
		switch n {
		case theOwner:
			if s, _ := g.look(ctx); s != nil && s.Leases[fleet.ResourceRollingUpdate].Holder != "" {
				name, _, _ := strings.Cut(s.Leases[fleet.ResourceRollingUpdate].Holder, "/")
				all = append(all, name)
			}
		case theLeader:
			for _, st := range g.direct().Statuses(ctx) {
				if st.LeaderID != "" && st.LeaderID == st.ID {
					all = append(all, st.Name)
				}
			}
		default:
			all = append(all, n)
		}
	}
	return all
}

// revive starts a process again once no fault keeps it down.
func (g *Rig) revive(ctx context.Context, name string) {
	p := g.procs[name]
	if p.down(-1) > 0 || ctx.Err() != nil {
		return
	}
	if err := p.start(); err != nil {
		g.fail(err.Error())
		return
	}
	if name[0] == 'c' {
		g.parts.Go(func() { // where its disk is new, an operator adds it
			ctx, stop := context.WithTimeout(ctx, healWithin)
			defer stop()
			if err := g.addMember(ctx, name); err != nil {
				g.fail(err.Error())
			}
		})
	}
}

func (g *Rig) fail(what string) {
	what = fmt.Sprintf("%.3fs: %s", g.since().Seconds(), what)
	g.court.mu.Lock()
	defer g.court.mu.Unlock()
	g.court.broken = append(g.court.broken, what)
}

// ruin does to the disk of a process that is down what a fault asks for.
func (g *Rig) ruin(name, how string) {
	p := g.procs[name]
	switch how {
	case "none":
		_ = os.RemoveAll(p.dir)
	case "torn":
		g.tear(filepath.Join(p.dir, "council", "council.db"))
	case "older":
		// A receiver's memory as it was at the start: the log still tells it of newer owners.
		_ = os.Remove(filepath.Join(p.dir, "receiver.json"))
	}
}

// tear is the end of a write that was under way: of the two pages that tell where the tree is, the next transaction
// writes the older one. Nothing that was said to be synced is touched.
func (g *Rig) tear(path string) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return
	}
	defer f.Close()
	page := int64(os.Getpagesize())
	const txid = 16 + 48 // of the meta behind the page's header: its eighth field
	var ids [2]uint64
	for i := range ids {
		var b [8]byte
		if _, err := f.ReadAt(b[:], int64(i)*page+txid); err != nil {
			return
		}
		for j := 7; j >= 0; j-- {
			ids[i] = ids[i]<<8 | uint64(b[j])
		}
	}
	older := int64(0)
	if ids[1] < ids[0] {
		older = 1
	}
	_, _ = f.WriteAt([]byte("a write that was torn"), older*page+24)
}

// rounds_ keeps a round going on, as an operator would who never has enough.
func (g *Rig) rounds_(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("r%d", n)
		if !g.round(ctx, id) {
			return
		}
	}
}

func (g *Rig) spec() *fleet.JobSpec {
	return &fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: g.s.Names()[g.s.Council:], MaxUnavailable: g.s.AtOnce, MinCapacity: g.s.Need, MaxFailures: 0, DrainTimeout: 5 * time.Second}
}

// round begins a round, and waits for its end.
func (g *Rig) round(ctx context.Context, id string) bool {
	asked := false
	for ctx.Err() == nil {
		s, _ := g.look(ctx)
		switch {
		case s == nil:
		case s.Jobs[id] == nil:
			one, stop := context.WithTimeout(ctx, time.Second)
			c := g.direct()
			for _, addr := range c.Replicas { // an answer that is lost is asked for again: the id is the same
				if c.Call(one, http.MethodPost, addr, "/propose", fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: g.spec(), RequestedBy: "rig"}, new(consensus.ProposeResponse)) == nil {
					break
				}
			}
			stop()
			if !asked {
				asked = true
				g.mu.Lock()
				g.rounds = append(g.rounds, id)
				g.mu.Unlock()
			}
		case s.Jobs[id].CloseReason != "":
			g.judge(s.Jobs[id])
			return true
		}
		wait(ctx, time.Now().Add(2*lookAgain))
	}
	return false
}

// judge holds a round that is over against what the stand-ins saw.
func (g *Rig) judge(j *fleet.Job) {
	g.mu.Lock()
	g.ended++
	g.mu.Unlock()
	patched := g.court.patched(j.ID)
	failed := 0
	for k, st := range j.Steps {
		if k.Action == fleet.ActionPatch && st.Outcome != fleet.OutcomeOK {
			failed++
		}
	}
	switch {
	case j.CloseReason != "done":
		g.fail(fmt.Sprintf("round %s ended as %s: %s", j.ID, j.CloseReason, j.Detail))
	case patched+failed < len(j.Spec.Nodes):
		g.fail(fmt.Sprintf("round %s: steps lost: %d nodes patched and %d failed of %d", j.ID, patched, failed, len(j.Spec.Nodes)))
	}
}

// heal waits for the round under way to end, once all faults are over.
func (g *Rig) heal(ctx context.Context) []string {
	for _, n := range slices.Sorted(maps.Keys(g.procs)) {
		if p := g.procs[n]; !p.up() {
			if err := p.start(); err != nil {
				return []string{err.Error()}
			}
		}
		g.procs[n].signal(syscall.SIGCONT)
	}
	g.mu.Lock()
	last := ""
	if len(g.rounds) > 0 {
		last = g.rounds[len(g.rounds)-1]
	}
	g.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, healWithin)
	defer stop()
	if last == "" {
		last = "r1"
	}
	if !g.round(ctx, last) {
		s, led := g.look(context.WithoutCancel(ctx))
		state := "no member tells a state"
		if s != nil {
			state = string(s.Marshal())
		}
		return []string{fmt.Sprintf("the round %s did not end within %v of the last fault (a leader: %v): %s", last, healWithin, led, state)}
	}
	return nil
}

// End ends all that was started.
func (g *Rig) End() {
	defer os.RemoveAll(g.dir)
	close(g.quit)
	for _, p := range g.procs {
		p.kill()
	}
	for _, r := range g.relays {
		r.close()
	}
	if g.court != nil {
		g.court.close()
	}
	if g.traffic != nil {
		g.traffic.close()
	}
	g.parts.Wait()
	if g.client != nil {
		g.client.HTTP.CloseIdleConnections()
	}
}

func (g *Rig) result() *Result {
	r := &Result{Script: g.s, Faults: g.injected, Rounds: g.ended}
	if g.traffic != nil {
		r.Traffic = g.traffic.String()
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	c := g.direct()
	for _, n := range g.s.Names() {
		var l agent.Status
		if n[0] == 'n' && c.Call(ctx, http.MethodGet, canonical(n), "/node", struct{}{}, &l) == nil {
			r.Refused += l.Rejected
		}
		r.Asks = append(r.Asks, readHistory(filepath.Join(g.dir, n+".asks"))...)
	}
	g.court.mu.Lock()
	defer g.court.mu.Unlock()
	r.Broken, r.Effects = slices.Clone(g.court.broken), len(g.court.effects)
	r.Late, r.Owners = g.court.overlaps()
	for _, n := range g.court.done {
		r.Commits += n
	}
	k := &g.Counts
	r.Links = fmt.Sprintf("of %d messages %d lost, %d answers lost, %d delayed, %d repeated, %d stalled, %d reset", k.Asks.Load(), k.LostAsks.Load(), k.LostAnswers.Load(),
		k.Delayed.Load(), k.Repeated.Load(), k.Stalled.Load(), k.Reset.Load())
	return r
}

// logs are the ends of all logs, and all effects.
func (g *Rig) logs() string {
	var b strings.Builder
	if g.court != nil {
		for _, e := range g.court.effects {
			fmt.Fprintln(&b, e)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(g.procs)) {
		p := g.procs[n]
		p.mu.Lock()
		fmt.Fprintf(&b, "--- %s\n%s\n", n, strings.Join(p.log[max(0, len(p.log)-60):], "\n"))
		p.mu.Unlock()
	}
	return b.String()
}
