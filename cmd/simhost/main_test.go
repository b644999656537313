package main

import (
	"bytes"
	"strings"
	"testing"

	"cobaltward/policy"
)

const conf = `["configure",N,7,{"position":0,"groupSize":2,"zone":"a",` +
	`"services":[{"name":"x","aim":250,"deadline":600,"repeat":"free"}],"limits":{"maxAttempts":3}}]`

const list = `["list",0,[[null,"Running",1,"k","a",0,"s1"],[null,"Running",1,"k","a",0,"s2"]]]`

func configure(node string) string { return strings.Replace(conf, "N", node, 1) }

func lines(l ...string) string { return strings.Join(l, "\n") + "\n" }

func TestServe_AnswersBatch(t *testing.T) {
	in := lines(`["mark",0]`, `["eob"]`, `["mark",5]`, list, configure("3"), `["peersKnown",3,"restored",1,0]`,
		`["ingress",3,"r1","x",null,null,300]`, `["eob"]`)
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"[\"yield\"]\n[\"handOff\",3,\"r1\",\"s1\",255]\n", "[\"wakeMe\",3,"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the reply does not contain %q:\n%s", want, out.String())
		}
	}
}

func TestServe_ErrorsNameLine(t *testing.T) {
	const start = `["mark",0]`
	withLimits := func(before string) string {
		return strings.Replace(configure("1"), `"limits":{`, before+`"limits":{`, 1)
	}
	shareWithoutSpan := `"guarantees":{"budgetShare":0.1},`
	oddOutcome := `["completed",1,"r",0,"s","odd",1,false]`
	for in, want := range map[string]string{
		lines(start, `["ingress",3,"id"]`):                         "line 2: ingress: cls",
		lines(`["eob"]`):                                           "line 1",
		lines(start):                                               "line 2: input ended inside a batch",
		lines(start, `["configure",1,2,{}]`):                       "classes",
		lines(start, `["surprise",1]`):                             "line 2: surprise: unknown message",
		lines(start, `["reminder",1,"x"]`):                         "line 2: reminder: token: want number",
		lines(start, `["peersKnown",3,"replace",1,9]`):             "line 2: peersKnown: buffer: list 9 was never sent",
		lines(start, oddOutcome):                                   "line 2: completed: rc: unknown outcome code",
		lines(start, `["mark",5]`):                                 "line 2: message outside of a batch, or a batch inside",
		lines(`["reminder",1,7]`):                                  "line 1: message outside of a batch",
		lines(start, `[`):                                          "line 2: not JSON",
		lines(start, withLimits(shareWithoutSpan)):                 "attempt budget: span",
		lines(start, strings.Replace(configure("1"), "0", "9", 1)): "node 9",
	} {
		err := serve(strings.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that contains %q", in, err, want)
		}
	}
}

// TestServe_InstancesAreIndependent checks that instances in one process make the same decisions as instances in
// separate processes.
func TestServe_InstancesAreIndependent(t *testing.T) {
	run := func(nodes ...string) string {
		l := []string{`["mark",1]`, list}
		for _, n := range nodes {
			l = append(l, configure(n), `["peersKnown",`+n+`,"restored",1,0]`)
		}
		for _, n := range nodes {
			l = append(l, `["ingress",`+n+`,"r`+n+`","x",null,null,300]`)
		}
		var out bytes.Buffer
		if err := serve(strings.NewReader(lines(append(l, `["eob"]`)...)), &out); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSuffix(out.String(), "[\"yield\"]\n")
	}
	if got, want := run("1", "2"), run("1")+run("2"); got != want {
		t.Errorf("in one process:\n%sin separate processes:\n%s", got, want)
	}
}

func TestServe_ReconfiguredNodeForgetsRequests(t *testing.T) {
	in := lines(`["mark",0]`, list, configure("3"), `["peersKnown",3,"restored",1,0]`,
		`["ingress",3,"r1","x",null,null,300]`, `["shutdown",3]`, `["lapsed",3,"r1"]`, configure("3"),
		`["peersKnown",3,"restored",1,0]`, `["completed",3,"r1",0,"s1","err",1,false]`, `["eob"]`)
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), `"handOff"`); n != 1 {
		t.Errorf("request r1 was sent %d times, want 1: the reconfigured node must not know it\n%s", n, out.String())
	}
}

// TestDeliver_ReportsPanic checks that a panic of an instance is reported with its message and that the instance is
// removed.
func TestDeliver_ReportsPanic(t *testing.T) {
	h := host{nodes: map[int]*policy.Balancer{3: nil}}
	h.deliver(3, nil, policy.Timer{})
	if got := string(h.reply); !strings.HasPrefix(got, `["broken",3,"`) || !strings.Contains(got, "nil pointer") {
		t.Errorf("got %s", got)
	}
	if _, kept := h.nodes[3]; kept {
		t.Error("the crashed instance was not removed")
	}
}
