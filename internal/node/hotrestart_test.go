package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestStandbyOrder_SurvivesWallClockStep checks that the last standby order applies even if the wall clock is stepped
// back. Two processes of one node give orders, and the step comes between the orders. The earlier order then has the
// later time.
func TestStandbyOrder_SurvivesWallClockStep(t *testing.T) {
	dir := t.TempDir()
	join := func(followed *[]bool) *processGroup {
		group := joinProcessGroup(dir, slog.New(slog.DiscardHandler))
		if group == nil {
			t.Fatal("the process is not registered")
		}
		t.Cleanup(group.process.Unregister)
		group.setStandby = func(standby bool) error {
			*followed = append(*followed, standby)
			return nil
		}
		return group
	}
	var firstFollowed, secondFollowed []bool
	first, second := join(&firstFollowed), join(&secondFollowed)

	first.publishOrder(true)
	stepOrder(t, dir, time.Hour) // as if the clock were an hour ahead until now
	first.followed.At = first.followed.At.Add(time.Hour)
	second.followOrder()
	second.publishOrder(false)
	first.followOrder()
	second.followOrder()

	if len(secondFollowed) != 1 || !secondFollowed[0] {
		t.Errorf("the second process followed %v, want only the order into standby", secondFollowed)
	}
	if len(firstFollowed) != 1 || firstFollowed[0] {
		t.Errorf("the first process followed %v, want only the order out of standby", firstFollowed)
	}
}

// stepOrder adds by to the time of the current order.
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
