package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"cobaltward/discovery/disabled"
	"cobaltward/drain"
	"cobaltward/internal/door"
	"cobaltward/router"
)

const (
	statusFor    = 100 * time.Millisecond // that a status is shown again: many who watch cost as one
	watchEvery   = 250 * time.Millisecond
	drainFor     = 30 * time.Second // where the operator names no deadline
	drainLeave   = time.Second      // of Leaving
	longestOrder = 24 * time.Hour
)

// Status is what the door tells of a node.
type Status struct {
	Version     int                      `json:"version"`
	Name        string                   `json:"name"`
	At          time.Time                `json:"at"`
	Phase       string                   `json:"phase"`
	Drain       drain.Status             `json:"drain"`
	Requests    RequestStatus            `json:"requests"`
	Connections ConnectionStatus         `json:"connections"`
	Servers     map[string]int           `json:"servers"`
	ByHand      []string                 `json:"servers_drained_by_hand"`
	Untrusted   []string                 `json:"servers_untrusted,omitempty"` // they can't prove who they are
	List        router.EndpointListStats `json:"list"`
	Answers     map[string]uint64        `json:"answers"`
	Attempts    uint64                   `json:"attempts"`
}

// RequestStatus tells of the requests without their answer. Times are in milliseconds.
type RequestStatus struct {
	Open       int            `json:"open"`
	ByClass    map[string]int `json:"by_class"`
	OldestMs   int64          `json:"oldest_ms"`
	OldestLeft int64          `json:"oldest_left_ms"`
	Held       int            `json:"held"`
	Retrying   int            `json:"retrying"`
	Attempts   int            `json:"attempts_out"`
}

// ConnectionStatus tells of the node's connections.
type ConnectionStatus struct {
	Clients int    `json:"clients"`
	Busy    int    `json:"clients_with_a_request"`
	Servers int    `json:"servers"`
	Parted  uint64 `json:"parted"`  // of clients, ended without a request for a drain
	Crossed uint64 `json:"crossed"` // requests that crossed that
}

// DrainOrder is the body of POST /v1/drain.
type DrainOrder struct {
	Deadline string `json:"deadline"` // as in "30s"
	Reason   string `json:"reason"`
	Who      string `json:"who"`
	Force    bool   `json:"force"`
}

// control is what the door of a node shows and takes.
type control struct {
	name   string
	engine *router.Router
	hold   *disabled.Source
	intake *intake
	leave  time.Duration
	tls    *secured           // nil: a node without
	mark   string             // file that stands while a drain on request does; empty: none
	told   func(standby bool) // hears of orders, for other processes of this node; nil: there are none

	mu     sync.Mutex
	status Status
	taken  time.Time
}

func (c *control) mount(d *door.Door) {
	d.Handle(http.MethodGet, "/status", func(w http.ResponseWriter, _ *http.Request) { door.Reply(w, http.StatusOK, c.now()) })
	d.Handle(http.MethodPost, "/drain", c.drain)
	d.Handle(http.MethodDelete, "/drain", c.undrain)
	d.Handle(http.MethodGet, "/events", func(w http.ResponseWriter, r *http.Request) { c.watch(d, w, r) })
	d.Handle(http.MethodGet, "/tls", func(w http.ResponseWriter, _ *http.Request) {
		if c.tls == nil {
			door.Fail(w, http.StatusConflict, "this node speaks no TLS: its own file has no table [tls]")
			return
		}
		door.Reply(w, http.StatusOK, c.tls.status())
	})
	d.Handle(http.MethodGet, "/level", c.level)
	d.Handle(http.MethodPost, "/level", c.setLevel)
	d.Handle(http.MethodPost, "/level/most", c.forbidLevels)
	d.Handle(http.MethodDelete, "/level", func(w http.ResponseWriter, r *http.Request) {
		if err := c.engine.ReleaseLevel(); err != nil {
			door.Fail(w, http.StatusConflict, err.Error())
			return
		}
		c.level(w, r)
	})
	d.Handle(http.MethodGet, "/servers", func(w http.ResponseWriter, _ *http.Request) { door.Reply(w, http.StatusOK, c.hold.ServersByZone()) })
	d.Handle(http.MethodPost, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) { c.byHand(w, r, c.hold.Disable) })
	d.Handle(http.MethodDelete, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) { c.byHand(w, r, c.hold.Enable) })
}

