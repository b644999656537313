package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSplitter_TwoProcessesShareOneNode checks that the shares of two processes together exceed the node's rate
// limits, memory and connections by at most the minimum shares. Requests and connections are random. A process that
// becomes the only one must get the whole node at once.
func TestSplitter_TwoProcessesShareOneNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := Limits{ClientConns: 200, ServerConns: 100}
		var first, second Splitter
		var firstReport, secondReport Report
		first.Split(firstReport, nil, node)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			firstReport.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "new requests a"))
			secondReport.Accepted += uint64(rapid.IntRange(0, 100).Draw(t, "new requests b"))
			firstReport.ClientConns = rapid.IntRange(0, 150).Draw(t, "clients a")
			secondReport.ClientConns = rapid.IntRange(0, 50).Draw(t, "clients b")
			firstShare := first.Split(firstReport, map[string]Report{"b": secondReport}, node)
			secondShare := second.Split(secondReport, map[string]Report{"a": firstReport}, node)
			checkTotals(t, firstShare, secondShare)
			minConns := int(minConnShare * float64(node.ClientConns))
			most := max(node.ClientConns, secondReport.ClientConns+minConns)
			if firstShare.ClientConns+secondReport.ClientConns > most {
				t.Fatalf("share of %d connections, the other has %d", firstShare.ClientConns, secondReport.ClientConns)
			}
		}
		if alone := first.Split(firstReport, nil, node); alone != (Share{Traffic: 1, Memory: 1, Limits: node}) {
			t.Fatalf("share of the only process: %+v, want the whole node", alone)
		}
	})
}

// checkTotals checks that the traffic shares of two processes add up to between 1 and 1+minTrafficShare. Their memory
// shares must add up to at most 1.
func checkTotals(t *rapid.T, first, second Share) {
	const rounding = 1e-9
	sum := first.Traffic + second.Traffic
	if sum > 1+minTrafficShare+rounding || sum < 1-rounding {
		t.Fatalf("traffic shares of %v and %v, want a sum of about 1", first.Traffic, second.Traffic)
	}
	if first.Memory+second.Memory > 1 {
		t.Fatalf("memory shares of %v and %v, want a sum of at most 1", first.Memory, second.Memory)
	}
}

// TestSplitter_TrafficMovesToSuccessor checks that a successor that gets all requests also gets its predecessor's
// traffic share. It must get that share within a few rounds of reports.
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
		t.Errorf("traffic shares of %v (predecessor) and %v (successor)", predecessorShare.Traffic, successorShare.Traffic)
	}
}
