package simprotocol

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
)

const ms = time.Millisecond

func decode(t *testing.T, decoder *Decoder, line string) Line {
	t.Helper()
	decoded, err := decoder.Decode([]byte(line))
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return decoded
}

type decodeTest struct {
	line string
	want Line
}

func runDecodeTests(t *testing.T, decoder *Decoder, tests []decodeTest) {
	t.Helper()
	for _, test := range tests {
		if got := decode(t, decoder, test.line); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s\n got %+v\nwant %+v", test.line, got, test.want)
		}
	}
}

func TestDecode_Events(t *testing.T) {
	runDecodeTests(t, new(Decoder), []decodeTest{
		{`["mark",8412.25]`, Line{Kind: BatchStart, Now: 8412*ms + 250*time.Microsecond}},
		{`["eob"]`, Line{Kind: BatchEnd}},
		{`["shutdown",3]`, Line{Kind: Shutdown, Node: 3}},
		{`["reminder",3,9223372036854775808]`, Line{Kind: Event, Node: 3, Event: policy.Timer{Token: 1 << 63}}},
		{`["lapsed",5,"id"]`, Line{Kind: Event, Node: 5, Event: policy.ClientGone{ID: "id"}}},
		{`["ingress",3,"id","c","t","k",240.0,12.0,true,true,"later"]`, Line{
			Kind: Event, Node: 3,
			Event: policy.Request{
				ID: "id", Class: "c", Tenant: "t", Key: "k", ExpiresIn: 240 * ms,
				CostHint: 12 * ms, Retry: true, Write: true,
			},
		}},
		{`["ingress",3,"id","c",null,null,240]`, Line{
			Kind: Event, Node: 3,
			Event: policy.Request{ID: "id", Class: "c", ExpiresIn: 240 * ms},
		}},
		{`["completed",3,"id",1,"s1","busy",18.5,false,[0.5,14.5]]`, Line{
			Kind: Event, Node: 3,
			Event: policy.Outcome{
				ID: "id", Attempt: 1, Server: "s1", Code: policy.Overloaded,
				Latency: 18*ms + 500*time.Microsecond, LoadReport: []float64{0.5, 14.5},
			},
		}},
		{`["headers",3,"id",0,9,"s1"]`, Line{
			Kind: Event, Node: 3,
			Event: policy.FirstByte{ID: "id", Latency: 9 * ms, Server: "s1"},
		}},
		{`["healthResult",3,1,"done","s1",null]`, Line{
			Kind: Event, Node: 3,
			Event: policy.ProbeResult{Server: "s1", Latency: ms},
		}},
		{`["neighbourSays",3,2,"hi \"7\""]`, Line{
			Kind: Event, Node: 3,
			Event: policy.PeerMessage{From: 2, Body: `hi "7"`},
		}},
	})
}

func TestDecode_EndpointLists(t *testing.T) {
	var decoder Decoder
	decode(t, &decoder, `["list",3,[[null,"Running",1,"k","a",0,"s1"],[6100.5,"Stopping",1.5,"k","b",7,"s2"],`+
		`[0,"Deleted",1,"k","b",7,"s3",null,"more"]]]`)
	list := []policy.Endpoint{
		{Server: "s1", Zone: "a", Kind: "k", Cell: policy.NewCell(0), Weight: 1},
		{
			Server: "s2", Zone: "b", Kind: "k", Cell: policy.NewCell(7), Weight: 1.5,
			OnlineSince: 6100*ms + 500*time.Microsecond, Availability: policy.Draining,
		},
		{Server: "s3", Zone: "b", Kind: "k", Cell: policy.NewCell(7), Weight: 1, Availability: policy.Removed},
	}
	runDecodeTests(t, &decoder, []decodeTest{
		{`["peersKnown",3,"restored",41,3]`, Line{
			Kind: Event, Node: 3,
			Event: policy.EndpointList{Kind: policy.ListRestored, Endpoints: list},
		}},
		{`["peersKnown",3,"unavailable",41,null]`, Line{
			Kind: Event, Node: 3,
			Event: policy.EndpointList{Kind: policy.ListUnavailable},
		}},
	})
}

