package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// site is a small deployment with one class of each kind.
func site(nodes int) Settings {
	return Settings{
		Nodes: nodes, Zone: "a",
		Classes: []Class{
			{Name: "free", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: Idempotent},
			{Name: "once", LatencyObjective: 250 * ms, Deadline: 600 * ms, LateWeightFraction: 0.2},
			{Name: "all", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: IdempotencyKeyed, DedupScope: DedupAll, DedupWindow: 300 * ms},
			{Name: "zone", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: IdempotencyKeyed, DedupScope: DedupZone, DedupWindow: 300 * ms},
			{Name: "cell", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: IdempotencyKeyed, DedupScope: DedupCell, DedupWindow: 300 * ms},
		},
		Tenants:      []Tenant{{Name: "t", Quota: 1000}, {Name: "u", Quota: 10}},
		Capabilities: Capabilities{Cancel: true, Hedge: true, MaxAttempts: 4},
		Rules: Rules{DrainGrace: time.Second, SlowStartShare: 0.2, SlowStartWindow: 10 * time.Second,
			OverloadFactor: 3, OverloadDuration: 2 * time.Second},
	}
}

func members(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Server: fmt.Sprintf("s%02d", i), Zone: []string{"a", "b"}[i%2],
			Kind: fmt.Sprint("k", i%3), Cell: int64(i % 4), Weight: 1})
	}
	return list
}

func start(t *testing.T, set Settings, list []Endpoint) *Balancer {
	t.Helper()
	b, err := New(set, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, EndpointList{Kind: ListRestored, Endpoints: list})
	return b
}

// of returns the actions of one kind.
func of(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

func ask(id, class string) Request {
	return Request{ID: id, Class: class, Tenant: "t", ExpiresIn: 600 * ms}
}

func sentTo(t *testing.T, acts []Action) string {
	t.Helper()
	s := of(acts, Send)
	if len(s) != 1 {
		t.Fatalf("want one send, got %+v", acts)
	}
	return s[0].Server
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		names string // what the error must name
		spoil func(*Settings)
	}{
		{"classes", func(s *Settings) { s.Classes = nil }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{`class "once": aim`, func(s *Settings) { s.Classes[1].LatencyObjective = -1 }},
		{"aim stretch", func(s *Settings) { s.Classes[0].ObjectiveWorkFactor = nan }},
		{"window", func(s *Settings) { s.Classes[2].DedupWindow = -1 }},
		{"late worth", func(s *Settings) { s.Classes[0].LateWeightFraction = -0.1 }},
		{"worth", func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) }},
		{"twice", func(s *Settings) { s.Classes[1].Name = "free" }},
		{"node 2", func(s *Settings) { s.Node = 2 }},
		{"group of 0", func(s *Settings) { s.Nodes = 0 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = -1 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = nan }},
		{"share", func(s *Settings) { s.Tenants[0].Share = -1 }},
		{"answer grace", func(s *Settings) { s.Rules.AnswerGrace = -1 }},
		{"drain grace", func(s *Settings) { s.Rules.DrainGrace = -1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartShare = 1.1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartShare = nan }},
		{"fall multiple", func(s *Settings) { s.Rules.OverloadFactor = -1 }},
		{"attempt budget: span", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: 0.1} }},
		{"attempt budget: share", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: nan, Window: 1} }},
		{"attempt budget: least", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{MinRetries: -1, Window: 1} }},
		{"max attempts", func(s *Settings) { s.Capabilities.MaxAttempts = -1 }},
		{"max retry-after", func(s *Settings) { s.Capabilities.MaxRetryAfter = -1 }},
		{"idle", func(s *Settings) { s.Capabilities.ConnIdleTimeout = -1 }},
	} {
		set := site(2)
		c.spoil(&set)
		if _, err := New(set, 0, 1); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("got %v, want an error that names %q", err, c.names)
		}
	}
}

