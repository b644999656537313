package realtime

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
)

// server is one machine, with an address for each node, by which it knows who sends.
type server struct {
	w     *world
	spec  *plan.Server
	index int

	mu    sync.Mutex
	id    string
	addrs []string // by node
	host  *servermodel.Server
	faces []interface{ Close() }
	life  int
	fell  bool
	began int64 // Unix time in milliseconds; 0: long ago
}

// start runs a process, cold unless it is the first. The addresses stay the same.
func (s *server) start(id string, warm bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.spec.Config
	if warm {
		c.WarmUp = model.WarmUp{}
	} else {
		s.began = time.Now().UnixMilli()
		if c.WarmUp.InitialCapacity > 0 && c.WarmUp.Duration > 0 {
			s.w.court.started()
		}
	}
	s.id, s.fell, s.life = id, false, s.life+1
	s.host = servermodel.StartObserved(c, &group{s.w, s.spec}, func(e model.Execution) {
		id, _, _ := strings.Cut(e.ID, "/")
		s.w.court.ran(s.id, id, e.Discarded)
	})
	s.faces = nil
	for n := range s.w.p.Nodes {
		addr := fmt.Sprintf("127.%d.%d.%d:0", 20+n, s.index/200, s.index%200+1)
		if len(s.addrs) > n {
			addr = s.addrs[n]
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		if len(s.addrs) == n {
			s.addrs = append(s.addrs, ln.Addr().String())
		}
		way := s.w.p.Script.Network.SameZoneDelay
		if s.w.p.Nodes[n].Zone != s.spec.Zone {
			way = s.w.p.Script.Network.CrossZoneDelay
		}
		o := serverprotocol.Options{Behavior: s.treat(n, way), OnRejected: func(id string) { s.w.court.proved(n, id) }, LoadFields: s.w.p.Script.LoadFields}
		if s.spec.SpeaksMsgpack {
			s.faces = append(s.faces, serverprotocol.ServeMsgpackWithOptions(ln, s.host, o))
		} else {
			s.faces = append(s.faces, serverprotocol.ServeHTTP1WithOptions(ln, s.host, o))
		}
	}
	return nil
}

// crash ends the process; its connections are reset, and new ones refused.
func (s *server) crash() {
	s.mu.Lock()
	faces, h := s.faces, s.host
	s.faces, s.host = nil, nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	h.Stop()
	for _, f := range faces {
		f.Close()
	}
}

// look sees whether the process has fallen over, and ends what is left of it.
func (s *server) look() {
	s.mu.Lock()
	h, id := s.host, s.id
	s.mu.Unlock()
	if h == nil {
		return
	}
	pushed := h.OverloadingRequests()
	if len(pushed) == 0 {
		return
	}
	for i := range pushed {
		pushed[i], _, _ = strings.Cut(pushed[i], "/")
	}
	s.w.court.fell(id, pushed)
	s.crash()
	s.w.heard(s, "removed")
}

// treat says what becomes of the requests of one node.
func (s *server) treat(n int, way time.Duration) serverprotocol.BehaviorFunc {
	return func(_, id string) serverprotocol.Behavior {
		w := s.w
		s.mu.Lock()
		server := s.id
		s.mu.Unlock()
		q, attempt := w.court.sent(n, id, server, w.p.Nodes[n].Zone != s.spec.Zone)
		t := serverprotocol.Behavior{ID: fmt.Sprintf("%s/%d", id, attempt), NetworkDelay: way}
		if q == nil { // the judge has heard of it
			return t
		}
		t.Work = q.work
		if q.Key != "" {
			t.Key = w.p.Script.Classes[q.Class].Name + "\x00" + q.Key
		}
		now := w.now()
		for i := range w.p.Faults {
			f := &w.p.Faults[i]
			if now < f.At || now >= f.End() {
				continue
			}
			if f.Kind == script.FaultZoneCut && (f.Zone == s.spec.Zone) != (f.Zone == w.p.Nodes[n].Zone) {
				t.Hang = true
				w.court.met(q, i)
				continue
			}
			if !slices.Contains(f.Servers, s.index) {
				continue
			}
			part := f.Fraction == 0 || w.p.Chance(f.Kind+f.Label(), t.ID) < f.Fraction
			if !part {
				continue
			}
			switch f.Kind {
			case script.FaultFastErrors:
				t.Fail, t.Work = true, 0
			case script.FaultHung, script.FaultSilent:
				t.Hang = true
			case script.FaultSlow:
				t.Work *= f.Factor
			case script.FaultReset:
				t.Reset = true
			case script.FaultHalfAnswer:
				t.Truncate = true
			case script.FaultGarbled:
				t.Malform = true
			default:
				continue
			}
			w.court.met(q, i)
		}
		if s.spec.ErrorRate > 0 && w.p.Chance("errors"+s.spec.ID, t.ID) < s.spec.ErrorRate {
			t.Fail, t.Work = true, 0
		}
		w.court.work(q, t.Work)
		return t
	}
}

// entry is what discovery tells a node of the server.
func (s *server) entry(node int, phase string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Entry{ID: s.id, HostPort: s.addrs[node], Locality: s.spec.Zone, Flavor: s.spec.Kind, Cell: s.spec.Cell, Phase: phase, Size: s.spec.Weight, UpSince: s.began}
}

// group is how one server looks repeats up: in the table of the group that it shares for the key's class.
type group struct {
	w    *world
	spec *plan.Server
}

// Repeat tells whether a key was there within its class's window.
func (g *group) IsDuplicate(key string, _ time.Duration) bool {
	class, key, _ := strings.Cut(key, "\x00")
	scope, window := g.w.p.DedupTable(class, g.spec)
	g.w.keysMu.Lock()
	defer g.w.keysMu.Unlock()
	t := g.w.keys[scope]
	if t == nil {
		t = &model.KeyTable{Window: window}
		g.w.keys[scope] = t
	}
	return t.IsDuplicate(key, g.w.now())
}
