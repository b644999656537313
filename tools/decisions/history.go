package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// history generates the random history of one node in the simulator's protocol. All times are in milliseconds.
type history struct {
	rand     *rand.Rand
	now      float64
	batch    strings.Builder
	inFlight []attempt
	attempts map[string]int // number of attempts made so far, by request
	timers   []timer
	servers  int
	requests int // number of requests sent so far
	counts   *counts
}

// attempt is an attempt that has no outcome yet.
type attempt struct {
	request, server string
	number          int
	sentAt          float64
}

// timer is a requested timer of the policy module that has not fired yet.
type timer struct {
	due   float64
	token string
}

func newHistory(seed uint64, totals *counts) *history {
	return &history{rand: rand.New(rand.NewPCG(seed, 1)), now: 5000, attempts: make(map[string]int), counts: totals}
}

// writeLine adds a line to the batch.
func (h *history) writeLine(format string, args ...any) {
	fmt.Fprintf(&h.batch, format+"\n", args...)
}

// pick returns one of the values at random.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// configure writes random settings. For example, the number of nodes and the tenant quotas vary, and classes may be
// bound to server kinds or zones.
func (h *history) configure() {
	nodes := pick(h.rand, 1, 2, 3, 4, 9, 40)
	binding := pick(h.rand, "", "", `,"servedOn":["k1"]`, `,"localitiesOnly":["a","b"]`)
	tenants := pick(h.rand, "",
		`,"tenants":[{"name":"t0","quotaRps":200,"fraction":0.5},{"name":"t1","quotaRps":40,"fraction":0.1}]`)
	extra := pick(h.rand, "", `,"minExtra":5,"budgetShare":0.2,"ratioSpan":5000`)
	h.writeLine(`["configure",0,%d,{"position":%d,"groupSize":%d,"zone":"a","familyInfo":{"warmKeys":%t},"services":[`+
		`{"name":"read","aim":300,"deadline":1500,"repeat":"free","lateWorth":0.2,"value":1},`+
		`{"name":"pay","aim":400,"deadline":1500,"repeat":"single_shot","lateWorth":0.2,"value":1%s},`+
		`{"name":"undo","aim":500,"deadline":2000,"repeat":"guarded","group":"%s","window":1000,"value":1}],`+
		`"limits":{"cancelling":true,"secondCopies":%t,"retryAfter":true,"maxAttempts":%d,"connIdle":%d},`+
		`"guarantees":{"graceToAnswer":50,"drainGrace":500,"coldShare":0.3,"cold":5000,`+
		`"fallMultiple":3,"overloadFor":1000%s}%s}]`,
		h.rand.Uint32(), h.rand.IntN(nodes), nodes, h.rand.IntN(3) == 0, binding, pick(h.rand, "all", "zone", "cell"),
		h.rand.IntN(2) == 0, 1+h.rand.IntN(5), pick(h.rand, 0, 5000), extra, tenants)
}

// entry returns the entry of the i-th server, in the given state, in the endpoint list.
func (h *history) entry(i int, state string) string {
	since := "null"
	if h.rand.IntN(12) == 0 {
		since = fmt.Sprintf("%.3f", h.now-1000)
	}
	return fmt.Sprintf(`[%s,"%s",1,"k%d","%s",%d,"s%04d"]`,
		since, state, 1+h.rand.IntN(2), pick(h.rand, "a", "a", "b", "c"), h.rand.IntN(4), i)
}

// Modes in which an endpoint list arrives: as restored state, as an update, or as a complete replacement.
const (
	listRestored = "restored"
	listUpdate   = "update"
	listReplace  = "replace"
)

// writeList writes a complete endpoint list or, with listUpdate, some changed entries.
func (h *history) writeList(mode string) {
	var entries []string
	if mode != listUpdate {
		for i := h.rand.IntN(1 + h.servers/2); i < h.servers; i++ {
			entries = append(entries, h.entry(i, "Running"))
		}
	} else {
		for range 1 + h.rand.IntN(pick(h.rand, 3, 30)) {
			server := h.rand.IntN(h.servers + 3)
			state := pick(h.rand, "Running", "Running", "Stopping", "Deleted")
			entries = append(entries, h.entry(server, state))
		}
	}
	h.writeLine(`["list",0,[%s]]`, strings.Join(entries, ","))
	h.writeLine(`["peersKnown",0,"%s",1,0]`, mode)
}

