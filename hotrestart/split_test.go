package hotrestart

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However the work moves between two processes that look at each other now and then: together they have hardly more
// than the whole of the buckets, memory and connections that they had, and who is alone has all of it at once.
func TestSplitter_TwoProcessesShareOneNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Limits{ClientConns: 200, ServerConns: 100}
		var a, b Splitter
		var ra, rb Report
		a.Split(ra, nil, whole)
		for range rapid.IntRange(1, 40).Draw(t, "looks") {
			ra.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "a"))
			rb.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "b"))
			ra.ClientConns, rb.ClientConns = rapid.IntRange(0, 150).Draw(t, "clients a"), rapid.IntRange(0, 50).Draw(t, "clients b")
			sa := a.Split(ra, map[string]Report{"b": rb}, whole)
			sb := b.Split(rb, map[string]Report{"a": ra}, whole)
			if sum := sa.Traffic + sb.Traffic; sum > 1+minTrafficShare+1e-9 || sum < 1-1e-9 {
				t.Fatalf("parts of %v and %v", sa.Traffic, sb.Traffic)
			}
			if sa.Memory+sb.Memory > 1 {
				t.Fatalf("memory of %v and %v", sa.Memory, sb.Memory)
			}
			if most := max(whole.ClientConns, rb.ClientConns+int(minConnShare*float64(whole.ClientConns))); sa.ClientConns+rb.ClientConns > most {
				t.Fatalf("%d clients beside %d", sa.ClientConns, rb.ClientConns)
			}
		}
		if s := a.Split(ra, nil, whole); s != (Share{Traffic: 1, Memory: 1, Limits: whole}) {
			t.Fatalf("alone: %+v", s)
		}
	})
}

// The work that a predecessor no longer has comes to its successor within a few looks.
func TestSplitter_TrafficMovesToSuccessor(t *testing.T) {
	var old, next Splitter
	var ro, rn Report
	whole := Limits{ClientConns: 10, ServerConns: 10}
	old.Split(ro, nil, whole)
	var so, sn Share
	for range 6 {
		rn.Accepted += 50
		so, sn = old.Split(ro, map[string]Report{"n": rn}, whole), next.Split(rn, map[string]Report{"o": ro}, whole)
	}
	if so.Traffic > 0.15 || sn.Traffic < 0.9 {
		t.Errorf("parts of %v and %v", so.Traffic, sn.Traffic)
	}
}

func TestDecode_RejectsMalformed(t *testing.T) {
	whole, _ := json.Marshal(Order{Version: Version, At: time.Unix(1, 0), Standby: true})
	if o, err := Decode[Order](whole); err != nil || !o.Standby || !o.Supersedes(time.Time{}) || o.Supersedes(time.Unix(1, 0)) {
		t.Errorf("%+v, %v", o, err)
	}
	for name, raw := range map[string]string{"torn": string(whole[:len(whole)/2]), "empty": "", "no object": "7", "long": strings.Repeat(" ", MaxSize) + string(whole)} {
		if _, err := Decode[Order]([]byte(raw)); err == nil {
			t.Errorf("%s is read", name)
		}
	}
	if _, err := Decode[Report]([]byte(`{"version":2}`)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("another version: %v", err)
	}
}