// A bound class goes to its servers only, at every attempt, even when they are all out; then it is
// held and refused in time. The cap on ejections holds for its few servers by themselves.
func TestPlacementIsKept(t *testing.T) {
	set := site(1)
	set.Classes[0].Kinds = []string{"k1"} // s01, s04, s07 of nine
	b := start(t, set, members(9))
	open := map[string]bool{"s01": true, "s04": true, "s07": true}
	for i, code := range []Code{ServerError, Overloaded, ConnectFailed} {
		id := fmt.Sprint(i)
		s := sentTo(t, b.Handle(ms, ask(id, "free")))
		if !open[s] {
			t.Fatalf("sent to %s", s)
		}
		if s = sentTo(t, b.Handle(2*ms, outcome(id, 0, s, code, ms))); !open[s] {
			t.Fatalf("sent again to %s", s)
		}
		b.Handle(3*ms, outcome(id, 1, s, OK, ms))
	}
	for _, id := range []string{"s01", "s04", "s07"} {
		b.servers[id].health.faultScore = 0.6
		b.recordFault(b.servers[id], failureWeight)
	}
	if b.activeClasses[0].eligible.ejectedCount != 1 {
		t.Errorf("%d of the class's 3 servers are ejected, want 1", b.activeClasses[0].eligible.ejectedCount)
	}
	for id := range open {
		b.Handle(4*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{Server: id, Zone: "a", Kind: "k1", Availability: Draining}}})
	}
	acts := slices.Clone(b.Handle(5*ms, ask("x", "free")))
	for now := 6 * ms; now < 600*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(of(acts, Send)) != 0 || len(of(acts, Reject)) != 1 {
		t.Errorf("with its servers gone: got %+v, want one refusal and no send", acts)
	}
}

