package registry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

func entry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q,"up_since_ms":0}`, id, phase)
}

func delta(revision int, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(entries, ","))
}

// watched plays answers to the calls in turn, then holds the rest, and returns what discovery published
// and the queries that it made. An answer that is no JSON object is sent with status 503.
func watched(
	t *testing.T, subscribe bool, answers ...string,
) (d *Source, published chan router.EndpointUpdate, queries chan string) {
	t.Helper()
	queries, published = make(chan string, 100), make(chan router.EndpointUpdate, 100)
	calls := make(chan string, len(answers))
	for _, a := range answers {
		calls <- a
	}
	addr := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("index")
		select {
		case a := <-calls:
			if !strings.HasPrefix(a, "{") {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, a)
		default:
			<-r.Context().Done()
		}
	})
	d = New(Config{Addr: addr, Revision: 7, Subscribe: subscribe})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx, func(c router.EndpointUpdate) { published <- c }); close(ended) }()
	t.Cleanup(func() { cancel(); testkit.Receive(t, "the end of discovery", ended) })
	return d, published, queries
}

func indexes(t *testing.T, queries chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		if got := testkit.Receive(t, "a call", queries); got != w {
			t.Errorf("call %d asked for changes after %s, want %s", i, got, w)
		}
	}
}

func TestSource_DeltasInOrder(t *testing.T) {
	_, published, queries := watched(t, false, delta(8, entry("s1", "up")), delta(9), delta(10, entry("s1", "draining")),
		`{"revision":11,"complete":true,"members":[`+entry("s2", "up")+`]}`)
	for i, want := range []struct {
		kind   policy.ListKind
		server string
		phase  policy.Availability
	}{
		{policy.ListUpdate, "s1", policy.Running},
		{policy.ListUpdate, "s1", policy.Draining},
		{policy.ListReplace, "s2", policy.Running},
	} {
		n := testkit.Receive(t, "an update", published)
		if n.Kind != want.kind || len(n.Endpoints) != 1 || n.Endpoints[0].ID != want.server ||
			n.Endpoints[0].Availability != want.phase {
			t.Errorf("update %d: %+v", i, n)
		}
	}
	indexes(t, queries, "7", "8", "9", "10", "11")
}

// A pushed list that can't be had, or read, leaves the last one in force, and says nothing.
func TestSource_FailuresKeepLastList(t *testing.T) {
	_, published, queries := watched(t, false, "down", `{"revision":`, delta(9, entry("s1", "odd")), `{"members":[]}`,
		delta(8, entry("s1", "up")))
	if n := testkit.Receive(t, "an update", published); n.Kind != policy.ListUpdate || n.Endpoints[0].ID != "s1" {
		t.Errorf("update %+v", n)
	}
	indexes(t, queries, "7", "7", "7", "7", "7", "8")
	if len(published) != 0 {
		t.Errorf("published also %+v", <-published)
	}
}

// TestSource_OutageIsMeasured has calls fail between two answers: the next update says for how long there was none.
func TestSource_OutageIsMeasured(t *testing.T) {
	_, published, _ := watched(t, false, delta(8, entry("s1", "up")), "down", "down", delta(9, entry("s2", "up")),
		delta(10, entry("s3", "up")))
	begun := time.Now()
	for i, outage := range []bool{false, true, false} {
		got := testkit.Receive(t, "an update", published).Outage
		if (got > 0) != outage || got > time.Since(begun) {
			t.Errorf("update %d names an outage of %v, %v after the start", i, got, time.Since(begun))
		}
	}
}

// Where lists are asked for, the module says when, and hears of each failure once.
func TestSource_SubscribeReportsFailures(t *testing.T) {
	d, published, queries := watched(t, true, "down", delta(8, entry("s1", "up")), delta(8))
	d.SetPolling(true)
	if n := testkit.Receive(t, "the failure", published); n.Kind != policy.ListUnavailable {
		t.Errorf("update %+v", n)
	}
	indexes(t, queries, "7")
	if len(queries) != 0 {
		t.Error("called again before the module asked")
	}
	d.SetPolling(true)
	if n := testkit.Receive(t, "the change", published); n.Kind != policy.ListUpdate || len(n.Endpoints) != 1 {
		t.Errorf("update %+v", n)
	}
	indexes(t, queries, "7", "8", "8")
}

// A new address ends the backoff after a failure: its list counts as known 4 s later, and the policy, which
// rests for the old one's sake, knows of no move.
func TestSetAddress_WhileNotPolling(t *testing.T) {
	d, published, queries := watched(t, true, "down")
	d.SetPolling(true)
	if n := testkit.Receive(t, "the failure", published); n.Kind != policy.ListUnavailable {
		t.Errorf("update %+v", n)
	}
	indexes(t, queries, "7")
	next := make(chan string, 1)
	d.SetAddress(testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		next <- r.URL.Query().Get("index")
		<-r.Context().Done()
	}))
	if index := testkit.Receive(t, "a call at the new address", next); index != "" {
		t.Errorf("asked for changes after %s", index)
	}
}

// Nodes that start together and call one service must not keep calling together: each watch waits for a
// time of its own. An agent on the node's own machine may be asked by the clock.
func TestSharedRegistry_WatchTimeoutsAreSpread(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		waits := make(chan time.Duration, 8)
		addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			ms, err := strconv.Atoi(r.URL.Query().Get("wait"))
			if err != nil {
				t.Error(err)
			}
			waits <- time.Duration(ms) * time.Millisecond
			<-r.Context().Done()
		})
		seen := make(map[time.Duration]bool)
		for range cap(waits) {
			d := New(Config{Addr: addr, Revision: 7, Subscribe: subscribe})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			d.SetPolling(true)
			go func() { d.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
			wait := testkit.Receive(t, "a call", waits)
			if seen[wait] = true; subscribe && (wait < sharedWatchTimeout/2 || wait > sharedWatchTimeout) {
				t.Errorf("a watch waits %v", wait)
			}
			cancel()
			testkit.Receive(t, "the end", ended)
		}
		if apart := len(seen) > 4; apart != subscribe {
			t.Errorf("subscribe %v: %d watches wait %d different times", subscribe, cap(waits), len(seen))
		}
	}
}

// The agent of a pushed list may hold a drain as soon as it is back; a node that pauses past the
// rule's grace would keep sending to that server.
func TestBackoff_WithinDrainGrace(t *testing.T) {
	last := time.Duration(0)
	for i := range 20 {
		next := nextBackoff(last, backoffLimit(0))
		if next < last || next <= 0 || next > 200*time.Millisecond {
			t.Fatalf("pause %d: %v after %v", i, next, last)
		}
		last = next
	}
	for grace, want := range map[time.Duration]time.Duration{
		time.Second: 200 * time.Millisecond, 400 * time.Millisecond: 100 * time.Millisecond,
		200 * time.Millisecond: 50 * time.Millisecond, time.Millisecond: backoffMin,
	} {
		if got := backoffLimit(grace); got != want {
			t.Errorf("a grace of %v: pauses up to %v, want %v", grace, got, want)
		}
	}
}

// Revisions that begin again say nothing of what changed before: the whole list is asked for.
func TestSource_RevisionsStartOver(t *testing.T) {
	_, published, queries := watched(t, false, delta(8, entry("s1", "up")), delta(3, entry("s2", "up")),
		`{"revision":3,"complete":true,"members":[`+entry("s3", "up")+`]}`)
	for i, want := range []string{"s1", "s3"} {
		if n := testkit.Receive(t, "an update", published); len(n.Endpoints) != 1 || n.Endpoints[0].ID != want {
			t.Errorf("update %d: %+v, want %s", i, n, want)
		}
	}
	indexes(t, queries, "7", "8", "", "3")
}

// An idle watch is reopened before the changes that it misses count as known to the node: 2 s after its wait is
// over, and 6 s after it fell silent where it asked for the whole list, as after a new address. The router hears of no
// failure, and need not ask. The connection stays open on the other side.
func TestSource_SilentWatchIsReopened(t *testing.T) {
	for name, test := range map[string]struct{ subscribe, moved bool }{
		"pushed":                    {},
		"asked for":                 {subscribe: true},
		"asked for, the whole list": {subscribe: true, moved: true},
		"pushed, the whole list":    {moved: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type call struct {
				at   time.Time
				wait time.Duration
			}
			calls := make(chan call, 8)
			addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				ms, _ := strconv.Atoi(req.URL.Query().Get("wait"))
				calls <- call{time.Now(), time.Duration(ms) * time.Millisecond}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{") // half of it at most
				_, _ = io.Copy(io.Discard, r)
			})
			d := New(Config{Addr: addr, Revision: 7, Subscribe: test.subscribe})
			most := 1800 * time.Millisecond // past the wait, 2 s after which the update counts as known
			if test.moved {
				d.SetAddress(addr)
				most = 5800 * time.Millisecond // it can't wait: 6 s
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			d.SetPolling(true)
			go func() { d.Run(ctx, func(c router.EndpointUpdate) { t.Errorf("published %+v", c) }); close(ended) }()
			first := testkit.Receive(t, "a call", calls)
			second := testkit.Receive(t, "the next call", calls)
			if late := second.at.Sub(first.at.Add(first.wait)); late < 0 || late > most {
				t.Errorf("reopened %v after its wait of %v", late, first.wait)
			}
			cancel()
			testkit.Receive(t, "the end", ended)
		})
	}
}

func TestParseList_ErrorsNameField(t *testing.T) {
	for raw, want := range map[string]string{
		`[]`:                      "array",
		`{"members":[]}`:          "revision: missing",
		`{"revision":"x"}`:        "revision",
		delta(1, entry("", "up")): "members[0].id",
		delta(1, entry("a", "x")): "members[0].phase",
		delta(1, `{"id":"a","phase":"up","host_port":"nowhere"}`):                        "members[0].host_port",
		delta(1, `{"id":"a","phase":"up","host_port":"127.0.0.1:9","up_since_ms":-1}`):   "members[0].up_since_ms",
		delta(1, `{"id":"a","phase":"up","host_port":"127.0.0.1:9","up_since_ms":1e99}`): "members[0].up_since_ms",
	} {
		if _, err := ParseList([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want it to name %q", raw, err, want)
		}
	}
}

// A move ends the call in flight and its connection, and asks the new address for everything: its
// revisions need not compare with those of the old one. Two in a row end on the newest.
func TestSetAddress_RequestsFullList(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		closed := make(chan struct{}, 10)
		silent := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			closed <- struct{}{}
		})
		queries := make(chan string, 10)
		next := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			queries <- r.URL.RawQuery
			if r.URL.Query().Has("index") {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, `{"revision":2,"complete":true,"members":[`+entry("s9", "up")+`]}`)
		})
		d, published, first := watched(t, subscribe)
		if subscribe {
			d.SetPolling(true)
		}
		testkit.Receive(t, "the call at the old address", first)
		d.SetAddress(silent)
		d.SetAddress(next)
		n := testkit.Receive(t, "the list of the new address", published)
		if n.Kind != policy.ListReplace || n.Endpoints[0].ID != "s9" {
			t.Errorf("subscribe %v: update %+v", subscribe, n)
		}
		if q := testkit.Receive(t, "the first call", queries); q != "" {
			t.Errorf("subscribe %v: the first call asks for %q, not for the whole list", subscribe, q)
		}
		if q := testkit.Receive(t, "the second call", queries); !strings.HasPrefix(q, "index=2&wait=") {
			t.Errorf("subscribe %v: the second call asks for %q", subscribe, q)
		}
		if len(published) != 0 {
			t.Errorf("subscribe %v: published also %+v", subscribe, <-published)
		}
	}
}

// The old address may be silent for good: the call there is ended, not waited for.
func TestSetAddress_CancelsCallInFlight(t *testing.T) {
	called, closed := make(chan struct{}), make(chan struct{})
	old := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(called)
		<-r.Context().Done()
		close(closed)
	})
	next := make(chan struct{}, 10)
	d := New(Config{Addr: old, Revision: 7})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
	defer func() { cancel(); testkit.Receive(t, "the end of discovery", ended) }()
	testkit.Receive(t, "the call", called)
	d.SetAddress(testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		next <- struct{}{}
		<-r.Context().Done()
	}))
	testkit.Receive(t, "the end of the old call", closed)
	testkit.Receive(t, "the new call", next)
}