// now is the node's status, at most statusFor old.
func (c *control) now() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.taken) < statusFor {
		s := c.status
		s.Drain = c.engine.DrainStatus() // that is never old
		return s
	}
	c.status, c.taken = c.look(), time.Now()
	return c.status
}

func (c *control) look() Status {
	st := c.engine.Stats()
	s := Status{
		Version: 1, Name: c.name, At: time.Now(), Phase: st.Phase.String(), Drain: c.engine.DrainStatus(),
		Requests: RequestStatus{
			ByClass: st.OpenByClass, OldestMs: st.Oldest.Milliseconds(), OldestLeft: st.OldestRemaining.Milliseconds(),
			Held: st.Queued, Retrying: st.Retrying, Attempts: st.AttemptsInFlight,
		},
		Servers: make(map[string]int), ByHand: c.hold.Disabled(), Untrusted: c.hold.Untrusted(), List: st.EndpointList,
		Answers: make(map[string]uint64), Attempts: st.Attempts,
	}
	for _, n := range st.OpenByClass {
		s.Requests.Open += n
	}
	for state, n := range st.EndpointsByAvailability {
		s.Servers[[...]string{"running", "draining", "removed"}[state]] = n
	}
	for o, n := range st.Answers {
		s.Answers[router.Outcome(o).String()] = n
	}
	s.Connections.Clients, s.Connections.Busy = c.engine.ClientConnections()
	s.Connections.Servers = st.ServerConns
	s.Connections.Parted, s.Connections.Crossed = c.intake.partings()
	return s
}

func (c *control) drain(w http.ResponseWriter, r *http.Request) {
	var body DrainOrder
	if !door.Read(w, r, &body) {
		return
	}
	o := drain.Order{AnnounceFor: c.leave, LeaveFor: drainLeave, Timeout: drainFor, Reason: body.Reason, RequestedBy: body.Who, Force: body.Force}
	if body.Deadline != "" {
		d, err := time.ParseDuration(body.Deadline)
		if err != nil || d <= 0 || d > longestOrder {
			door.Fail(w, http.StatusBadRequest, `deadline: want a time of more than 0s and at most 24h, as in "30s"`)
			return
		}
		o.Timeout = d
	}
	// Clients must have left before the end: what is announced for longer than there is time helps nobody.
	o.AnnounceFor, o.LeaveFor = min(o.AnnounceFor, o.Timeout/4), min(o.LeaveFor, o.Timeout/4)
	err := c.start(o)
	busy := (*drain.InProgressError)(nil)
	switch {
	case err == nil:
		if c.mark != "" {
			raw, _ := json.Marshal(body) // texts and a flag
			if err := os.WriteFile(c.mark, raw, 0o600); err != nil {
				door.Reply(w, http.StatusAccepted, door.Error{Error: "it drains, but a restart will not know: " + err.Error(), More: c.now()})
				return
			}
		}
		door.Reply(w, http.StatusAccepted, c.now())
	case errors.As(err, &busy):
		door.Reply(w, http.StatusConflict, door.Error{Error: err.Error(), More: busy.Status})
	default:
		door.Fail(w, http.StatusConflict, err.Error())
	}
}

func (c *control) undrain(w http.ResponseWriter, r *http.Request) {
	var body DrainOrder
	if !door.Read(w, r, &body) {
		return
	}
	if err := c.back(body.Who); err != nil {
		door.Fail(w, http.StatusConflict, err.Error())
		return
	}
	door.Reply(w, http.StatusOK, c.now())
}

// forbidLevels has no level beyond one entered.
func (c *control) forbidLevels(w http.ResponseWriter, r *http.Request) {
	var o LevelOrder
	if !door.Read(w, r, &o) {
		return
	}
	if err := c.engine.SetMaxLevel(o.Level, o.Who, o.Reason); err != nil {
		door.Fail(w, http.StatusConflict, err.Error())
		return
	}
	c.level(w, r)
}