// The budget counts every request taken, those refused too, and each further attempt itself.
func TestBudgetOfAttemptsIsExact(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := start(t, set, members(9))
	extras := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range of(slices.Clone(b.Handle(now, ask(id, "free"))), Send) {
				sent += len(of(b.Handle(now, outcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := extras(ms, 0, 4); got > 4 { // two, and half of four
		t.Errorf("%d further attempts for 4 requests, at most 4 allowed", got)
	}
	b.retries, b.accepted = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if may := b.retryBudgetAllows(); may != (n < 3) { // on the safe side of the exact 4
			t.Fatalf("after %d further attempts: may repeat %v", n, may)
		}
		if !b.retryBudgetAllows() {
			break
		}
		b.retries = append(b.retries, b.now)
	}
	b.now = time.Second + 4 // the requests have left the window, the attempts have not
	if b.retryBudgetAllows() {
		t.Error("more than the least is allowed for requests that have left the window")
	}
	b.now = 2 * time.Second
	if !b.retryBudgetAllows() || len(b.retries)+len(b.accepted) != 0 {
		t.Error("the window was not emptied")
	}
}

func TestPacksOwnZoneInIDOrderThenSpills(t *testing.T) {
	b := start(t, site(1), members(4))
	for _, s := range b.order {
		s.threshold = 1
	}
	var got []string
	for i := range 4 {
		got = append(got, sentTo(t, b.Handle(ms, ask(fmt.Sprint(i), "free"))))
	}
	if want := []string{"s00", "s02", "s01", "s03"}; !reflect.DeepEqual(got, want) {
		t.Errorf("with a threshold of one: sent to %v, want %v", got, want)
	}
}

// What is not to cross zones goes to the node's own as long as it has a server, however full; what is to wait for less is
// refused then.
func TestNarrowedRequests(t *testing.T) {
	b := start(t, site(1), members(4))
	for _, s := range b.order {
		s.threshold = 1
	}
	for i := range 4 {
		r := ask(fmt.Sprint(i), "free")
		r.ZoneLocal = true
		if acts := of(b.Handle(ms, r), Send); len(acts) > 1 || len(acts) == 1 && acts[0].Server != "s00" && acts[0].Server != "s02" {
			t.Errorf("it crosses zones: %+v", acts)
		}
	}
	far := members(4)
	b = start(t, site(1), []Endpoint{far[1], far[3]})
	r := ask("far", "free")
	if r.ZoneLocal = true; sentTo(t, b.Handle(ms, r)) != "s01" {
		t.Error("a zone without a server keeps what is not to cross it")
	}
	for hold, want := range map[time.Duration]time.Duration{0: 125 * ms, 30 * ms: 30 * ms, time.Hour: 125 * ms} {
		b = start(t, site(1), nil)
		r := ask("held", "free")
		r.MaxQueueTime = hold
		acts, now := b.Handle(ms, r), Time(ms)
		for len(of(acts, Reject))+len(of(acts, Fail)) == 0 && now < 600*ms {
			now += 5 * ms
			acts = nil
			for token := range uint64(16) {
				acts = append(acts, b.Handle(now, Timer{Token: token})...)
			}
		}
		if waited := time.Duration(now - ms); waited < want-25*ms || waited > want+25*ms {
			t.Errorf("to be held for %v: refused after %v, want %v", hold, waited, want)
		}
	}
}

func TestFullBucketRefusesWithRetryAfter(t *testing.T) {
	b := start(t, site(1), members(4))
	b.settings.Capabilities.RetryAfter = true
	for i := 0; ; i++ {
		r := ask(fmt.Sprint(i), "free")
		r.Tenant = "u"
		if ref := of(b.Handle(ms, r), Reject); len(ref) == 1 {
			if i != 8 { // 10 a second / ln 2, half a second of burst
				t.Errorf("refused after %d, want 8", i)
			}
			if ref[0].Wait != time.Second {
				t.Errorf("retry-after %v, want 1 s", ref[0].Wait)
			}
			break
		}
	}
}

func TestOverrideByClassHasItsOwnBucketAndMaximum(t *testing.T) {
	set := site(1)
	set.RateLimits = RateLimits{PerClass: map[string]Limit{"free": {PerWindow: 50, Window: time.Second, Burst: 50}}, Max: 2}
	b := start(t, set, members(8))
	refused := 0
	for i := range 5 {
		refused += len(of(b.Handle(ms, ask(fmt.Sprint("f", i), "free")), Reject))
	}
	if refused != 3 {
		t.Errorf("refused %d of 5, want 3: the maximum cuts the burst to 2", refused)
	}
	if len(of(b.Handle(ms, ask("x", "once")), Reject)) != 0 {
		t.Error("another class was refused by the override's bucket")
	}
}

func outcome(id string, attempt int, server string, code Code, latency time.Duration) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency, Answered: code == OK}
}

func TestRepeatsKeepToTheirClass(t *testing.T) {
	for _, c := range []struct {
		class      string
		code       Code
		after      time.Duration
		resent     bool
		sameZone   bool
		sameCell   bool
		mayRefuse  bool
		wantAction ActionKind
	}{
		{class: "free", code: ServerError, resent: true},
		{class: "once", code: ServerError, wantAction: Fail},
		{class: "once", code: Reset, wantAction: Fail},
		{class: "once", code: TimedOut, wantAction: Fail},
		{class: "once", code: Overloaded, resent: true},
		{class: "once", code: ConnectFailed, resent: true},
		{class: "all", code: ServerError, resent: true},
		{class: "zone", code: ServerError, resent: true, sameZone: true},
		{class: "cell", code: ServerError, resent: true, sameCell: true},
		{class: "all", code: ServerError, after: 301 * ms, wantAction: Reject},
		{class: "zone", code: ServerError, after: 301 * ms, wantAction: Fail},
		{class: "cell", code: ServerError, after: 301 * ms, wantAction: Fail},
	} {
		list := members(8)
		b := start(t, site(1), list)
		first := sentTo(t, b.Handle(ms, ask("x", c.class)))
		acts := b.Handle(2*ms+c.after, outcome("x", 0, first, c.code, c.after))
		if !c.resent {
			if len(of(acts, Send)) != 0 || len(of(acts, c.wantAction)) != 1 {
				t.Errorf("%s after %v at %v: got %+v", c.class, c.code, c.after, acts)
			}
			continue
		}
		second := sentTo(t, acts)
		zone, cell := map[string]string{}, map[string]int64{}
		for _, m := range list {
			zone[m.Server], cell[m.Server] = m.Zone, m.Cell
		}
		if c.sameZone && zone[first] != zone[second] || c.sameCell && cell[first] != cell[second] {
			t.Errorf("%s: first %s, then %s outside its group", c.class, first, second)
		}
	}
}

// A trial that its second copy outran must not block later trials.
func TestOutrunTrialIsFollowedByAnother(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("x", "free"))); got != "s00" {
		t.Fatalf("trial went to %s", got)
	}
	b.Handle(now+100*ms, outcome("x", 0, "s00", Cancelled, 100*ms))
	if s.health.probeInFlight {
		t.Error("the trial still counts as out")
	}
	now = s.health.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("y", "free"))); got != "s00" {
		t.Errorf("next trial went to %s, want s00", got)
	}
}

