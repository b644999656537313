// Package registry is wayhold's own discovery: it watches the list of servers over HTTP, in the
// protocol's form. Source is a router.EndpointSource.
package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cobaltward/internal/fields"
	"cobaltward/policy"
	"cobaltward/router"
)

const (
	watchWait = 5 * time.Second // a silent agent on the node's own machine is noticed soon after
	// silentAfter is how long past its wait a watch is taken for silent, and opened anew: what it misses counts
	// as told 2 s after its wait is over, and the next call needs its time, too.
	silentAfter = time.Second
	dialFor     = 2 * time.Second
	// sharedWait is the longest wait at a discovery that is one service for all nodes, each call's drawn
	// between half of it and the whole. Nodes that start together would otherwise call together for ever:
	// 80 watches that end in the same moment take such a service longer than their patience.
	sharedWait = 20 * time.Second
	// sharedGrace is how long the whole list is waited for there: the service works through calls in turn, and
	// what is given up too early has cost it as much. What such a call misses counts as told 6 s after it fell silent,
	// so the next one follows at once.
	sharedGrace = 5 * time.Second
	backoffMin  = 25 * time.Millisecond
	// backoffMax and backoffPart guard the rule on drains: what a pushed list's agent has counts as told, also
	// while the node pauses after a failed call.
	backoffMax  = 200 * time.Millisecond
	backoffPart = 4       // of the grace of drains
	maxListSize = 8 << 20 // bytes of one answer; a longer one isn't a list
)

// List is the whole list of servers, or what changed in it.
type List struct {
	Revision int64
	Complete bool
	Members  []router.Endpoint
}

var phases = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// ParseList reads discovery's form. A list with one bad entry is bad as a whole: what it would
// otherwise leave out might be a drain.
func ParseList(raw []byte) (List, error) {
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
	if err := fields.Unmarshal(raw, &f); err != nil {
		return List{}, err
	}
	if f.Revision == nil {
		return List{}, errors.New("revision: missing")
	}
	l := List{Revision: *f.Revision, Complete: f.Complete}
	for i, e := range f.Members {
		phase, ok := phases[e.Phase]
		switch {
		case e.ID == "":
			return List{}, fmt.Errorf("members[%d].id: missing", i)
		case !ok:
			return List{}, fmt.Errorf("members[%d].phase: unknown word %q", i, e.Phase)
		case !(e.UpSince >= 0 && e.UpSince < 1<<53):
			return List{}, fmt.Errorf("members[%d].up_since_ms: out of range", i)
		}
		if phase != policy.Removed {
			if err := fields.CheckAddress(e.HostPort); err != nil {
				return List{}, fmt.Errorf("members[%d].host_port: %w", i, err)
			}
		}
		m := router.Endpoint{ID: e.ID, Addr: e.HostPort, Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: 1,
			Availability: phase}
		if e.UpSince > 0 {
			m.Started = time.UnixMilli(int64(e.UpSince))
		}
		if e.Size != nil {
			m.Weight = *e.Size
		}
		l.Members = append(l.Members, m)
	}
	return l, nil
}

// Config is what a Source is told at its start.
type Config struct {
	Addr      string // host:port of discovery
	Revision  int64  // of the list that is held already
	Subscribe bool   // watch only when the module has asked, and tell it of failures
	// Grace is how long after the news of a drain something may still go to its server; 0: nobody says.
	Grace time.Duration
	Log   *slog.Logger
}

