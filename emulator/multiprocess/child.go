package multiprocess

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/cli"
	"cobaltward/internal/fleetcli"
)

// What a process of the rig is told in its environment, beside its own file.
const (
	roleEnv    = "WAYHOLD_RIG_ROLE"    // council, agent, node, tool; or patch, look: the operator's commands
	courtEnv   = "WAYHOLD_RIG_COURT"   // where effects are told
	historyEnv = "WAYHOLD_RIG_HISTORY" // file to which asks for ownership are written
	syncEnv    = "WAYHOLD_RIG_SYNC"    // file which, while it is there, makes the disk fail
	wordsEnv   = "WAYHOLD_RIG_WORDS"   // of the role tool: a command of the operators', a word a line
	withoutEnv = "WAYHOLD_RIG_WITHOUT" // guards that are taken away
)

// Child is the program as the rig starts it: the same, but that its clock and its disk can be made to lie and its
// guards be taken away. is says whether this process is one of a rig's.
func Child() (status int, is bool) {
	role := os.Getenv(roleEnv)
	switch role {
	case "":
		return 0, false
	case "patch", "look":
		return operators(role), true
	}
	if role == "node" {
		os.Args = []string{"wayhold", "serve"}
		return cli.Main(cli.Extensions{}), true
	}
	if role == "tool" {
		os.Args = append([]string{"wayhold-fleet"}, strings.Split(os.Getenv(wordsEnv), "\n")...)
		return fleetcli.Main(fleetcli.TestHooks{}), true
	}
	os.Args = []string{"wayhold-fleet", role, "--config", os.Getenv("WAYHOLD_CONFIG")}
	r := fleetcli.TestHooks{Clock: lyingClock()}
	for _, g := range strings.Fields(os.Getenv(withoutEnv)) {
		switch g {
		case "token":
			r.Unsafe.SkipFencing = true
		case "wait":
			r.Unsafe.SkipExpiryDelay = true
		case "asking":
			r.Unsafe.CountFromResponse = true
		case "before":
			r.Unsafe.RecordIntentLate = true
		}
	}
	if path := os.Getenv(syncEnv); path != "" {
		r.Storage = func(d consensus.Storage) consensus.Storage { return &badDisk{d, path} }
	}
	if path := os.Getenv(historyEnv); path != "" {
		r.ObserveProposal = writer(path)
	}
	return fleetcli.Main(r), true
}

// lyingClock jumps 10 s at SIGUSR1, and runs a tenth fast from one SIGUSR2 to the next.
func lyingClock() consensus.Clock {
	var mu sync.Mutex
	began := time.Now()
	rate, base, from := 1.0, time.Duration(0), time.Duration(0)
	mono := func() time.Duration { return base + time.Duration(rate*float64(time.Since(began)-from)) }
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			mu.Lock()
			at := mono()
			base, from = at, time.Since(began)
			switch {
			case s == syscall.SIGUSR1:
				base += 10 * time.Second
			case rate == 1:
				rate = 1.1
			default:
				rate = 1
			}
			mu.Unlock()
		}
	}()
	now := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return mono()
	}
	return consensus.Clock{Monotonic: now, Wall: func() time.Time { return began.Add(now()) }}
}

// badDisk fails while a file is there.
type badDisk struct {
	consensus.Storage
	path string
}

var errSync = errors.New("the rig has the disk fail: no space left on device")

func (d *badDisk) Save(w *consensus.WriteBatch) error {
	if _, err := os.Stat(d.path); err == nil {
		return errSync
	}
	return d.Storage.Save(w)
}

func (d *badDisk) Compact(s *pb.Snapshot, first fleet.Position) error {
	if _, err := os.Stat(d.path); err == nil {
		return errSync
	}
	return d.Storage.Compact(s, first)
}

// Ask is one ask for ownership, as its process saw it. Times are of the machine's clock, in nanoseconds.
type Ask struct {
	N      uint64             `json:"n"`
	Holder string             `json:"holder"`
	Kind   fleet.Kind         `json:"kind"`
	Work   string             `json:"work"`
	Token  fleet.FencingToken `json:"token"`
	Called int64              `json:"called"`
	Back   int64              `json:"back"` // 0: no answer came, or the process ended before
	Known  bool               `json:"known"`
	Got    fleet.FencingToken `json:"got"`
	Error  string             `json:"error"`
}

// writer appends asks to a file, before they go out and once more with their answer.
func writer(path string) func(fleet.Entry, string) func(fleet.Result, bool) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var mu sync.Mutex
	var n uint64
	line := func(a Ask) {
		mu.Lock()
		defer mu.Unlock()
		raw, _ := json.Marshal(a)
		_, _ = f.Write(append(raw, '\n')) // a torn last line is read over
	}
	return func(e fleet.Entry, holder string) func(fleet.Result, bool) {
		mu.Lock()
		n++
		a := Ask{N: n, Holder: holder, Kind: e.Kind, Work: e.Resource, Token: e.FencingToken, Called: time.Now().UnixNano()}
		mu.Unlock()
		line(a)
		return func(r fleet.Result, known bool) {
			if a.Back, a.Known, a.Got = time.Now().UnixNano(), known, r.FencingToken; r.Err != nil {
				a.Error = r.Err.Error()
			}
			line(a)
		}
	}
}

// readHistory reads what a process wrote: each ask once, with its answer where one came.
func readHistory(path string) (all []Ask) {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer f.Close()
	byKey := make(map[string]int)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var a Ask
		if json.Unmarshal(lines.Bytes(), &a) != nil {
			continue
		}
		key := fmt.Sprint(a.Holder, a.N)
		if i, ok := byKey[key]; ok {
			all[i] = a
			continue
		}
		byKey[key] = len(all)
		all = append(all, a)
	}
	return all
}

// operators are the commands that a round hands nodes to, as stand-ins: they tell the court, and nobody else.
func operators(role string) int {
	ask := func(path string) int {
		v := url.Values{}
		for _, k := range []string{"NODE", "KEY", "TOKEN", "STEP"} {
			v.Set(strings.ToLower(k), os.Getenv("WAYHOLD_"+k))
		}
		resp, err := http.PostForm("http://"+os.Getenv(courtEnv)+path, v)
		if err != nil {
			return 3
		}
		resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK:
			return 0
		case http.StatusNotFound:
			return 1
		}
		return 3
	}
	if role == "look" {
		return ask("/look")
	}
	if status := ask("/begin"); status != 0 {
		return status
	}
	time.Sleep(60 * time.Millisecond)
	status := ask("/replace")
	if status == 0 {
		status = ask("/commit")
	}
	time.Sleep(20 * time.Millisecond) // in which the process may die, and nobody wrote down that it ran
	return status
}
