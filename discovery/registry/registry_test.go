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

// runWithAnswers runs a source against a test registry. The registry returns one of answers to each of the first
// calls, and holds all further calls. An answer that is not a JSON object is sent with status 503. queries receives
// the "index" parameter of each call.
func runWithAnswers(
	t *testing.T, subscribe bool, answers ...string,
) (source *Source, published chan router.EndpointUpdate, queries chan string) {
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
	source = New(Config{Addr: addr, Revision: 7, Subscribe: subscribe})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { source.Run(ctx, func(c router.EndpointUpdate) { published <- c }); close(ended) }()
	t.Cleanup(func() { cancel(); testkit.Receive(t, "the end of the source", ended) })
	return source, published, queries
}

func assertIndexes(t *testing.T, queries chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		if got := testkit.Receive(t, "a call", queries); got != w {
			t.Errorf("call %d requested changes after revision %s, want %s", i, got, w)
		}
	}
}

func TestSource_DeltasInOrder(t *testing.T) {
	_, published, queries := runWithAnswers(t, false,
		delta(8, entry("s1", "up")), delta(9), delta(10, entry("s1", "draining")),
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
			t.Errorf("unexpected update %d: %+v", i, n)
		}
	}
	assertIndexes(t, queries, "7", "8", "9", "10", "11")
}

// TestSource_FailuresKeepLastList checks that without Subscribe, a failed call or an invalid list publishes nothing.
// The last list must stay in effect.
func TestSource_FailuresKeepLastList(t *testing.T) {
	_, published, queries := runWithAnswers(t, false,
		"down", `{"revision":`, delta(9, entry("s1", "odd")), `{"members":[]}`,
		delta(8, entry("s1", "up")))
	if n := testkit.Receive(t, "an update", published); n.Kind != policy.ListUpdate || n.Endpoints[0].ID != "s1" {
		t.Errorf("unexpected update %+v", n)
	}
	assertIndexes(t, queries, "7", "7", "7", "7", "7", "8")
	if len(published) != 0 {
		t.Errorf("also published %+v", <-published)
	}
}

// TestSource_ReportsOutageLength checks that the first update after failed calls reports the length of the outage.
func TestSource_ReportsOutageLength(t *testing.T) {
	_, published, _ := runWithAnswers(t, false, delta(8, entry("s1", "up")), "down", "down", delta(9, entry("s2", "up")),
		delta(10, entry("s3", "up")))
	start := time.Now()
	for i, outage := range []bool{false, true, false} {
		got := testkit.Receive(t, "an update", published).Outage
		if (got > 0) != outage || got > time.Since(start) {
			t.Errorf("update %d reports an outage of %v, %v after the start", i, got, time.Since(start))
		}
	}
}

// TestSource_SubscribeReportsFailures checks that with Subscribe, the source calls only after a request of the
// router. It must report each failure once.
func TestSource_SubscribeReportsFailures(t *testing.T) {
	source, published, queries := runWithAnswers(t, true, "down", delta(8, entry("s1", "up")), delta(8))
	source.SetPolling(true)
	if n := testkit.Receive(t, "the failure", published); n.Kind != policy.ListUnavailable {
		t.Errorf("unexpected update %+v", n)
	}
	assertIndexes(t, queries, "7")
	if len(queries) != 0 {
		t.Error("called again before the router requested it")
	}
	source.SetPolling(true)
	if n := testkit.Receive(t, "the change", published); n.Kind != policy.ListUpdate || len(n.Endpoints) != 1 {
		t.Errorf("unexpected update %+v", n)
	}
	assertIndexes(t, queries, "7", "8", "8")
}

// TestSetAddress_WhileNotPolling checks that after a failure, a new address makes the source call again without a
// request of the router. The router does not know of the new address, and still pauses because of the failure. The
// new registry's list, however, counts as known to the node 4 s after SetAddress.
func TestSetAddress_WhileNotPolling(t *testing.T) {
	source, published, queries := runWithAnswers(t, true, "down")
	source.SetPolling(true)
	if n := testkit.Receive(t, "the failure", published); n.Kind != policy.ListUnavailable {
		t.Errorf("unexpected update %+v", n)
	}
	assertIndexes(t, queries, "7")
	next := make(chan string, 1)
	source.SetAddress(testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		next <- r.URL.Query().Get("index")
		<-r.Context().Done()
	}))
	if index := testkit.Receive(t, "a call at the new address", next); index != "" {
		t.Errorf("requested changes after revision %s, want the complete list", index)
	}
}

