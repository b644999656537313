package node

import (
	"errors"
	"strconv"
	"time"

	"cobaltward/drain"
	"cobaltward/router"
)

// The figures of a drain by the console: those who ask for readiness are told at once, and stop new connections
// 0.3 s later; all connections have to be gone 4 s after the call.
const (
	standbyAnnounce = 300 * time.Millisecond
	standbyLeave    = time.Second
)

// desk is what the console shows and drives. It waits for nobody.
type desk struct {
	engine *router.Router
	order  func(drain.Order) error
	back   func(who string) error
}

// Serving tells whether this process can serve. In standby it can.
func (d *desk) Serving() bool {
	p := d.engine.Phase()
	return p != router.Starting && p != router.Closed
}

// Standby begins to empty the node. It may be told again.
func (d *desk) Standby() error {
	err := d.order(drain.Order{AnnounceFor: standbyAnnounce, LeaveFor: standbyLeave, Timeout: drainFor, Reason: "standby", RequestedBy: "console"})
	busy := (*drain.InProgressError)(nil)
	if errors.As(err, &busy) || errors.Is(err, drain.ErrDrained) {
		if d.engine.DrainStatus().Final {
			return drain.ErrFinal
		}
		return nil
	}
	return err
}

// Active has the node serve again. It may be told again.
func (d *desk) Active() error {
	if err := d.back("console"); !errors.Is(err, drain.ErrNotDraining) {
		return err
	}
	return nil
}

// Figures appends the figures, a line each.
func (d *desk) Figures(page []byte) []byte {
	f := d.engine.Metrics()
	line := func(name, class string, n uint64) {
		page = append(page, name...)
		if class != "" {
			page = append(append(page, '.'), class...)
		}
		page = append(strconv.AppendUint(append(page, '='), n, 10), '\n')
	}
	for _, c := range f.Classes {
		line("success", c.Class, c.Served)
		line("busy", c.Class, c.Busy)
		line("failure", c.Class, c.Failure)
	}
	line("backend_calls", "", f.AttemptsWritten)
	line("inflight", "", uint64(max(0, f.InFlight)))
	line("hosts_listed", "", uint64(max(0, f.Endpoints)))
	line("hosts_down", "", uint64(max(0, f.UnavailableEndpoints)))
	return page
}
