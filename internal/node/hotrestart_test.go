package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestStandbyOrder_SurvivesWallClockStep gives two processes of one node orders on standby while the wall clock is stepped
// back between them: the one that was given last stands.
func TestStandbyOrder_SurvivesWallClockStep(t *testing.T) {
	dir := t.TempDir()
	join := func(followed *[]bool) *processGroup {
		group := joinProcessGroup(dir, slog.New(slog.DiscardHandler))
		if group == nil {
			t.Fatal("not registered")
		}
		t.Cleanup(group.process.Unregister)
		group.setStandby = func(standby bool) error {
			*followed = append(*followed, standby)
			return nil
		}
		return group
	}
	var first, second []bool
	one, other := join(&first), join(&second)

	one.publishOrder(true)
	stepOrder(t, dir, time.Hour) // the clock was an hour ahead then, and is stepped back now
	one.followed.At = one.followed.At.Add(time.Hour)
	other.followOrder()
	other.publishOrder(false)
	one.followOrder()
	other.followOrder()

	if len(second) != 1 || !second[0] {
		t.Errorf("the other process followed %v, want the order of standby", second)
	}
	if len(first) != 1 || first[0] {
		t.Errorf("the process that gave the first order followed %v, want the one back to work", first)
	}
}

// stepOrder moves the time of the order that stands.
func stepOrder(t *testing.T, dir string, by time.Duration) {
	t.Helper()
	group := joinProcessGroup(dir, slog.New(slog.DiscardHandler))
	defer group.process.Unregister()
	order, err := group.process.Order()
	if err != nil {
		t.Fatal(err)
	}
	order.At = order.At.Add(by)
	if err := group.process.WriteOrder(order); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "wayhold-order")); err != nil {
		t.Fatal(err)
	}
}