func TestDecode_OutcomeCodes(t *testing.T) {
	notExecuted := map[string]bool{"busy": true, "econnrefused": true, "skipped": true}
	var decoder Decoder
	for name := range outcomeCodes {
		decoded := decode(t, &decoder, `["completed",1,"id",0,"s","`+name+`",1,false]`)
		if got := decoded.Event.(policy.Outcome).Code.NotExecuted(); got != notExecuted[name] {
			t.Errorf("%s: NotExecuted is %v", name, got)
		}
	}
}

func TestDecode_Settings(t *testing.T) {
	var decoder Decoder
	decoded := decode(t, &decoder, `["configure",2,7,{"position":1,"groupSize":4,"zone":"a","registryMode":"subscribe",`+
		`"services":[{"name":"x","aim":250,"deadline":600,"repeat":"guarded","group":"zone","window":5000,"new":1,`+
		`"servedOn":["k1","k2"],"localitiesOnly":["a"]},{"name":"y","servedOn":null}],"worthBy":"work",`+
		`"tenants":[{"name":"t","quotaRps":42,"fraction":0.4}],"limits":{"maxAttempts":4,"cancelling":true,"connIdle":5000},`+
		`"guarantees":{"coldShare":0.17,"cold":23000,"minExtra":5,"budgetShare":0.15,"ratioSpan":5000},`+
		`"report":{"fields":["util"]},"familyInfo":{"warmKeys":true}}]`)
	want := policy.Settings{
		Node: 1, Nodes: 4, Zone: "a", Subscribe: true, KeyAffinity: true,
		Classes: []policy.Class{
			{
				Name: "x", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: policy.IdempotencyKeyed,
				DedupScope: policy.DedupZone, DedupWindow: 5 * time.Second, Kinds: []string{"k1", "k2"}, Zones: []string{"a"},
			},
			{Name: "y"},
		},
		WeightByWork: true,
		Tenants:      []policy.Tenant{{Name: "t", Quota: 42, Share: 0.4}},
		Capabilities: policy.Capabilities{MaxAttempts: 4, Cancel: true, ConnIdleTimeout: 5 * time.Second},
		Rules: policy.Rules{
			SlowStartShare: 0.17, SlowStartWindow: 23 * time.Second,
			RetryBudget: &policy.RetryBudget{MinRetries: 5, RetryRatio: 0.15, Window: 5 * time.Second},
		}, LoadReportFields: []string{"util"},
	}
	if decoded.Seed != 7 || !reflect.DeepEqual(decoded.Settings, want) {
		t.Errorf("got seed %d, %+v\nwant %+v", decoded.Seed, decoded.Settings, want)
	}
}

// TestParseSettings checks that ParseSettings returns the same settings as the decoder does for a configure message.
func TestParseSettings(t *testing.T) {
	const conf = `{"position":1,"groupSize":4,"services":[{"name":"x","deadline":600,"repeat":"free"}]}`
	got, err := ParseSettings([]byte(conf))
	if err != nil {
		t.Fatal(err)
	}
	var decoder Decoder
	if want := decode(t, &decoder, `["configure",2,7,`+conf+`]`).Settings; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	for raw, want := range map[string]string{`{`: "not JSON", `[]`: "want an object", `{"zone":1}`: "zone"} {
		if _, err := ParseSettings([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", raw, err, want)
		}
	}
}

func TestDecode_ErrorNamesMessageAndField(t *testing.T) {
	for line, want := range map[string]string{
		`{`:                                  "JSON",
		`{}`:                                 "array",
		`["surprise",1]`:                     "surprise: unknown message",
		`["mark"]`:                           "mark: clock: missing",
		`["mark","x"]`:                       "mark: clock",
		`["ingress",3,"id",5]`:               "ingress: cls",
		`["ingress",3,"id","c","t","k"]`:     "ingress: expiresIn: missing",
		`["completed",3,"id",0,"s","odd",1]`: "completed: rc",
		`["reminder",3,-1]`:                  "reminder: token",
		`["peersKnown",3,"replace",1,9]`:     "peersKnown: buffer",
		`["peersKnown",3,"odd",1,9]`:         "peersKnown: how",
		`["list",16,[]]`:                     "list: buffer",
		`["list",1,[[null,"Odd",1,"k","a",0,"s"]]]`:             "availability",
		`["configure",1,2,{"services":[{"repeat":"odd"}]}]`:     "services[0].repeat",
		`["configure",1,2,{"services":[{"deadline":"long"}]}]`:  "services[0].deadline",
		`["configure",1,2,{"services":[{"servedOn":"k"}]}]`:     "services[0].servedOn: want array",
		`["configure",1,2,{"services":[{"servedOn":["k",3]}]}]`: "services[0].servedOn[1]: want string",
		`["configure",1,2,{"services":[{"localitiesOnly":1}]}]`: "services[0].localitiesOnly",
		`["configure",1,2,{"guarantees":{"minExtra":"few"}}]`:   "guarantees.minExtra",
		`["configure",1,2,{"guarantees":{"ratioSpan":[]}}]`:     "guarantees.ratioSpan",
		`["configure",1,2,{"worthBy":"size"}]`:                  "worthBy",
		`["configure",1,2,{"report":{"fields":[1]}}]`:           "report.fields[0]",
	} {
		var d Decoder
		_, err := d.Decode([]byte(line))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", line, err, want)
		}
	}
}