// A hung server that is full turns trials away at once: that must not invite the next trial.
func TestFullTrialPutsTheNextOff(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	b.Handle(now, ask("x", "free"))
	b.Handle(now+ms, outcome("x", 0, "s00", Overloaded, ms))
	if got := sentTo(t, b.Handle(now+2*ms, ask("y", "free"))); got == "s00" {
		t.Error("tried again at once")
	}
}

// A slow request at a server that answers others is no sign of a hang.
func TestTimeOutAtAnAnsweringServerIsNoStrike(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.Handle(ms, ask("x", "once"))
	s.lastAnswer = 100 * ms
	b.Handle(600*ms, outcome("x", 0, "s00", TimedOut, 600*ms))
	if s.health.faultScore != 0 {
		t.Errorf("score %v, want 0", s.health.faultScore)
	}
}

func TestRatesFollowRoom(t *testing.T) {
	b := start(t, site(1), members(2))
	for range 100 {
		b.adjustRateScale(false)
	}
	if b.rateScale >= 0.5 || b.rateScale < minRateScale {
		t.Errorf("after 100 choices without room the scale is %v", b.rateScale)
	}
	was := b.rateScale
	b.adjustRateScale(true)
	if b.rateScale != was {
		t.Error("the scale rose though no bucket refused")
	}
	b.rateLimited = true
	b.adjustRateScale(true)
	if b.rateScale <= was {
		t.Error("the scale did not rise though a bucket refused and there was room")
	}
}

// A request that is held for long tells once that servers had no room, not at each look.
func TestHeldRequestMovesTheRatesOnce(t *testing.T) {
	b := start(t, site(1), members(1))
	s := b.order[0]
	s.threshold, s.thresholdReduced, s.inFlight = 1, true, 3
	b.Handle(ms, ask("x", "free"))
	was := b.rateScale
	for now := 2 * ms; now < 80*ms; now += queuePollInterval {
		b.Handle(now, Timer{Token: queueTimerToken})
	}
	if len(b.queued) != 1 || was >= 1 || b.rateScale != was {
		t.Errorf("%d held, the scale went from %v to %v", len(b.queued), was, b.rateScale)
	}
}

// Nodes begin their walks apart, and a key has one home for all nodes of a zone.
func TestStaggerAndHome(t *testing.T) {
	firsts := map[string]bool{}
	homes := map[string]bool{}
	for n := range 6 {
		set := site(6)
		set.Node, set.KeyAffinity = n, true
		b := start(t, set, members(24))
		firsts[b.order[0].Server] = true
		homes[b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})[0].Server] = true
	}
	if len(firsts) < 5 {
		t.Errorf("6 nodes begin at only %d servers", len(firsts))
	}
	if len(homes) != 1 {
		t.Errorf("one key has %d homes", len(homes))
	}
}