func (c *control) level(w http.ResponseWriter, _ *http.Request) {
	st, err := c.engine.Level()
	if err != nil {
		door.Fail(w, http.StatusConflict, err.Error())
		return
	}
	door.Reply(w, http.StatusOK, st)
}

// LevelOrder is the body of POST /v1/level.
type LevelOrder struct {
	Level  int    `json:"level"`
	For    string `json:"for"` // as in "10m"; none: until it is released
	Who    string `json:"who"`
	Reason string `json:"reason"`
}

func (c *control) setLevel(w http.ResponseWriter, r *http.Request) {
	var o LevelOrder
	if !door.Read(w, r, &o) {
		return
	}
	var d time.Duration
	if o.For != "" {
		var err error
		if d, err = time.ParseDuration(o.For); err != nil || d <= 0 || d > longestOrder {
			door.Fail(w, http.StatusBadRequest, `for: want a time of more than 0s and at most 24h, as in "10m"`)
			return
		}
	}
	if err := c.engine.SetLevel(o.Level, d, o.Who, o.Reason); err != nil {
		door.Fail(w, http.StatusConflict, err.Error())
		return
	}
	c.level(w, r)
}

// back takes a drain back, whichever way it was ordered.
func (c *control) back(who string) error {
	err := c.engine.CancelDrain(who)
	if err == nil {
		c.unmark()
	}
	if c.told != nil && (err == nil || errors.Is(err, drain.ErrNotDraining)) {
		c.told(false)
	}
	return err
}

// start begins a drain, whichever way it was ordered.
func (c *control) start(o drain.Order) error {
	err := c.engine.StartDrain(o)
	if err == nil && c.told != nil {
		c.told(true)
	}
	return err
}

// obey follows an order that another process of this node was given.
func (c *control) obey(standby bool) error {
	if !standby {
		if err := c.engine.CancelDrain("another process of this node"); !errors.Is(err, drain.ErrNotDraining) {
			return err
		}
		return nil
	}
	err := c.engine.StartDrain(drain.Order{AnnounceFor: standbyAnnounce, LeaveFor: standbyLeave, Timeout: drainFor, Reason: "standby", RequestedBy: "another process of this node"})
	if busy := (*drain.InProgressError)(nil); errors.As(err, &busy) || errors.Is(err, drain.ErrDrained) {
		return nil
	}
	return err
}

// unmark has a restart serve.
func (c *control) unmark() {
	if c.mark != "" {
		_ = os.Remove(c.mark) // it may not be there
	}
}

// remembered begins the drain again that stood when the process before this one ended.
func (c *control) remembered() {
	if c.mark == "" {
		return
	}
	raw, err := os.ReadFile(c.mark)
	if err != nil {
		return
	}
	var o DrainOrder
	_ = json.Unmarshal(raw, &o) // a torn file still says that a drain stood
	_ = c.engine.StartDrain(drain.Order{Timeout: drainFor, Reason: "drained before the restart: " + o.Reason, RequestedBy: o.Who})
}

// watch sends what the drain comes to, and the status as it goes on.
func (c *control) watch(d *door.Door, w http.ResponseWriter, r *http.Request) {
	var last uint64
	d.Watch(w, r, watchEvery, func() (all []door.Event, more bool) {
		for _, e := range c.engine.DrainEvents(last) {
			if e.Number > last+1 && last > 0 {
				all = append(all, door.Event{Name: "lost", Data: e.Number - last - 1})
			}
			last = e.Number
			all = append(all, door.Event{Name: "drain", Data: e})
		}
		return append(all, door.Event{Name: "status", Data: c.now()}), true
	})
}

// byHand drains or lifts one server, for this node alone.
func (c *control) byHand(w http.ResponseWriter, r *http.Request, do func(id string) error) {
	switch err := do(r.PathValue("id")); {
	case errors.Is(err, disabled.ErrUnknownServer):
		door.Fail(w, http.StatusNotFound, err.Error())
	case err != nil:
		door.Fail(w, http.StatusConflict, err.Error())
	default:
		door.Reply(w, http.StatusOK, map[string][]string{"servers_drained_by_hand": c.hold.Disabled()})
	}
}
