package policy

import "testing"

// TestRetry_UnknownDedupGroup guards against duplicate effects at servers whose deduplication group is unknown. A keyed
// request that may have been executed must not be retried at a server unless both servers are known to share a group.
func TestRetry_UnknownDedupGroup(t *testing.T) {
	for _, test := range []struct {
		name, class   string
		first, second Endpoint
		retried       bool
	}{
		{"cells unknown", "dedup-cell", Endpoint{Zone: "a"}, Endpoint{Zone: "a"}, false},
		{"first cell unknown", "dedup-cell", Endpoint{Zone: "a"}, Endpoint{Zone: "a", Cell: NewCell(0)}, false},
		{"second cell unknown", "dedup-cell", Endpoint{Zone: "a", Cell: NewCell(0)}, Endpoint{Zone: "a"}, false},
		{"cells differ", "dedup-cell", Endpoint{Cell: NewCell(1)}, Endpoint{Cell: NewCell(2)}, false},
		{"same cell 0", "dedup-cell", Endpoint{Cell: NewCell(0)}, Endpoint{Cell: NewCell(0)}, true},
		{"zones unknown", "dedup-zone", Endpoint{Cell: NewCell(1)}, Endpoint{Cell: NewCell(1)}, false},
		{"first zone unknown", "dedup-zone", Endpoint{}, Endpoint{Zone: "a"}, false},
		{"second zone unknown", "dedup-zone", Endpoint{Zone: "a"}, Endpoint{}, false},
		{"zones differ", "dedup-zone", Endpoint{Zone: "a"}, Endpoint{Zone: "b"}, false},
		{"same zone", "dedup-zone", Endpoint{Zone: "b"}, Endpoint{Zone: "b"}, true},
		{"first zone uncertain", "dedup-zone", Endpoint{Zone: "b", ZoneUncertain: true}, Endpoint{Zone: "b"}, false},
		{"second zone uncertain", "dedup-zone", Endpoint{Zone: "b"}, Endpoint{Zone: "b", ZoneUncertain: true}, false},
		{"cells conflicting", "dedup-cell", Endpoint{Cell: ConflictingCell}, Endpoint{Cell: ConflictingCell}, false},
		{"all servers deduplicate", "dedup-all", Endpoint{}, Endpoint{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.first.Server, test.second.Server = "first", "second"
			test.second.Availability = Draining // the first attempt has no other choice
			b := startBalancer(t, testSettings(1), []Endpoint{test.first, test.second})
			if s := sentServer(t, b.Handle(ms, testRequest("x", test.class))); s != "first" {
				t.Fatalf("the first attempt was sent to %s", s)
			}
			test.second.Availability = Running
			b.Handle(ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{test.second}})
			acts := b.Handle(2*ms, testOutcome("x", 0, "first", Reset, ms))
			if sends, fails := len(actionsOf(acts, Send)), len(actionsOf(acts, Fail)); test.retried != (sends == 1) ||
				test.retried == (fails == 1) {
				t.Errorf("after a reset: %+v, want a retry: %v, and a failure otherwise", acts, test.retried)
			}
		})
	}
}

// TestRetry_DedupGroupChanges guards against duplicate effects outside the group of the process that ran a request. The
// list may move a server to another group while an attempt is in flight, for example because another process has taken
// the server's name.
func TestRetry_DedupGroupChanges(t *testing.T) {
	one, two := Endpoint{Zone: "a", Cell: NewCell(1)}, Endpoint{Zone: "b", Cell: NewCell(2)}
	for _, test := range []struct {
		name                 string
		sent, listed, second Endpoint // first server when the attempt is sent and when it fails, and second server
		retried              bool
	}{
		{"second in the new group", one, two, two, false},
		{"second in the former group", one, two, one, false},
		{"group no longer known", one, Endpoint{}, one, true},
		{"group no longer known, second elsewhere", one, Endpoint{}, two, false},
		{"group known later", Endpoint{}, one, one, false},
		{"unchanged", one, one, one, true},
	} {
		for _, class := range []string{"dedup-zone", "dedup-cell"} {
			t.Run(test.name+"/"+class, func(t *testing.T) {
				test.sent.Server, test.listed.Server, test.second.Server = "first", "first", "second"
				b := startBalancer(t, testSettings(1), []Endpoint{test.sent})
				if s := sentServer(t, b.Handle(ms, testRequest("x", class))); s != "first" {
					t.Fatalf("the first attempt was sent to %s", s)
				}
				b.Handle(ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{test.listed, test.second}})
				acts := b.Handle(2*ms, testOutcome("x", 0, "first", Reset, ms))
				if sent := len(actionsOf(acts, Send)) == 1; sent != test.retried {
					t.Errorf("retried: %v, want %v: %+v", sent, test.retried, acts)
				}
			})
		}
	}
}
