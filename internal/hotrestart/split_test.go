package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSplitter_TwoProcessesShareOneNode moves the work between two processes in any way: together they have hardly
// more than the whole of the rate limits, memory and connections, and a process that is alone has all of it at once.
func TestSplitter_TwoProcessesShareOneNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := Limits{ClientConns: 200, ServerConns: 100}
		var first, second Splitter
		var firstReport, secondReport Report
		first.Split(firstReport, nil, node)
		for range rapid.IntRange(1, 40).Draw(t, "looks") {
			firstReport.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "a"))
			secondReport.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "b"))
			firstReport.ClientConns = rapid.IntRange(0, 150).Draw(t, "clients a")
			secondReport.ClientConns = rapid.IntRange(0, 50).Draw(t, "clients b")
			firstShare := first.Split(firstReport, map[string]Report{"b": secondReport}, node)
			secondShare := second.Split(secondReport, map[string]Report{"a": firstReport}, node)
			checkTogether(t, firstShare, secondShare)
			minConns := int(minConnShare * float64(node.ClientConns))
			most := max(node.ClientConns, secondReport.ClientConns+minConns)
			if firstShare.ClientConns+secondReport.ClientConns > most {
				t.Fatalf("%d clients beside %d", firstShare.ClientConns, secondReport.ClientConns)
			}
		}
		if alone := first.Split(firstReport, nil, node); alone != (Share{Traffic: 1, Memory: 1, Limits: node}) {
			t.Fatalf("alone: %+v", alone)
		}
	})
}

// checkTogether checks that two shares make up the whole of the traffic, and at most the whole of the memory.
func checkTogether(t *rapid.T, first, second Share) {
	const rounding = 1e-9
	sum := first.Traffic + second.Traffic
	if sum > 1+minTrafficShare+rounding || sum < 1-rounding {
		t.Fatalf("shares of %v and %v", first.Traffic, second.Traffic)
	}
	if first.Memory+second.Memory > 1 {
		t.Fatalf("memory of %v and %v", first.Memory, second.Memory)
	}
}

// TestSplitter_TrafficMovesToSuccessor checks that the share which a predecessor no longer needs is its successor's
// within a few looks.
func TestSplitter_TrafficMovesToSuccessor(t *testing.T) {
	node := Limits{ClientConns: 10, ServerConns: 10}
	var predecessor, successor Splitter
	var predecessorReport, successorReport Report
	predecessor.Split(predecessorReport, nil, node)
	var predecessorShare, successorShare Share
	for range 6 {
		successorReport.Accepted += 50
		predecessorShare = predecessor.Split(predecessorReport, map[string]Report{"n": successorReport}, node)
		successorShare = successor.Split(successorReport, map[string]Report{"o": predecessorReport}, node)
	}
	if predecessorShare.Traffic > 0.15 || successorShare.Traffic < 0.9 {
		t.Errorf("shares of %v and %v", predecessorShare.Traffic, successorShare.Traffic)
	}
}