// TestDecode_ListNumberReused checks that a list that reuses a number does not change the previous list. Instances
// may still read the previous list.
func TestDecode_ListNumberReused(t *testing.T) {
	var decoder Decoder
	decode(t, &decoder, `["list",0,[[null,"Running",1,"k","a",0,"s1"]]]`)
	first := decode(t, &decoder, `["peersKnown",3,"replace",1,0]`).Event.(policy.EndpointList)
	decode(t, &decoder, `["list",0,[[null,"Running",1,"k","a",0,"s2"]]]`)
	if first.Endpoints[0].Server != "s1" {
		t.Error("the previous list has changed")
	}
}

func TestAppendAction(t *testing.T) {
	for _, test := range []struct {
		act  policy.Action
		want string
	}{
		{
			policy.Action{Kind: policy.Send, ID: "id", Server: "s", Until: 8492*ms + 250*time.Microsecond},
			`["handOff",3,"id","s",8492.25]`,
		},
		{policy.Action{Kind: policy.Send, ID: "id", Server: "s"}, `["handOff",3,"id","s"]`},
		{policy.Action{Kind: policy.Reject, ID: "id", Wait: 250 * ms}, `["notNow",3,"id",250]`},
		{policy.Action{Kind: policy.Reject, ID: "id"}, `["notNow",3,"id"]`},
		{policy.Action{Kind: policy.Fail, ID: "id"}, `["abort",3,"id"]`},
		{policy.Action{Kind: policy.Cancel, ID: "id", Attempt: 2}, `["stopAttempt",3,"id",2]`},
		{policy.Action{Kind: policy.SetTimer, Wait: 500 * ms, Token: 77}, `["wakeMe",3,500,77]`},
		{policy.Action{Kind: policy.Probe, Server: "s"}, `["poll",3,"s"]`},
		{policy.Action{Kind: policy.CloseIdle, Server: "s"}, `["freeLinks",3,"s"]`},
		{policy.Action{Kind: policy.SendToPeer, Peer: -1, Text: "a\nb"}, `["announce",3,-1,"a\nb"]`},
		{policy.Action{Kind: policy.Log, Text: "two"}, `["sayLog",3,"two"]`},
		{policy.Action{Kind: policy.WatchEndpoints, On: true}, `["listen",3,true]`},
		{policy.Action{Kind: policy.FetchEndpoints}, `["readList",3]`},
	} {
		if got := string(AppendAction(nil, 3, test.act)); got != test.want+"\n" {
			t.Errorf("got %swant %s", got, test.want)
		}
	}
	got := string(AppendReplyEnd(AppendCrash(nil, 3, `a "b"`)))
	if got != "[\"broken\",3,\"a \\\"b\\\"\"]\n[\"yield\"]\n" {
		t.Errorf("got %s", got)
	}
}

// FuzzDecode checks that the decoder returns a line of the protocol or a single-line error for any input.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`["mark",1]`, `["ingress",3,"id","c","t","k",240.0,12.0,true,true]`,
		`["list",0,[[1,"Running",1,"k","a",0,"s"]]]`, `["peersKnown",3,"update",1,0]`,
		`["configure",1,2,{"services":[{"name":"x","deadline":1}],"limits":{}}]`,
		`["completed",1,"x",0,"s","done",1,true,[1,null]]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var d Decoder
		if _, err := d.Decode(line); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of more than one line: %q", err)
		}
	})
}