// writeRequests writes a random number of new requests.
func (h *history) writeRequests() {
	for range 1 + h.rand.IntN(h.servers/4+2) {
		h.requests++
		class := pick(h.rand, "read", "pay", "undo", "other")
		h.writeLine(`["ingress",0,"r%d","%s","t%d","key%d",%d]`,
			h.requests, class, h.rand.IntN(3), h.rand.IntN(7), 100+h.rand.IntN(1900))
	}
}

// writeOutcomes writes the outcomes of some of the attempts in flight.
func (h *history) writeOutcomes() {
	for range min(len(h.inFlight), 1+h.rand.IntN(h.servers/4+2)) {
		i := h.rand.IntN(len(h.inFlight))
		ended := h.inFlight[i]
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
		result := pick(h.rand,
			"done", "done", "done", "done", "done", "err", "busy", "etimedout", "econnrefused", "econnreset")
		h.writeLine(`["completed",0,"%s",%d,"%s","%s",%.3f,%t]`,
			ended.request, ended.number, ended.server, result, h.now-ended.sentAt, result == "done")
	}
}

// writeDueTimers fires the timers that are due.
func (h *history) writeDueTimers() {
	var pending []timer
	for _, t := range h.timers {
		if t.due <= h.now {
			h.writeLine(`["reminder",0,%s]`, t.token)
		} else {
			pending = append(pending, t)
		}
	}
	h.timers = pending
}

// nextBatch advances the time and returns the next batch. The first batch also has the settings and an endpoint list.
func (h *history) nextBatch(first bool) string {
	h.batch.Reset()
	h.now += float64(h.rand.IntN(60))
	h.writeLine(`["mark",%.3f]`, h.now)
	if first {
		h.servers = pick(h.rand, 3, 20, 130, 300)
		h.configure()
		h.writeList(listRestored)
	}
	h.writeDueTimers()
	switch h.rand.IntN(10) {
	case 0:
		h.writeList(listUpdate)
	case 1:
		if h.rand.IntN(8) == 0 {
			h.writeList(listReplace)
		}
	case 2, 3, 4:
		h.writeRequests()
	default:
		h.writeOutcomes()
	}
	h.writeLine(`["eob"]`)
	return h.batch.String()
}

// recordActions records the attempts and timers that a reply starts. It returns an error for a line that reports a
// panic of the build.
func (h *history) recordActions(reply []string) error {
	for _, line := range reply {
		parts := strings.Split(strings.Trim(line, "[]"), ",")
		for i := range parts {
			parts[i] = strings.Trim(parts[i], `"`)
		}
		switch parts[0] {
		case "handOff":
			request, server := parts[2], parts[3]
			h.inFlight = append(h.inFlight, attempt{
				request: request, server: server, number: h.attempts[request], sentAt: h.now,
			})
			h.attempts[request]++
		case "wakeMe":
			var wait float64
			if _, err := fmt.Sscan(parts[2], &wait); err != nil {
				return fmt.Errorf("%s: %w", line, err)
			}
			h.timers = append(h.timers, timer{due: h.now + wait, token: parts[3]})
		case "broken":
			return errors.New(line)
		}
	}
	return nil
}

// differenceError reports a reply that differs between the two builds.
type differenceError struct{ description string }

// Error returns a description of the difference.
func (e *differenceError) Error() string { return e.description }

// compareBuilds sends the history to both builds and returns a differenceError for the first reply that differs.
func (h *history) compareBuilds(formerPath, currentPath string) error {
	former, err := startAdapter(formerPath)
	if err != nil {
		return err
	}
	defer former.stop()
	current, err := startAdapter(currentPath)
	if err != nil {
		return err
	}
	defer current.stop()
	for i := range 40 + h.rand.IntN(160) {
		batch := h.nextBatch(i == 0)
		want, err := former.send(batch)
		if err != nil {
			return err
		}
		got, err := current.send(batch)
		if err != nil {
			return err
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			const separator = "\n        "
			return &differenceError{fmt.Sprintf("batch %d\n%sformer: %s\nnow:    %s",
				i, batch, strings.Join(want, separator), strings.Join(got, separator))}
		}
		h.counts.replies.Add(1)
		h.counts.actions.Add(int64(len(got)))
		if err := h.recordActions(got); err != nil {
			return err
		}
	}
	return nil
}