// Source watches the list of servers from a connection of its own.
type Source struct {
	client    *http.Client
	log       *slog.Logger
	subscribe bool
	longest   time.Duration // pause after failures
	asks      chan bool     // the module's newest wish to be kept told
	tell      func(router.EndpointUpdate)

	// Only Run touches these.
	addr     string
	revision int64
	whole    bool // the next call asks for the whole list
	asked    bool // the module has asked to be kept told

	mu        sync.Mutex
	moved     string             // the address to go on at, until Run has taken it up
	interrupt context.CancelFunc // ends the call in flight, or the pause between two
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source that calls nobody before Run.
func New(c Config) *Source {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &Source{
		addr: c.Addr, subscribe: c.Subscribe, longest: longestPause(c.Grace), log: c.Log,
		revision: c.Revision, asks: make(chan bool, 1), interrupt: func() {},
		client: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1,
				DialContext: (&net.Dialer{Timeout: dialFor}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// SetPolling passes the module's wish on; a newer one takes the place of one not yet heard. Only the router
// calls it, and it never waits.
func (d *Source) SetPolling(on bool) {
	select {
	case <-d.asks:
	default:
	}
	d.asks <- on
}

// Move goes on at another address at once: what the old one still has to say may never come.
func (d *Source) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moved = addr
	d.interrupt()
}

// settle takes up a move, if there was one, and returns what the next call or pause runs under.
func (d *Source) settle(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.moved != ""
	if moved {
		d.log.Info("discovery: moved", "address", d.moved)
		d.addr, d.moved = d.moved, ""
		d.whole = true // revisions of another address need not compare
		d.client.CloseIdleConnections()
	}
	ctx, d.interrupt = context.WithCancel(ctx)
	return ctx, d.interrupt, moved
}

// Run watches until ctx ends.
func (d *Source) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	d.tell = tell
	defer d.client.CloseIdleConnections()
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		call, cancel, moved := d.settle(ctx)
		if moved { // a failure at the old address says nothing of the new one, which may have news that counts soon
			backoff, watching = 0, watching || d.asked
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
func (d *Source) turn(ctx context.Context, backoff time.Duration) (bool, time.Duration) {
	l, err := d.watch(ctx)
	switch {
	case err == nil:
		d.learn(l)
		return true, 0
	case ctx.Err() != nil: // moved, or the end
		return true, 0
	case errors.Is(err, errSilent): // no failure of the service, and no time to lose
		d.log.Warn("discovery: a watch fell silent, and is opened anew")
		return true, 0
	case d.subscribe: // the module says when to try again
		d.log.Warn("discovery: a watch failed", "err", err)
		d.tell(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return false, 0
	}
	// Pushed lists: the last one stays, and the module need not know.
	if backoff == 0 {
		d.log.Warn("discovery: out of reach, keeping the last list", "err", err)
	}
	backoff = nextBackoff(backoff, d.longest)
	pause(ctx, backoff)
	return true, backoff
}

// heed takes the module's newest wish; it waits for one only while there is nothing to watch.
func (d *Source) heed(ctx context.Context, watching bool) bool {
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
		d.asked = on
		return on
	case <-ctx.Done():
		return false
	}
}

// errSilent says that a watch brought nothing, not even its end.
var errSilent = errors.New("the watch fell silent")

// watch makes one call, which waits for something newer than the revision held, or asks for the whole
// list.
func (d *Source) watch(outer context.Context) (l List, err error) {
	wait, grace, query := watchWait, silentAfter, url.Values{}
	if d.subscribe {
		wait = sharedWait/2 + rand.N(sharedWait/2)
	}
	if d.whole {
		wait = 0
		if d.subscribe {
			grace = sharedGrace
		}
	} else {
		query.Set("index", strconv.FormatInt(d.revision, 10))
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	ctx, cancel := context.WithTimeout(outer, wait+grace)
	defer cancel()
	defer func() {
		if err != nil && (wait > 0 || d.subscribe) && ctx.Err() != nil && outer.Err() == nil {
			err = errSilent
		}
	}()
	to := url.URL{Scheme: "http", Host: d.addr, Path: "/registry/instances", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, to.String(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("answered %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize+1))
	if err != nil {
		return List{}, err
	}
	if len(raw) > maxListSize {
		return List{}, fmt.Errorf("the list is over %d bytes", maxListSize)
	}
	l, err = ParseList(raw)
	if err != nil {
		return List{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	if d.whole && !l.Complete {
		return List{}, errors.New("asked for the whole list, got a part")
	}
	return l, nil
}

// learn passes on what a watch brought. An empty delta is told only where the module awaits an answer. A delta to
// an older list than the one that is held comes of revisions that began again: what it builds on is not known here.
func (d *Source) learn(l List) {
	if !l.Complete && l.Revision < d.revision {
		d.log.Warn("discovery: its revisions have begun again", "held", d.revision, "told", l.Revision)
		d.whole = true
		return
	}
	d.revision, d.whole = l.Revision, false
	switch {
	case l.Complete:
		d.tell(router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: l.Members})
	case len(l.Members) > 0 || d.subscribe:
		d.tell(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: l.Members})
	}
}

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last, longest time.Duration) time.Duration {
	return min(longest, max(backoffMin, 2*last))
}

// longestPause is how long to pause at most.
func longestPause(grace time.Duration) time.Duration {
	if grace <= 0 {
		return backoffMax
	}
	return min(backoffMax, max(backoffMin, grace/backoffPart))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