// A cold server gets a small part of what a warm one gets, over all nodes.
func TestColdServerIsNotPushedOver(t *testing.T) {
	list := members(8)
	list[0].OnlineSince = 1000 * ms
	const nodes = 8
	sends, rate := 0, 0
	for n := range nodes {
		set := site(nodes)
		set.Node = n
		b := start(t, set, list)
		for i := range 3000 {
			now := 1000*ms + time.Duration(i)*ms
			id := fmt.Sprint(i)
			for _, a := range of(b.Handle(now, ask(id, "free")), Send) {
				rate++
				if a.Server == "s00" {
					sends++
				}
				b.Handle(now, outcome(id, 0, a.Server, OK, ms))
			}
		}
	}
	if most := rate / len(list) / 2; sends > most || sends == 0 {
		t.Errorf("%d of %d went to the cold server, want some but at most %d", sends, rate, most)
	}
}

// When the list changes, the servers at the start of a node's walk change: new ones there must not keep
// the small part that others' servers get, or a release leaves the node with nothing it may use.
func TestServersThatBecomeOwnAreTrusted(t *testing.T) {
	list := members(12)
	b := start(t, site(12), list)
	first := b.order[0].Server
	b.Handle(ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{Server: first, Zone: "a", Availability: Draining}}})
	for _, s := range b.order {
		if s.inSubset && s.threshold < b.initialThreshold(s) {
			t.Errorf("%s is the node's own with a threshold of %v, want at least %v", s.Server, s.threshold, b.initialThreshold(s))
		}
	}
	if b.order[0].Server == first || !b.order[0].inSubset {
		t.Errorf("walk begins at %s, own %v", b.order[0].Server, b.order[0].inSubset)
	}
}

// Servers that other nodes mostly use are learned of together: a node sees too little of each.
func TestTrustInOthersIsLearnedTogether(t *testing.T) {
	b := start(t, site(12), members(12))
	var others []*server
	for _, s := range b.order {
		if !s.inSubset {
			others = append(others, s)
		}
	}
	learn := func(code Code, n int) {
		for range n {
			b.updateThreshold(others[0], b.activeClasses[0], Outcome{Code: code, Latency: ms})
		}
	}
	was := b.effectiveThreshold(others[1])
	learn(OK, 40)
	if b.effectiveThreshold(others[1]) <= was {
		t.Error("good answers of one did not raise the limit of another")
	}
	raised := b.effectiveThreshold(others[1])
	learn(Overloaded, 10)
	if b.effectiveThreshold(others[1]) < raised {
		t.Error("full answers of one lowered the limit of another: they do no harm, the request goes elsewhere")
	}
	learn(TimedOut, 100)
	if got := b.effectiveThreshold(others[1]); got != was {
		t.Errorf("after many time-outs the limit is %v, want the %v of the start", got, was)
	}
	if own := b.order[0]; b.effectiveThreshold(own) != own.threshold {
		t.Error("the node's own servers are scaled too")
	}
}

// Where servers turn work away early, a full answer is cheap: nothing is refused unasked, the rates stay
// at the shares and nobody is ejected for it. A late answer weighs against that, as does a hung server.
func TestOffersWhereServersShedEarly(t *testing.T) {
	b := start(t, site(1), members(2))
	s := b.order[0]
	for range 40 {
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
		b.updateHealth(&attempt{server: s}, OK)
	}
	if !b.serversShedLoad() {
		t.Fatal("40 full answers and none late: not seen to shed early")
	}
	for _, s := range b.order {
		s.inFlight = 20
	}
	sentTo(t, b.Handle(ms, ask("x", "free")))
	b.adjustRateScale(false)
	if b.rateScale != 1 {
		t.Errorf("rates at %v of the shares", b.rateScale)
	}
	for range 10 {
		b.updateHealth(&attempt{server: s}, Overloaded)
	}
	if s.health.ejected {
		t.Error("ejected for full answers")
	}
	for range 120 {
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
	}
	s.health.faultScore = 0.4
	for range 40 {
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms}) // of a hung server: they don't count
	}
	if b.serversShedLoad() {
		t.Error("still held to shed early after many time-outs")
	}
	if acts := b.Handle(2*ms, ask("y", "free")); len(of(acts, Send)) != 0 {
		t.Error("sent past the crowd limit")
	}
}

