package node

import (
	"context"
	"fmt"
	"hash/maphash"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/policy"
)

// script is a module that answers each event as a test says, and keeps what it was told.
type script struct {
	mu     sync.Mutex
	told   []policy.Event
	answer func(policy.Time, policy.Event) []policy.Action
}

func (s *script) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, ev)
	return s.answer(now, ev)
}

// events lists what the module was told, in short words.
func (s *script) events() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, ev := range s.told {
		switch e := ev.(type) {
		case policy.MemberList:
			all = append(all, fmt.Sprintf("list %d", e.Kind))
		case policy.Request:
			all = append(all, "request "+e.ID)
		case policy.Outcome:
			all = append(all, fmt.Sprintf("outcome %s %d code %d ended %v", e.ID, e.Attempt, e.Code, e.Ended))
		case policy.Lapsed:
			all = append(all, "lapsed "+e.ID)
		case policy.Timer:
			all = append(all, fmt.Sprintf("timer %d", e.Token))
		}
	}
	return all
}

func (s *script) has(t *testing.T, want ...string) {
	t.Helper()
	await(t, strings.Join(want, ", "), func() bool { return len(s.events()) >= len(want) })
	if got := s.events(); !reflect.DeepEqual(got, want) {
		t.Errorf("the module was told\n%q, want\n%q", got, want)
	}
}

// startLoop runs a loop around a scripted module.
func startLoop(t *testing.T, addr string, answer func(policy.Time, policy.Event) []policy.Action) (*loop, *script) {
	t.Helper()
	c := testConfig(t, knownList(addr))
	up := newUpstream(c, 100)
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{answer: answer}
	l.module = s
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, c.Known.Members); close(ended) }()
	t.Cleanup(func() {
		cancel()
		receive(t, "the loop's end", ended)
		up.close()
	})
	return l, s
}

func (l *loop) arriveNow(id string, waits time.Duration) *exchange {
	x := testExchange(http.MethodGet, id, "")
	x.came, x.clientWaits = l.clock.now(), waits
	l.send(arrival{x})
	return x
}

func sends(id string, n int) (all []policy.Action) {
	for range n {
		all = append(all, policy.Action{Kind: policy.Send, ID: id, Server: "s0"})
	}
	return all
}

// The restored list comes first, and the one outcome of a served request says that it has ended.
func TestOrderOfEvents(t *testing.T) {
	addr := httpServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "yes") })
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sends(e.ID, 1)
		case policy.Outcome:
			return []policy.Action{{Kind: policy.SetTimer, Token: 77, Wait: time.Millisecond}}
		}
		return nil
	})
	x := l.arriveNow("r1", long)
	if a := receive(t, "the answer", x.reply); a.status != 200 || string(a.body) != "yes" {
		t.Errorf("answer %d %q", a.status, a.body)
	}
	s.has(t, "list 2", "request r1", "outcome r1 0 code 0 ended true", "timer 77")
}

// Attempts beyond the limit are not made, keep their numbers, and are told as skipped.
func TestAttemptsBeyondTheLimitAreSkipped(t *testing.T) {
	var served sync.WaitGroup
	served.Add(3)
	addr := httpServer(t, func(w http.ResponseWriter, _ *http.Request) {
		served.Done()
		served.Wait() // all that are allowed reach the server before one is answered
		w.WriteHeader(http.StatusInternalServerError)
	})
	moot := make(chan policy.Outcome, 2)
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sends(e.ID, 4)
		case policy.Outcome:
			if e.Code == policy.Moot {
				moot <- e
			}
		}
		return nil
	})
	l.arriveNow("r1", long)
	if o := receive(t, "the skipped attempt", moot); o.Attempt != 3 || o.Ended {
		t.Errorf("got %+v", o)
	}
	await(t, "the other outcomes", func() bool { return len(s.events()) == 6 })
}

// After the final answer nothing goes out, and what was out still gets its outcome.
func TestNothingGoesOutAfterTheAnswer(t *testing.T) {
	arrived := make(chan string, 4)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	})
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return append(sends(e.ID, 1), policy.Action{Kind: policy.SetTimer, Token: 1, Wait: time.Nanosecond})
		case policy.Timer:
			<-arrived // the attempt is out for certain
			return []policy.Action{{Kind: policy.Fail, ID: "r1"}, {Kind: policy.Refuse, ID: "r1"},
				{Kind: policy.Send, ID: "r1", Server: "s0"}, {Kind: policy.Cancel, ID: "r1", Attempt: 0}}
		}
		return nil
	})
	x := l.arriveNow("r1", long)
	if a := receive(t, "the answer", x.reply); a.status != http.StatusBadGateway {
		t.Errorf("status %d, want the first answer", a.status)
	}
	s.has(t, "list 2", "request r1", "timer 1", fmt.Sprintf("outcome r1 1 code %d ended true", policy.Moot),
		fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
	if len(arrived) != 0 || len(x.reply) != 0 {
		t.Errorf("%d more attempts, %d more answers", len(arrived), len(x.reply))
	}
}

