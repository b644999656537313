package council

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

	proposeFor = 5 * time.Second // that a proposal is waited for at most
	mostWait   = 30 * time.Second
	mostCall   = 64 << 10
)

// Question is what a follower asks for.
type Question struct {
	Report
	Wait time.Duration `json:"wait"` // for something new
}

// Answer is what it gets: entries that lead on from where it is, or the whole state.
type Answer struct {
	Entries []Numbered   `json:"entries,omitempty"`
	State   *fleet.State `json:"state,omitempty"`
	Leader  bool         `json:"leader"` // the member has one
}

// Numbered is an entry with its place.
type Numbered struct {
	At  fleet.Position  `json:"at"`
	Raw json.RawMessage `json:"raw"`
}

// Proposed is the answer to a proposal.
type Proposed struct {
	At    fleet.Position     `json:"at,omitempty"`
	Token fleet.FencingToken `json:"token,omitempty"`
	Error string             `json:"error,omitempty"` // as the state has it
}

// Status is what a member tells of the council.
type Status struct {
	Name      string         `json:"name"`
	ID        string         `json:"id"`
	Member    bool           `json:"member"` // it has been added
	Leader    string         `json:"leader"` // id; empty: there is none
	LeaderNow string         `json:"leader_name"`
	Silent    time.Duration  `json:"silent"` // since there was a leader
	Term      uint64         `json:"term"`
	At        fleet.Position `json:"at"`
	State     *fleet.State   `json:"state"`
	Reports   []Report       `json:"reports"`
}

// MemberOrder is the body of a change of the council.
type MemberOrder struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
	ID      string `json:"id,omitempty"` // of its disk, in hexadecimal
	Remove  bool   `json:"remove,omitempty"`
}

// Handler answers members, followers and operators. Who bears no token is refused by whoever wraps it.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log", m.takeLog)
	mux.HandleFunc("POST /v1/propose", m.takeProposal)
	mux.HandleFunc("POST /v1/state", m.takeQuestion)
	mux.HandleFunc("POST /v1/member", m.takeMember)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { door.Reply(w, http.StatusOK, m.Status()) })
	return mux
}

// takeLog takes the messages of another member. They wait in a bounded queue; what finds no room is lost, and repeated.
func (m *Member) takeLog(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
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
		m.addrs.Store(id, r.Header.Get(addressHeader))
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

func readBody(w http.ResponseWriter, r *http.Request, to any) bool {
	r.Body = http.MaxBytesReader(w, r.Body, mostCall)
	return door.Read(w, r, to)
}

func (m *Member) takeProposal(w http.ResponseWriter, r *http.Request) {
	var e fleet.Entry
	if !readBody(w, r, &e) {
		return
	}
	switch e.Kind {
	case fleet.KindUpgradeFormat, fleet.KindAnnounceFormat, fleet.KindExpireLease: // the council's own
		door.Fail(w, http.StatusForbidden, fmt.Sprintf("%q is for members alone", e.Kind))
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), proposeFor)
	defer stop()
	res, err := m.Propose(ctx, e)
	m.answer(w, res, err)
}

func (m *Member) answer(w http.ResponseWriter, res fleet.Result, err error) {
	switch {
	case err == nil:
		p := Proposed{At: res.Position, Token: res.FencingToken}
		if res.Err != nil {
			p.Error = res.Err.Error()
		}
		door.Reply(w, http.StatusOK, p)
	case errors.As(err, new(ErrChange)):
		door.Fail(w, http.StatusConflict, err.Error())
	case errors.Is(err, ErrNoLeader):
		door.Fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		door.Fail(w, http.StatusGatewayTimeout, err.Error())
	}
}

// takeQuestion answers a follower: at once where there is something new, else when there is.
func (m *Member) takeQuestion(w http.ResponseWriter, r *http.Request) {
	var q Question
	if !readBody(w, r, &q) {
		return
	}
	select {
	case m.watch <- struct{}{}:
		defer func() { <-m.watch }()
	default: // it comes again, to another member perhaps
		w.Header().Set("Retry-After", "1")
		door.Fail(w, http.StatusServiceUnavailable, "too many followers wait already")
		return
	}
	end := time.NewTimer(min(q.Wait, mostWait))
	defer end.Stop()
	for over := false; ; {
		m.mu.Lock()
		if q.Name != "" && (len(m.reports) < 10_000 || m.reports[q.Name].Name != "") {
			q.Seen = time.Now()
			m.reports[q.Name] = q.Report
		}
		v, news := m.view, m.news
		m.mu.Unlock()
		same := q.Epoch == v.State.Epoch
		if over || !same || v.Loud > q.At {
			door.Reply(w, http.StatusOK, answerTo(v, q.At, same))
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

func answerTo(v View, at fleet.Position, same bool) Answer {
	a := Answer{Leader: v.Raft.Lead != 0}
	if !same || at < v.From {
		a.State = v.State
		return a
	}
	i, _ := slices.BinarySearch(v.Ring, at+1)
	for ; i < len(v.Ring); i++ {
		a.Entries = append(a.Entries, Numbered{v.Ring[i], v.Raw[i]})
	}
	return a
}

func (m *Member) takeMember(w http.ResponseWriter, r *http.Request) {
	var o MemberOrder
	if !readBody(w, r, &o) {
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
	ctx, stop := context.WithTimeout(r.Context(), proposeFor)
	defer stop()
	res, err := m.Change(ctx, mem, o.Remove)
	m.answer(w, res, err)
}

// Status is what the member tells of itself and of the council.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view
	s := Status{Name: m.c.Name, ID: strconv.FormatUint(m.core.ID(), 16), Term: v.Raft.GetTerm(), At: v.State.Position, State: v.State}
	_, s.Member = v.State.Members[m.core.ID()]
	if v.Raft.Lead != 0 {
		s.Leader, s.LeaderNow = strconv.FormatUint(v.Raft.Lead, 16), v.State.Members[v.Raft.Lead].Name
	} else {
		s.Silent = m.c.Clock.Mono() - v.Heard
	}
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		s.Reports = append(s.Reports, m.reports[name])
	}
	return s
}
