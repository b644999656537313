package consensus

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/internal/door"
)

const (
	fromHeader    = "X-Fleet-From"
	addressHeader = "X-Fleet-Address"
	epochHeader   = "X-Fleet-Epoch"

	proposeTimeout = 5 * time.Second // that a proposal is waited for at most
	maxWatchWait   = 30 * time.Second
	maxRequestBody = 64 << 10
)

// WatchRequest is what a follower asks for.
type WatchRequest struct {
	AgentReport
	Wait time.Duration `json:"wait"` // for something new
}

// WatchResponse is what it gets: entries that lead on from where it is, or the whole state.
type WatchResponse struct {
	Entries   []LogEntry   `json:"entries,omitempty"`
	State     *fleet.State `json:"state,omitempty"`
	HasLeader bool         `json:"leader"` // the member has one
}

// LogEntry is an entry with its place.
type LogEntry struct {
	Position fleet.Position  `json:"at"`
	Raw      json.RawMessage `json:"raw"`
}

// ProposeResponse is the answer to a proposal.
type ProposeResponse struct {
	Position     fleet.Position     `json:"at,omitempty"`
	FencingToken fleet.FencingToken `json:"token,omitempty"`
	Error        string             `json:"error,omitempty"` // as the state has it
}

// Status is what a member tells of the council.
type Status struct {
	Name          string         `json:"name"`
	ID            string         `json:"id"`
	IsMember      bool           `json:"member"` // it has been added
	LeaderID      string         `json:"leader"` // id; empty: there is none
	LeaderName    string         `json:"leader_name"`
	LeaderlessFor time.Duration  `json:"silent"` // since there was a leader
	Term          uint64         `json:"term"`
	Position      fleet.Position `json:"at"`
	State         *fleet.State   `json:"state"`
	Reports       []AgentReport  `json:"reports"`
}

// MembershipRequest is the body of a change of the council.
type MembershipRequest struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
	ID      string `json:"id,omitempty"` // of its disk, in hexadecimal
	Remove  bool   `json:"remove,omitempty"`
}

// Handler answers members, followers and operators. Who bears no token is refused by whoever wraps it.
func (m *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log", m.handleMessages)
	mux.HandleFunc("POST /v1/propose", m.handlePropose)
	mux.HandleFunc("POST /v1/state", m.handleWatch)
	mux.HandleFunc("POST /v1/member", m.handleMembership)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { door.Reply(w, http.StatusOK, m.Status()) })
	return mux
}