// Traffic far beyond the shares passes only while next to no answer is bad: other nodes may lack the room.
func TestRatesFarOverTheSharesNeedGoodAnswers(t *testing.T) {
	b := start(t, site(1), members(2))
	grow := func() {
		for range 200 {
			b.rateLimited = true
			b.adjustRateScale(true)
		}
	}
	grow()
	if b.rateScale != maxRateScale {
		t.Errorf("with good answers the scale is %v, want %v", b.rateScale, maxRateScale)
	}
	for range 20 {
		b.updateThreshold(b.order[0], b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
	}
	grow()
	if b.rateScale > cautiousRateScale*(1+rateScaleStep) {
		t.Errorf("with bad answers the scale is %v, want about %v", b.rateScale, cautiousRateScale)
	}
}

// Connections idle for as long as those that went unanswered are closed before a send; a server is not
// blamed for what was lost on them. Short gaps, and a site whose sends all fail alike, change nothing.
func TestConnectionsDroppedUnseenAreOpenedAnew(t *testing.T) {
	b := start(t, site(1), members(2))
	s, now := b.order[0], Time(0)
	try := func(gap time.Duration, code Code) (closed int) {
		now += gap
		id := fmt.Sprint("r", now)
		acts := slices.Clone(b.Handle(now, ask(id, "once")))
		closed = len(of(acts, CloseIdle))
		to := sentTo(t, acts)
		if to != s.Server {
			t.Fatalf("sent to %s", to)
		}
		now += 100 * ms
		b.Handle(now, Outcome{ID: id, Server: to, Code: code, Latency: 100 * ms, Answered: code == OK})
		return closed
	}
	for range 20 {
		try(50*ms, OK)
	}
	for range 2 {
		if try(900*ms, TimedOut) > 0 {
			t.Fatal("closed before it was known")
		}
		try(50*ms, OK)
	}
	if s.health.faultScore != 0 || s.health.ejected {
		t.Errorf("the server has a score of %v", s.health.faultScore)
	}
	if try(900*ms, OK) != 1 {
		t.Error("not closed before a send on a connection that was idle for as long as the lost ones")
	}
	if try(50*ms, OK) != 0 {
		t.Error("closed though it was in use")
	}
	closes := 0
	for range 80 {
		closes += try(900*ms, OK)
	}
	if closes == 80 {
		t.Error("the suspicion never wears off")
	}
	try(900*ms, TimedOut)
	for range 2 { // on a fresh connection now
		try(50*ms, TimedOut)
	}
	if !s.health.ejected && s.health.faultScore == 0 {
		t.Error("a server silent on fresh connections isn't blamed")
	}
}

// A key's second home takes over in the same order at every node of a zone.
func TestSecondHomeTakesWhatTheFirstCannot(t *testing.T) {
	seen := map[string]bool{}
	for n := range 6 {
		set := site(6)
		set.Node, set.KeyAffinity = n, true
		b := start(t, set, members(24))
		homes := b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})
		homes[0].health.ejected = true
		r := ask("x", "free")
		r.Key = "acct/1"
		seen[sentTo(t, b.Handle(time.Second, r))] = true
		if homes[0] == homes[1] || homes[1] == homes[2] {
			t.Error("a server is home twice")
		}
	}
	if len(seen) != 1 {
		t.Errorf("without its home the key goes to %d servers, want one", len(seen))
	}
}

// Full answers of servers that jam are no sign that they shed early: the others they give time out.
func TestJammedServersDontShedEarly(t *testing.T) {
	b := start(t, site(1), members(2))
	s := b.order[0]
	for range 30 {
		for range 9 {
			b.updateThreshold(s, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
		}
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: OK, Latency: ms})
		s.health.faultScore = 0
	}
	if b.serversShedLoad() {
		t.Error("held to shed early though half of the other answers time out")
	}
}

// A second copy is for an attempt whose server has gone silent; one that answers others has a heavy
// request, and a copy would be as heavy elsewhere.
func TestOnlySilentServersAreHedged(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := start(t, site(1), members(4))
		s := b.servers[sentTo(t, b.Handle(ms, ask("x", "free")))]
		if !silent {
			s.lastAnswer = 50 * ms
		}
		acts := b.Handle(240*ms, Timer{Token: firstClassTimerToken})
		if got := len(of(acts, Send)) == 1; got != silent {
			t.Errorf("silent %v: second copy sent %v", silent, got)
		}
	}
}

