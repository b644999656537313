package handshakes

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPreconnectTargets_OnlyExpectedServers checks that connections are opened ahead of requests only to servers that
// are expected to need them, and only while less than half of the connection limit is used.
func TestPreconnectTargets_OnlyExpectedServers(t *testing.T) {
	now := time.Minute
	pool := func(id string, change func(*PoolState)) PoolState {
		state := PoolState{Server: id, EverUsed: true, LastUsed: now - time.Second}
		change(&state)
		return state
	}
	pools := []PoolState{
		pool("a", func(*PoolState) {}),
		pool("b", func(p *PoolState) { p.LastUsed = now }),
		pool("idle", func(p *PoolState) { p.Idle = 1 }),
		pool("never", func(p *PoolState) { p.EverUsed = false }),
		pool("long ago", func(p *PoolState) { p.LastUsed = now - recentUseWindow }),
		pool("unavailable", func(p *PoolState) { p.Unavailable = true }),
		pool("connecting", func(p *PoolState) { p.Connecting = 1 }),
	}
	if got := PreconnectTargets(now, pools, 0, 100); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("targets are %v, want [b a]", got)
	}
	if got := PreconnectTargets(now, pools, 50, 100); got != nil {
		t.Errorf("targets are %v with half of the connection limit used, want none", got)
	}
}

// TestShouldReplace_SpreadsOverWindow checks that about half of the connections are replaced in the first half of the
// window, and all connections by the end of the window.
func TestShouldReplace_SpreadsOverWindow(t *testing.T) {
	early := 0
	for i := range 100 {
		id := fmt.Sprint("s", i)
		if ShouldReplace(id, replacementWindow/2) {
			early++
		}
		if !ShouldReplace(id, replacementWindow) {
			t.Errorf("connections to %s are not replaced by the end of the window", id)
		}
	}
	if early < 30 || early > 70 {
		t.Errorf("connections to %d of 100 servers are replaced in the first half of the window", early)
	}
}