// handleMessages takes the messages of another member. They wait in a bounded queue; what finds no room is lost, and repeated.
func (m *Replica) handleMessages(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBody))
	if err != nil {
		door.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	// Members of a council that an operator has begun anew without them would still vote, and overwrite its log.
	if mine, theirs := m.View().State.Epoch, r.Header.Get(epochHeader); mine != 0 && theirs != "0" && theirs != strconv.FormatUint(mine, 10) {
		door.Fail(w, http.StatusGone, fmt.Sprintf("this council is of epoch %d, and the message of %s", mine, theirs))
		return
	}
	if id, err := strconv.ParseUint(r.Header.Get(fromHeader), 16, 64); err == nil {
		m.learnedAddresses.Store(id, r.Header.Get(addressHeader))
	}
	for len(raw) > 0 {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(len(raw)-used) {
			door.Fail(w, http.StatusBadRequest, "the body is cut off")
			return
		}
		msg := new(pb.Message)
		if err := proto.Unmarshal(raw[used:used+int(n)], msg); err != nil {
			door.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		raw = raw[used+int(n):]
		if msg.GetTo() != m.core.ID() {
			door.Fail(w, http.StatusGone, fmt.Sprintf("member %x is not here any more: this is %x; remove the one and add the other", msg.GetTo(), m.core.ID()))
			return
		}
		select {
		case m.inbox <- msg:
		default:
			door.Fail(w, http.StatusServiceUnavailable, "too much waits already")
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func readRequest(w http.ResponseWriter, r *http.Request, to any) bool {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBody)
	return door.Read(w, r, to)
}

func (m *Replica) handlePropose(w http.ResponseWriter, r *http.Request) {
	var e fleet.Entry
	if !readRequest(w, r, &e) {
		return
	}
	switch e.Kind {
	case fleet.KindUpgradeFormat, fleet.KindAnnounceFormat, fleet.KindExpireLease: // the council's own
		door.Fail(w, http.StatusForbidden, fmt.Sprintf("%q is for members alone", e.Kind))
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), proposeTimeout)
	defer stop()
	res, err := m.Propose(ctx, e)
	m.respond(w, res, err)
}

func (m *Replica) respond(w http.ResponseWriter, res fleet.Result, err error) {
	switch {
	case err == nil:
		p := ProposeResponse{Position: res.Position, FencingToken: res.FencingToken}
		if res.Err != nil {
			p.Error = res.Err.Error()
		}
		door.Reply(w, http.StatusOK, p)
	case errors.As(err, new(MembershipError)):
		door.Fail(w, http.StatusConflict, err.Error())
	case errors.Is(err, ErrNoLeader):
		door.Fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		door.Fail(w, http.StatusGatewayTimeout, err.Error())
	}
}

// handleWatch answers a follower: at once where there is something new, else when there is.
func (m *Replica) handleWatch(w http.ResponseWriter, r *http.Request) {
	var q WatchRequest
	if !readRequest(w, r, &q) {
		return
	}
	select {
	case m.watchers <- struct{}{}:
		defer func() { <-m.watchers }()
	default: // it comes again, to another member perhaps
		w.Header().Set("Retry-After", "1")
		door.Fail(w, http.StatusServiceUnavailable, "too many followers wait already")
		return
	}
	end := time.NewTimer(min(q.Wait, maxWatchWait))
	defer end.Stop()
	for over := false; ; {
		m.mu.Lock()
		if q.Name != "" && (len(m.reports) < 10_000 || m.reports[q.Name].Name != "") {
			q.SeenAt = time.Now()
			m.reports[q.Name] = q.AgentReport
		}
		v, news := m.view, m.updated
		m.mu.Unlock()
		same := q.Epoch == v.State.Epoch
		if over || !same || v.NotifyPosition > q.Position {
			door.Reply(w, http.StatusOK, watchResponse(v, q.Position, same))
			return
		}
		select {
		case <-news:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		case <-m.quit:
			door.Fail(w, http.StatusServiceUnavailable, "the member ends")
			return
		}
	}
}

func watchResponse(v View, at fleet.Position, same bool) WatchResponse {
	a := WatchResponse{HasLeader: v.Raft.Lead != 0}
	if !same || at < v.RecentAfter {
		a.State = v.State
		return a
	}
	i, _ := slices.BinarySearch(v.RecentPositions, at+1)
	for ; i < len(v.RecentPositions); i++ {
		a.Entries = append(a.Entries, LogEntry{v.RecentPositions[i], v.RecentEntries[i]})
	}
	return a
}

func (m *Replica) handleMembership(w http.ResponseWriter, r *http.Request) {
	var o MembershipRequest
	if !readRequest(w, r, &o) {
		return
	}
	mem := fleet.Member{Name: o.Name, Address: o.Address, Learner: !o.Remove}
	if o.ID != "" {
		id, err := strconv.ParseUint(o.ID, 16, 64)
		if err != nil || id == 0 {
			door.Fail(w, http.StatusBadRequest, fmt.Sprintf("id: want that of a member, in hexadecimal, got %q", o.ID))
			return
		}
		mem.ID = id
	}
	for id, known := range m.View().State.Members {
		if o.Remove && mem.ID == 0 && known.Name == o.Name {
			mem.ID = id
		}
	}
	if mem.ID == 0 {
		door.Fail(w, http.StatusConflict, fmt.Sprintf("there is no member %q", o.Name))
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), proposeTimeout)
	defer stop()
	res, err := m.ChangeMembership(ctx, mem, o.Remove)
	m.respond(w, res, err)
}

// Status is what the member tells of itself and of the council.
func (m *Replica) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view
	s := Status{Name: m.config.Name, ID: strconv.FormatUint(m.core.ID(), 16), Term: v.Raft.GetTerm(), Position: v.State.Position, State: v.State}
	_, s.IsMember = v.State.Members[m.core.ID()]
	if v.Raft.Lead != 0 {
		s.LeaderID, s.LeaderName = strconv.FormatUint(v.Raft.Lead, 16), v.State.Members[v.Raft.Lead].Name
	} else {
		s.LeaderlessFor = m.config.Clock.Monotonic() - v.LeaderSeen
	}
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		s.Reports = append(s.Reports, m.reports[name])
	}
	return s
}
