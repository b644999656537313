package msgpack

import (
	"testing"

	"cobaltward/body"
)

// TestAdmitCall_LimitsMemory checks that the calls of all connections share the limits, and that an ended call makes
// room for another one.
func TestAdmitCall_LimitsMemory(t *testing.T) {
	const size = 10 << 10
	budget := body.NewBudget(4 * size)
	server := New(nil, Config{MaxTotalCalls: 3, Bodies: budget})
	admit := func(size int) bool { return server.reserveBody(size) && server.admitCall() }
	for i := range 3 {
		if !admit(size) {
			t.Fatalf("call %d of 3 was rejected", i)
		}
	}
	if admit(0) {
		t.Error("a fourth call was admitted, want 3")
	}
	server.releaseCall(size)
	if admit(3 * size) {
		t.Errorf("a body of %d bytes was admitted beyond the budget", 3*size)
	}
	if !admit(2 * size) {
		t.Error("a body that fits was rejected after another call had ended")
	}
	if used := budget.Used(); used != 4*size {
		t.Errorf("%d bytes of the budget used, want %d", used, 4*size)
	}
}
