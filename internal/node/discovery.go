package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cobaltward/policy"
)

const (
	watchWait  = 5 * time.Second // a silent discovery is noticed soon after
	watchGrace = 2 * time.Second // beyond watchWait, the call has failed
	backoffMin = 25 * time.Millisecond
	// backoffMax guards the rule on drains: what a pushed list's agent has counts as told, also while
	// the node pauses after a failed call.
	backoffMax  = 200 * time.Millisecond
	maxListSize = 8 << 20 // bytes of one answer; a longer one isn't a list
)

// list is the whole list of servers, or what changed in it.
type list struct {
	Revision int64
	Complete bool
	Members  []member
}

// member is one entry; UpSince is in Unix milliseconds, and 0 means long ago.
type member struct {
	policy.Member
	Addr    string
	UpSince int64
}

var phases = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// parseList reads discovery's form. A list with one bad entry is bad as a whole: what it would
// otherwise leave out might be a drain.
func parseList(raw []byte) (list, error) {
	var f struct {
		Revision *int64 `json:"revision"`
		Complete bool   `json:"complete"`
		Members  []struct {
			ID       string   `json:"id"`
			HostPort string   `json:"host_port"`
			Locality string   `json:"locality"`
			Flavor   string   `json:"flavor"`
			Cell     int64    `json:"cell"`
			Phase    string   `json:"phase"`
			Size     *float64 `json:"size"`
			UpSince  float64  `json:"up_since_ms"`
		} `json:"members"`
	}
	if err := unmarshal(raw, &f); err != nil {
		return list{}, err
	}
	if f.Revision == nil {
		return list{}, errors.New("revision: missing")
	}
	l := list{Revision: *f.Revision, Complete: f.Complete}
	for i, e := range f.Members {
		phase, ok := phases[e.Phase]
		switch {
		case e.ID == "":
			return list{}, fmt.Errorf("members[%d].id: missing", i)
		case !ok:
			return list{}, fmt.Errorf("members[%d].phase: unknown word %q", i, e.Phase)
		case !(e.UpSince >= 0 && e.UpSince < 1<<53):
			return list{}, fmt.Errorf("members[%d].up_since_ms: out of range", i)
		}
		if phase != policy.Removed {
			if err := checkAddress(e.HostPort); err != nil {
				return list{}, fmt.Errorf("members[%d].host_port: %w", i, err)
			}
		}
		m := member{Addr: e.HostPort, UpSince: int64(e.UpSince), Member: policy.Member{Server: e.ID,
			Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: 1, Availability: phase}}
		if e.Size != nil {
			m.Weight = *e.Size
		}
		l.Members = append(l.Members, m)
	}
	return l, nil
}

// news is what discovery has to tell the loop.
type news struct {
	kind    policy.ListKind
	members []member
}

// discovery watches the list of servers from a connection of its own.
type discovery struct {
	client    *http.Client
	subscribe bool      // watch only when the module has asked, and tell it of failures
	asks      chan bool // the module's newest wish to be kept told
	tell      func(any)

	// Only run touches these.
	addr     string
	revision int64
	whole    bool // the next call asks for the whole list

	mu        sync.Mutex
	moved     string             // the address to go on at, until run has taken it up
	interrupt context.CancelFunc // ends the call in flight, or the pause between two
}

func newDiscovery(c Config, tell func(any)) *discovery {
	return &discovery{
		addr: c.Discovery, subscribe: c.Settings.Subscribe,
		revision: c.Known.Revision, asks: make(chan bool, 1), tell: tell, interrupt: func() {},
		client: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1,
				DialContext: (&net.Dialer{Timeout: watchGrace}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ask passes the module's wish on; a newer one takes the place of one not yet heard. Only the loop
// calls it, and it never blocks.
func (d *discovery) ask(on bool) {
	select {
	case <-d.asks:
	default:
	}
	d.asks <- on
}

// move goes on at another address at once: what the old one still has to say may never come.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moved = addr
	d.interrupt()
}

// settle takes up a move, if there was one, and returns what the next call or pause runs under.
func (d *discovery) settle(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.moved != ""
	if moved {
		slog.Info("discovery: moved", "address", d.moved)
		d.addr, d.moved = d.moved, ""
		d.whole = true // revisions of another address need not compare
		d.client.CloseIdleConnections()
	}
	ctx, d.interrupt = context.WithCancel(ctx)
	return ctx, d.interrupt, moved
}

// run watches until ctx ends.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		call, cancel, moved := d.settle(ctx)
		if moved {
			backoff = 0
		}
		if d.subscribe {
			watching = d.heed(call, watching)
		}
		if watching && call.Err() == nil {
			watching, backoff = d.turn(call, backoff)
		}
		cancel()
	}
}

// turn makes one call, and pauses after one that failed.
func (d *discovery) turn(ctx context.Context, backoff time.Duration) (bool, time.Duration) {
	l, err := d.watch(ctx)
	switch {
	case err == nil:
		d.learn(l)
		return true, 0
	case ctx.Err() != nil: // moved, or the end
		return true, 0
	case d.subscribe: // the module says when to try again
		slog.Warn("discovery: a watch failed", "err", err)
		d.tell(news{kind: policy.ListUnavailable})
		return false, 0
	}
	// Pushed lists: the last one stays, and the module need not know.
	if backoff == 0 {
		slog.Warn("discovery: out of reach, keeping the last list", "err", err)
	}
	backoff = nextBackoff(backoff)
	pause(ctx, backoff)
	return true, backoff
}

// heed takes the module's newest wish; it waits for one only while there is nothing to watch.
func (d *discovery) heed(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-d.asks:
			return on
		default:
			return true
		}
	}
	select {
	case on := <-d.asks:
		return on
	case <-ctx.Done():
		return false
	}
}

// watch makes one call, which waits for something newer than the revision held, or asks for the whole
// list.
func (d *discovery) watch(ctx context.Context) (list, error) {
	wait, query := watchWait, url.Values{}
	if d.whole {
		wait = 0
	} else {
		query.Set("index", strconv.FormatInt(d.revision, 10))
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	to := url.URL{Scheme: "http", Host: d.addr, Path: "/registry/instances", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, to.String(), nil)
	if err != nil {
		return list{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list{}, fmt.Errorf("answered %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize+1))
	if err != nil {
		return list{}, err
	}
	if len(raw) > maxListSize {
		return list{}, fmt.Errorf("the list is over %d bytes", maxListSize)
	}
	l, err := parseList(raw)
	if err != nil {
		return list{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	if d.whole && !l.Complete {
		return list{}, errors.New("asked for the whole list, got a part")
	}
	return l, nil
}

// learn passes on what a watch brought. An empty delta is told only where the module awaits an answer.
func (d *discovery) learn(l list) {
	d.revision, d.whole = l.Revision, false
	switch {
	case l.Complete:
		d.tell(news{policy.ListReplace, l.Members})
	case len(l.Members) > 0 || d.subscribe:
		d.tell(news{policy.ListUpdate, l.Members})
	}
}

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(backoffMax, max(backoffMin, 2*last))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