// The rate to a cold server leaves one multiple of its capacity to chance, whatever multiple is allowed.
func TestColdRateLeavesOneMultipleToChance(t *testing.T) {
	for multiple, want := range map[float64]float64{1: 0.35, 2: 0.7, 3: 1.4} {
		set := site(1)
		set.Rules.OverloadFactor, set.Rules.SlowStartShare, set.Rules.SlowStartWindow = multiple, 0.5, time.Hour
		b := start(t, set, members(1))
		b.completionRate, b.completionRateAt, b.now = 100, time.Second, time.Second // a hundred answers a second at one server
		s := b.order[0]
		s.OnlineSince = b.now
		s.slowStart = slowStartBucket{lastRefill: b.now - 10*ms}
		b.hasSlowStartCapacity(s)
		if got, rate := s.slowStart.tokens, want*0.5*100*0.01; math.Abs(got-rate) > 0.01 {
			t.Errorf("multiple %v: %v requests in 10 ms, want %v", multiple, got, rate)
		}
	}
}

// What all nodes together first trust a server with stays the same where nodes are few: four of each of
// three nodes jam the first server in the order.
func TestStartIsSharedByFewNodes(t *testing.T) {
	for nodes := 1; nodes <= maxUnstaggeredNodes; nodes++ {
		b := start(t, site(nodes), members(4))
		if all := b.order[0].threshold * float64(nodes); math.Abs(all-initialAmongFewNodes) > 1e-9 {
			t.Errorf("%d nodes: %v attempts in all, want %v", nodes, all, initialAmongFewNodes)
		}
	}
}