// TestSharedRegistry_WatchTimeoutsAreSpread checks that each watch of a shared registry uses a random wait. With a
// constant wait, nodes that start together would keep calling the registry at the same moments. The wait at an agent
// on the node's own machine must be constant.
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
			source := New(Config{Addr: addr, Revision: 7, Subscribe: subscribe})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			source.SetPolling(true)
			go func() { source.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
			wait := testkit.Receive(t, "a call", waits)
			if seen[wait] = true; subscribe && (wait < sharedWatchTimeout/2 || wait > sharedWatchTimeout) {
				t.Errorf("a watch of a shared registry waits %v, out of range", wait)
			}
			cancel()
			testkit.Receive(t, "the end of the source", ended)
		}
		if spread := len(seen) > 4; spread != subscribe {
			t.Errorf("subscribe %v: %d watches use %d different waits", subscribe, cap(waits), len(seen))
		}
	}
}

// TestBackoff_WithinDrainGrace checks that pauses after failures stay within the drain grace. An agent that is back
// after a failure may already have received a drain. A node that pauses longer than the drain grace would keep
// sending requests to the draining server.
func TestBackoff_WithinDrainGrace(t *testing.T) {
	last := time.Duration(0)
	for i := range 20 {
		next := nextBackoff(last, backoffLimit(0))
		if next < last || next <= 0 || next > 200*time.Millisecond {
			t.Fatalf("pause %d is %v, after a pause of %v", i, next, last)
		}
		last = next
	}
	for grace, want := range map[time.Duration]time.Duration{
		time.Second: 200 * time.Millisecond, 400 * time.Millisecond: 100 * time.Millisecond,
		200 * time.Millisecond: 50 * time.Millisecond, time.Millisecond: backoffMin,
	} {
		if got := backoffLimit(grace); got != want {
			t.Errorf("drain grace %v: the longest pause is %v, want %v", grace, got, want)
		}
	}
}

// TestSource_RevisionsStartOver checks that a change with a lower revision is not applied, because the registry has
// restarted its revisions. The source must request the complete list.
func TestSource_RevisionsStartOver(t *testing.T) {
	_, published, queries := runWithAnswers(t, false, delta(8, entry("s1", "up")), delta(3, entry("s2", "up")),
		`{"revision":3,"complete":true,"members":[`+entry("s3", "up")+`]}`)
	for i, want := range []string{"s1", "s3"} {
		if n := testkit.Receive(t, "an update", published); len(n.Endpoints) != 1 || n.Endpoints[0].ID != want {
			t.Errorf("update %d is %+v, want one of server %s", i, n, want)
		}
	}
	assertIndexes(t, queries, "7", "8", "", "3")
}

// TestSource_UnansweredWatchIsReopened checks that a watch without an answer is reopened before the missed changes
// count as known to the node. Missed changes count as known 2 s after the end of the wait. If the call was for the
// complete list, as after SetAddress, they count as known 6 s after the start of the call. The source must reopen the
// watch without reporting a failure and without a request of the router. The registry keeps the connection open.
func TestSource_UnansweredWatchIsReopened(t *testing.T) {
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
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{") // 1 byte of 100
				_, _ = io.Copy(io.Discard, r)
			})
			source := New(Config{Addr: addr, Revision: 7, Subscribe: test.subscribe})
			maxDelay := 1800 * time.Millisecond // after the wait; below the 2 s after which missed changes count as known
			if test.moved {
				source.SetAddress(addr)
				maxDelay = 5800 * time.Millisecond // no wait; missed changes count as known after 6 s
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			source.SetPolling(true)
			go func() { source.Run(ctx, func(c router.EndpointUpdate) { t.Errorf("published %+v", c) }); close(ended) }()
			first := testkit.Receive(t, "a call", calls)
			second := testkit.Receive(t, "the repeated call", calls)
			if delay := second.at.Sub(first.at.Add(first.wait)); delay < 0 || delay > maxDelay {
				t.Errorf("the watch was reopened %v after its wait of %v", delay, first.wait)
			}
			cancel()
			testkit.Receive(t, "the end of the source", ended)
		})
	}
}