func TestBackstopAnswersForASilentModule(t *testing.T) {
	l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	x := l.arriveNow("r1", 200*time.Millisecond)
	if a := receive(t, "the answer", x.reply); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d", a.status)
	}
	if end := x.came + x.clientWaits; l.clock.now() > end+long/2 {
		t.Errorf("answered %v after the client's time", l.clock.now()-end)
	}
	s.has(t, "list 2", "request r1", "lapsed r1")
}

// An attempt ends within the client's time, whatever the module asked for; the server is told so.
func TestTimeOutIsClippedToTheDeadline(t *testing.T) {
	told := make(chan string, 1)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("X-Deadline-Ms")
		<-r.Context().Done()
	})
	l, _ := startLoop(t, addr, func(now policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", Until: now + time.Hour}}
		case policy.Outcome:
			return []policy.Action{{Kind: policy.Fail, ID: e.ID}}
		}
		return nil
	})
	x := l.arriveNow("r1", 2*time.Second)
	if ms, err := strconv.Atoi(receive(t, "the attempt", told)); err != nil || ms > 2000 {
		t.Errorf("the server is told of %d ms (%v), though the client waits for 2000", ms, err)
	}
	if a := receive(t, "the answer", x.reply); a.status < 500 {
		t.Errorf("status %d", a.status)
	}
}

func TestDuplicateAndSurplusRequestsAreAnsweredByTheNode(t *testing.T) {
	l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	l.arriveNow("r1", long)
	if a := receive(t, "the answer", l.arriveNow("r1", long).reply); a.status != http.StatusConflict {
		t.Errorf("duplicate: status %d", a.status)
	}
	l.send(finish{})
	if a := receive(t, "the answer", l.arriveNow("r1", long).reply); a.status != http.StatusConflict {
		t.Errorf("duplicate of one that is over: status %d", a.status)
	}
	for i := 2; i <= l.maxOpen+1; i++ {
		l.arriveNow(fmt.Sprint("r", i), long)
	}
	if a := receive(t, "the answer", l.arriveNow("more", long).reply); a.status != http.StatusServiceUnavailable || a.retryAfter <= 0 {
		t.Errorf("surplus: status %d, retry after %v", a.status, a.retryAfter)
	}
	if n := len(s.events()); n != 3+l.maxOpen {
		t.Errorf("the module was told of %d events, want the list, the first request and its end, and %d requests", n, l.maxOpen)
	}
}

func TestFinishFailsWhatIsOpen(t *testing.T) {
	l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	x := l.arriveNow("r1", long)
	l.send(finish{})
	if a := receive(t, "the answer", x.reply); a.status != http.StatusBadGateway {
		t.Errorf("status %d", a.status)
	}
	s.has(t, "list 2", "request r1", "lapsed r1")
}

// A request that is over leaves nothing behind, however far off its deadline was.
func TestEndedRequestsAreForgotten(t *testing.T) {
	l := &loop{clock: clock{start: time.Now()}, requests: make(map[string]*request), used: ids{seed: maphash.MakeSeed()}}
	l.module = &script{answer: func(_ policy.Time, ev policy.Event) []policy.Action {
		if e, ok := ev.(policy.Request); ok {
			return []policy.Action{{Kind: policy.Refuse, ID: e.ID}}
		}
		return nil
	}}
	for i := range 50 {
		l.handle(t.Context(), arrival{testExchange(http.MethodGet, fmt.Sprint(i), "")})
	}
	if len(l.requests) != 0 || len(l.timers) != 0 || l.owed != 0 {
		t.Errorf("%d requests, %d timers, %d answers owed", len(l.requests), len(l.timers), l.owed)
	}
}

func TestClockConvertsStarts(t *testing.T) {
	c := clock{start: time.UnixMilli(1_700_000_000_000)}
	for ms, want := range map[int64]policy.Time{
		0:                        0,
		1_700_000_000_000:        timeOrigin,
		1_700_000_000_000 - 2000: timeOrigin - 2*time.Second, // before the node, and still cold
		1_700_000_000_000 + 500:  timeOrigin + 500*time.Millisecond,
		1_600_000_000_000:        0,
		1:                        0,
		1<<53 - 1:                2 * timeOrigin,
	} {
		if got := c.unix(ms); got != want {
			t.Errorf("%d: got %v, want %v", ms, got, want)
		}
	}
}

// Ids are remembered long enough for their copies, and not for ever.
func TestIDsAreForgotten(t *testing.T) {
	s := ids{seed: maphash.MakeSeed()}
	for i := range 20 {
		now := timeOrigin + policy.Time(i)*idsFor
		if !s.add(fmt.Sprint("r", i), now) || s.add(fmt.Sprint("r", i), now) {
			t.Fatal("a new id was taken for a known one, or a known one for new")
		}
		if i > 0 && s.add(fmt.Sprint("r", i-1), now) {
			t.Errorf("r%d is forgotten within %v", i-1, idsFor)
		}
	}
	if len(s.now)+len(s.older) > 4 {
		t.Errorf("%d and %d ids are kept", len(s.now), len(s.older))
	}
	for i := range 4 * maxIDs {
		s.add(fmt.Sprint("flood", i), timeOrigin+20*idsFor)
	}
	if len(s.now) > maxIDs || len(s.older) > maxIDs {
		t.Errorf("%d and %d ids are kept of a flood", len(s.now), len(s.older))
	}
}