// A failed call for the list, or a lost subscription, is repeated soon enough to count as asking, and not
// by all nodes at once.
func TestFailedListCallsAreRepeatedApart(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 8 {
		set := site(8)
		set.Node, set.Subscribe = n, true
		within := 4 * watchRetryDelay
		if n >= 4 {
			set.Rules.MaxPollInterval = 500 * ms
			within = 4 * set.Rules.MaxPollInterval // after a failed call; beyond, the list counts as told
		}
		b, err := New(set, 0, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(of(b.Handle(0, EndpointList{Kind: ListRestored}), WatchEndpoints)) != 1 {
			t.Fatal("no subscription at the start")
		}
		timers := of(b.Handle(ms, EndpointList{Kind: ListUnavailable}), SetTimer)
		if len(timers) != 1 || timers[0].Wait < within/8 || timers[0].Wait > within*3/4 {
			t.Fatalf("after a failed call: %+v", timers)
		}
		waits[timers[0].Wait] = true
		if len(of(b.Handle(timers[0].Wait+ms, Timer{Token: timers[0].Token}), WatchEndpoints)) != 1 {
			t.Error("not asked again")
		}
	}
	if len(waits) < 8 {
		t.Errorf("8 nodes wait only %d different times", len(waits))
	}
}

// A hung server fills up: its full answers don't show that servers shed early.
func TestFullAnswersOfSuspectsDontCount(t *testing.T) {
	for score, want := range map[float64]bool{0: true, 0.4: false} {
		b := start(t, site(1), members(2))
		b.order[0].health.faultScore = score
		for range 40 {
			b.updateThreshold(b.order[0], b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
		}
		if b.serversShedLoad() != want {
			t.Errorf("with a score of %v: sheds early %v, want %v", score, !want, want)
		}
	}
}

// Offers after full answers cost a part of a further attempt, but only where servers shed early, nothing
// ran, and the site states no budget.
func TestOffersAreCheapWhereServersShedEarly(t *testing.T) {
	for _, c := range []struct {
		early, ran bool
		budget     *RetryBudget
		want       int
	}{
		{early: true, want: 3}, // 20 times 0.15
		{early: false, want: 20},
		{early: true, ran: true, want: 20},
		{early: true, budget: &RetryBudget{MinRetries: 50, Window: time.Second}, want: 20},
	} {
		set := site(1)
		set.Rules.RetryBudget = c.budget
		b := start(t, set, members(2))
		if c.early {
			b.overloadRatio = 1
		}
		r := &request{}
		if c.ran {
			r.mayHaveRun = &attempt{}
		}
		for range 20 {
			b.chargeRetry(r)
		}
		if got := len(b.retries); got < c.want-1 || got > c.want {
			t.Errorf("%+v: %d attempts booked", c, got)
		}
	}
}

// Faults that all servers have alike neither close thresholds nor eject; a server that has many more
// is ejected all the same, and where others have none it takes two in a row.
func TestFaultsThatAllHaveTellLittle(t *testing.T) {
	try := func(b *Balancer, now Time, s *server, code Code) {
		id := fmt.Sprint(now)
		b.requests[id] = &request{id: id, class: b.classes["once"], deadline: now + time.Second}
		b.send(b.requests[id], s, false)
		b.Handle(now+20*ms, outcome(id, 0, s.Server, code, 20*ms))
	}
	b := start(t, site(1), members(6))
	first := b.servers["s00"].threshold
	now := Time(0)
	for i := range 1200 { // one in ten, and sometimes two in a row
		now += 25 * ms
		code := OK
		if k := i / 6 % 20; k == 7 || k == 8 {
			code = Reset
		}
		try(b, now, b.order[i%6], code)
		if n := b.ejectedCount; n > 0 {
			t.Fatalf("%d ejected after %d outcomes", n, i)
		}
	}
	for _, s := range b.order {
		if s.threshold < first/2 {
			t.Errorf("%s: threshold %v, was %v", s.Server, s.threshold, first)
		}
	}
	b.eject(b.order[0]) // for once
	now += 5 * time.Second
	b.requests["trial"] = &request{id: "trial", class: b.classes["free"], deadline: now + time.Second}
	b.send(b.requests["trial"], b.order[0], true)
	b.Handle(now, outcome("trial", 0, "s00", ConnectFailed, 0))
	if h := b.order[0].health; !h.ejected || h.ejectedUntil != now+baseEjectionTime {
		t.Errorf("a trial that failed by what all have alike puts the next off by %v", h.ejectedUntil-now)
	}
	if b.badRatio > maxBadRatio {
		t.Errorf("%v of the answers count as bad", b.badRatio)
	}
	bad := b.servers["s03"]
	for range 10 {
		now += 25 * ms
		try(b, now, bad, ServerError)
	}
	if !bad.health.ejected {
		t.Errorf("a server that always fails is not ejected; score %v", bad.health.faultScore)
	}

	b = start(t, site(1), members(6))
	for range 5 {
		for _, s := range b.order {
			now += 25 * ms
			try(b, now, s, OK)
		}
	}
	for range 2 {
		now += 25 * ms
		try(b, now, b.order[1], Reset)
	}
	if !b.order[1].health.ejected {
		t.Error("two faults in a row, and none at others: not ejected")
	}
}

// Also where nothing is ever sent again, what the budget of attempts counts by doesn't grow.
func TestRequestsTakenAreForgotten(t *testing.T) {
	b := start(t, site(1), members(2))
	for i := range 5000 {
		b.Handle(Time(i)*10*ms, ask(fmt.Sprint(i), "free"))
		b.Handle(Time(i)*10*ms, ClientGone{ID: fmt.Sprint(i)})
	}
	if n := len(b.accepted); n > 1100 {
		t.Errorf("%d times kept for a span of %v", n, b.retryBudget.Window)
	}
}

// A client that is turned away still has half of its time to go elsewhere.
func TestHeldRequestsAreRefusedWithinHalfTheirTime(t *testing.T) {
	b := start(t, site(1), nil)
	e := ask("x", "free")
	e.ExpiresIn = 100 * ms // less than the class's aim
	acts := b.Handle(ms, e)
	for now := ms; now <= 51*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(of(acts, Reject)) != 1 {
		t.Errorf("not refused within half of its time: %+v", acts)
	}
}