// TestParseList_CellNotSent guards against duplicate effects: a cell that the registry leaves out is unknown, and not
// the cell with the number 0.
func TestParseList_CellNotSent(t *testing.T) {
	const server = `{"id":"a","phase":"up","host_port":"127.0.0.1:9"%s}`
	for sent, want := range map[string]policy.Cell{
		"": {}, `,"cell":null`: {}, `,"cell":0`: policy.NewCell(0), `,"cell":3`: policy.NewCell(3),
	} {
		list, err := ParseList([]byte(delta(1, fmt.Sprintf(server, sent))))
		if err != nil || list.Endpoints[0].Cell != want {
			t.Errorf("%q: got %+v and error %v, want cell %v", sent, list.Endpoints, err, want)
		}
	}
}

// TestParseList_StartNotSent guards against keyed retries at restarted servers: a start time that the registry leaves
// out is unknown, and 0 is long ago.
func TestParseList_StartNotSent(t *testing.T) {
	const server = `{"id":"a","phase":"up","host_port":"127.0.0.1:9"%s}`
	for sent, unknown := range map[string]bool{"": true, `,"up_since_ms":0`: false, `,"up_since_ms":1`: false} {
		list, err := ParseList([]byte(delta(1, fmt.Sprintf(server, sent))))
		if err != nil || list.Endpoints[0].StartUnknown != unknown {
			t.Errorf("%q: got %+v and error %v, want an unknown start: %v", sent, list.Endpoints, err, unknown)
		}
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
			t.Errorf("%s: got error %v, want one that contains %q", raw, err, want)
		}
	}
}

// TestSetAddress_RequestsFullList checks that SetAddress ends the call in flight and its connection. The source must
// request the complete list from the new address, because revisions of two registries cannot be compared. After two
// successive calls of SetAddress, the last address must be used.
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
		source, published, first := runWithAnswers(t, subscribe)
		if subscribe {
			source.SetPolling(true)
		}
		testkit.Receive(t, "the call at the old address", first)
		source.SetAddress(silent)
		source.SetAddress(next)
		n := testkit.Receive(t, "the list of the new address", published)
		if n.Kind != policy.ListReplace || n.Endpoints[0].ID != "s9" {
			t.Errorf("subscribe %v: unexpected update %+v", subscribe, n)
		}
		if q := testkit.Receive(t, "the first call at the new address", queries); q != "" {
			t.Errorf("subscribe %v: the first call has query %q, want none, for the complete list", subscribe, q)
		}
		if q := testkit.Receive(t, "the second call at the new address", queries); !strings.HasPrefix(q, "index=2&wait=") {
			t.Errorf("subscribe %v: the second call has query %q, want changes after revision 2", subscribe, q)
		}
		if len(published) != 0 {
			t.Errorf("subscribe %v: also published %+v", subscribe, <-published)
		}
	}
}

// TestSetAddress_CancelsCallInFlight checks that SetAddress cancels the call in flight. The registry at the old
// address may never answer.
func TestSetAddress_CancelsCallInFlight(t *testing.T) {
	called, closed := make(chan struct{}), make(chan struct{})
	old := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(called)
		<-r.Context().Done()
		close(closed)
	})
	next := make(chan struct{}, 10)
	source := New(Config{Addr: old, Revision: 7})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { source.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
	defer func() { cancel(); testkit.Receive(t, "the end of the source", ended) }()
	testkit.Receive(t, "the call at the old address", called)
	source.SetAddress(testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		next <- struct{}{}
		<-r.Context().Done()
	}))
	testkit.Receive(t, "the end of the call at the old address", closed)
	testkit.Receive(t, "the call at the new address", next)
}
