package ads

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cobaltward/discovery/xds/resource"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

func eds(name, service string) Resource {
	return Resource{Name: name, Value: &resource.Cluster{Name: name, EDS: true, ServiceName: service}}
}

func endpoints(name string, addrs ...string) Resource {
	a := &resource.Assignment{Name: name}
	for _, addr := range addrs {
		a.Endpoints = append(a.Endpoints, resource.Endpoint{Addr: addr})
	}
	return Resource{Name: name, Value: a}
}

// serves lists what is in force: the addresses of each cluster.
func serves(m *Machine) map[string]string {
	got := make(map[string]string)
	for name, a := range m.Applied() {
		if a.Assignment == nil {
			got[name] = "none yet"
			continue
		}
		var addrs []string
		for _, e := range a.Assignment.Endpoints {
			addrs = append(addrs, e.Addr)
		}
		got[name] = strings.Join(addrs, " ")
	}
	return got
}

func want(t *testing.T, m *Machine, what map[string]string) {
	t.Helper()
	if got := serves(m); !maps.Equal(got, what) {
		t.Errorf("in force: %v, want %v", got, what)
	}
}

// one expects a single request.
func one(t *testing.T, rs []Request) Request {
	t.Helper()
	if len(rs) != 1 {
		t.Fatalf("%d requests: %+v, want one", len(rs), rs)
	}
	return rs[0]
}

func TestSubscribesAndAcknowledgesSotW(t *testing.T) {
	m := New(SotW)
	if r := one(t, m.Connected()); r.Type != Clusters || !r.IncludeNode || r.Version != "" || r.Nonce != "" || len(r.ResourceNames) != 0 {
		t.Errorf("first request %+v", r)
	}
	rs := m.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}})
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "a" || rs[0].ErrorDetail != "" || rs[0].IncludeNode ||
		rs[1].Type != Endpoints || rs[1].Nonce != "" || !slices.Equal(rs[1].ResourceNames, []string{"s"}) {
		t.Errorf("after the clusters: %+v", rs)
	}
	want(t, m, map[string]string{"c": "none yet"})
	if m.Complete() {
		t.Error("whole without the endpoints")
	}
	r := one(t, m.HandleResponse(t0, Response{Type: Endpoints, Version: "7", Nonce: "b", Resources: []Resource{endpoints("s", "1", "2")}}))
	if r.Version != "7" || r.Nonce != "b" || !slices.Equal(r.ResourceNames, []string{"s"}) {
		t.Errorf("acknowledged by %+v", r)
	}
	want(t, m, map[string]string{"c": "1 2"})
	if !m.Complete() {
		t.Error("not whole")
	}
	m.Disconnected()
	want(t, m, map[string]string{"c": "1 2"}) // the last good list serves on
	if got := m.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "late"}); got != nil {
		t.Errorf("answered after the stream's end: %+v", got)
	}
	rs = m.Connected()
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "" || !rs[0].IncludeNode || rs[1].Version != "7" || rs[1].Nonce != "" || rs[1].IncludeNode {
		t.Errorf("on reconnection: %+v", rs)
	}
}

func TestSubscribesAndAcknowledgesDelta(t *testing.T) {
	m := New(Delta)
	one(t, m.Connected())
	c1, c2 := eds("c1", "s1"), eds("c2", "s2")
	c1.Version, c2.Version = "v1", "v2"
	rs := m.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{c1, c2}})
	if len(rs) != 2 || rs[0].Nonce != "a" || !slices.Equal(rs[1].Subscribe, []string{"s1", "s2"}) {
		t.Errorf("after the clusters: %+v", rs)
	}
	e1, e2 := endpoints("s1", "1"), endpoints("s2", "2")
	e1.Version = "w1"
	m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e1, e2}})
	rs = m.HandleResponse(t0, Response{Type: Clusters, Nonce: "c", Resources: []Resource{eds("c3", "s3")}, Removed: []string{"c2"}})
	if len(rs) != 2 || !slices.Equal(rs[1].Subscribe, []string{"s3"}) || !slices.Equal(rs[1].Unsubscribe, []string{"s2"}) {
		t.Errorf("after a change of clusters: %+v", rs)
	}
	want(t, m, map[string]string{"c1": "1", "c3": "none yet"})
	m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "d", Removed: []string{"s1"}})
	want(t, m, map[string]string{"c1": "", "c3": "none yet"})
	m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "e", Resources: []Resource{e1}})
	m.Disconnected()
	rs = m.Connected()
	if len(rs) != 2 || rs[0].InitialVersions["c1"] != "v1" || len(rs[0].InitialVersions) != 2 || rs[1].InitialVersions["s1"] != "w1" ||
		!slices.Equal(rs[1].Subscribe, []string{"s1", "s3"}) {
		t.Errorf("on reconnection: %+v", rs)
	}
}

// A bad resource is refused and keeps what it was; the good ones beside it are in force.
func TestRefusesWithTheReason(t *testing.T) {
	for _, v := range []Variant{SotW, Delta} {
		m := New(v)
		m.Connected()
		m.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s"), eds("d", "r")}})
		m.HandleResponse(t0, Response{Type: Endpoints, Version: "1", Nonce: "b", Resources: []Resource{endpoints("s", "1"), endpoints("r", "2")}})
		r := one(t, m.HandleResponse(t0, Response{Type: Endpoints, Version: "2", Nonce: "c", Resources: []Resource{
			{Name: "s", Err: errors.New("port 0")}, endpoints("r", "3"),
		}}))
		if r.ErrorDetail != "port 0" || r.Nonce != "c" || v == SotW && r.Version != "1" {
			t.Errorf("variant %d: refused by %+v", v, r)
		}
		want(t, m, map[string]string{"c": "1", "d": "3"})
		if st := m.Status(Endpoints); st.Rejected["s"] != "port 0" || st.NACKReason != "port 0" {
			t.Errorf("status %+v", st)
		}
		r = one(t, m.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "d", Err: errors.New("not a response")}))
		if r.ErrorDetail != "not a response" {
			t.Errorf("variant %d: a response that can't be read: %+v", v, r)
		}
		want(t, m, map[string]string{"c": "1", "d": "3"})
		r = one(t, m.HandleResponse(t0, Response{Type: Endpoints, Version: "3", Nonce: "e", Resources: []Resource{endpoints("s", "4")}}))
		if st := m.Status(Endpoints); r.ErrorDetail != "" || len(st.Rejected) != 0 || st.NACKReason != "" {
			t.Errorf("variant %d: after a good one: %+v, %+v", v, r, st)
		}
	}
}

// Make before break: a cluster that is replaced by another of its name, or by one of another name, goes
// on serving until the endpoints of the new one are there; an empty list is obeyed.
func TestMakeBeforeBreak(t *testing.T) {
	for _, v := range []Variant{SotW, Delta} {
		m := New(v)
		m.Connected()
		m.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}})
		m.HandleResponse(t0, Response{Type: Endpoints, Version: "1", Nonce: "b", Resources: []Resource{endpoints("s", "1")}})
		m.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "c", Resources: []Resource{eds("c", "s2")}})
		want(t, m, map[string]string{"c": "1"})
		m.HandleResponse(t0, Response{Type: Endpoints, Version: "2", Nonce: "d", Resources: []Resource{endpoints("s2", "2")}})
		want(t, m, map[string]string{"c": "2"})
		m.HandleResponse(t0, Response{Type: Clusters, Version: "3", Nonce: "e", Resources: []Resource{eds("n", "s3")}, Removed: []string{"c"}})
		want(t, m, map[string]string{"c": "2", "n": "none yet"})
		if m.Complete() || !m.Applied()["c"].PendingRemoval {
			t.Errorf("variant %d: %+v", v, m.Applied())
		}
		m.HandleResponse(t0, Response{Type: Endpoints, Version: "3", Nonce: "f", Resources: []Resource{endpoints("s3", "3")}})
		want(t, m, map[string]string{"n": "3"})
		m.HandleResponse(t0, Response{Type: Endpoints, Version: "4", Nonce: "g", Resources: []Resource{endpoints("s3")}})
		want(t, m, map[string]string{"n": ""})
		if !m.Complete() {
			t.Errorf("variant %d: an empty list is a list", v)
		}
	}
}

// Versions are the control plane's: one that goes back, or comes again with other content, is taken.
func TestVersionsAreNotCompared(t *testing.T) {
	m := New(SotW)
	m.Connected()
	m.HandleResponse(t0, Response{Type: Clusters, Version: "9", Nonce: "a", Resources: []Resource{eds("c", "s")}})
	for i, version := range []string{"9", "1", "1"} {
		addr := fmt.Sprint(i)
		m.HandleResponse(t0, Response{Type: Endpoints, Version: version, Nonce: addr, Resources: []Resource{endpoints("s", addr)}})
		want(t, m, map[string]string{"c": addr})
	}
}

// What has a TTL goes when it is not renewed; a heartbeat renews it.
func TestTTL(t *testing.T) {
	m := New(Delta)
	m.Connected()
	m.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{eds("c", "s")}})
	e := endpoints("s", "1")
	e.TTL = 10 * time.Second
	m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e}})
	if changed, next := m.ExpireResources(t0.Add(5 * time.Second)); changed || !next.Equal(t0.Add(10*time.Second)) {
		t.Errorf("changed %v, next %v", changed, next)
	}
	m.HandleResponse(t0.Add(6*time.Second), Response{Type: Endpoints, Nonce: "c", Resources: []Resource{{Name: "s", TTL: 10 * time.Second}}})
	if changed, _ := m.ExpireResources(t0.Add(12 * time.Second)); changed {
		t.Error("gone though its heartbeat came")
	}
	want(t, m, map[string]string{"c": "1"})
	if changed, next := m.ExpireResources(t0.Add(16 * time.Second)); !changed || !next.IsZero() {
		t.Errorf("changed %v, next %v", changed, next)
	}
	want(t, m, map[string]string{"c": ""})
}

// A nonce belongs to its stream: a request that follows the clusters on a new one carries none of the
// old one's.
func TestNoncesEndWithTheirStream(t *testing.T) {
	m := New(SotW)
	m.Connected()
	m.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}})
	m.HandleResponse(t0, Response{Type: Endpoints, Version: "1", Nonce: "b", Resources: []Resource{endpoints("s", "1")}})
	m.Disconnected()
	m.Connected()
	rs := m.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "c", Resources: []Resource{eds("c", "s2")}})
	if len(rs) != 2 || rs[1].Nonce != "" || rs[1].Version != "1" {
		t.Errorf("on the new stream: %+v", rs)
	}
}

// What nobody asked for is neither taken nor answered.
func TestUnaskedResponses(t *testing.T) {
	m := New(SotW)
	if got := m.HandleResponse(t0, Response{Type: Clusters, Nonce: "a"}); got != nil {
		t.Errorf("without a stream: %+v", got)
	}
	m.Connected()
	if got := m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "a", Resources: []Resource{endpoints("s", "1")}}); got != nil {
		t.Errorf("endpoints before any cluster: %+v", got)
	}
	m.HandleResponse(t0, Response{Type: Clusters, Nonce: "b", Resources: []Resource{eds("c", "s")}})
	m.HandleResponse(t0, Response{Type: Endpoints, Nonce: "c", Resources: []Resource{endpoints("other", "1")}})
	want(t, m, map[string]string{"c": "none yet"})
}

// plane is a control plane as the specification has it, without a wire: it holds the newest list, and
// what each client was sent and has acknowledged.
type plane struct {
	variant  Variant
	version  int
	clusters map[string]string          // name to service
	addrs    map[string][]string        // by service
	versions map[string]int             // of an assignment
	sentAll  map[string]map[string]bool // every state that a service was ever in

	// Of the client's stream.
	names  map[string]bool
	known  [NumTypes]map[string]int // versions that the client was sent
	nonce  int
	inWire []Response
}

func newPlane(v Variant) *plane {
	return &plane{
		variant: v, clusters: make(map[string]string), addrs: make(map[string][]string), versions: make(map[string]int),
		sentAll: make(map[string]map[string]bool),
	}
}

func (p *plane) set(service string, addrs []string) {
	p.version++
	p.addrs[service], p.versions[service] = addrs, p.version
	if p.sentAll[service] == nil {
		p.sentAll[service] = make(map[string]bool)
	}
	p.sentAll[service][strings.Join(addrs, " ")] = true
}

// connect begins a stream: what was on its way is lost.
func (p *plane) connect() {
	p.inWire, p.names = nil, make(map[string]bool)
	p.known = [NumTypes]map[string]int{make(map[string]int), make(map[string]int)}
}

// hear takes a request in.
func (p *plane) hear(r Request) {
	if r.Type == Clusters {
		if r.Nonce == "" {
			for name, v := range r.InitialVersions {
				fmt.Sscan(v, ptr(p.known[Clusters], name))
			}
			p.sendClusters()
		}
		return
	}
	if p.variant == SotW {
		clear(p.names)
		for _, n := range r.ResourceNames {
			p.names[n] = true
		}
		maps.DeleteFunc(p.known[Endpoints], func(n string, _ int) bool { return !p.names[n] })
	} else {
		for name, v := range r.InitialVersions {
			fmt.Sscan(v, ptr(p.known[Endpoints], name))
		}
		for _, n := range r.Unsubscribe {
			delete(p.names, n)
			delete(p.known[Endpoints], n)
		}
		for _, n := range r.Subscribe {
			p.names[n] = true
		}
	}
	p.sendEndpoints()
}

// ptr lets Sscan write into a map.
func ptr(m map[string]int, key string) scanner { return scanner{m, key} }

type scanner struct {
	m   map[string]int
	key string
}

func (s scanner) Scan(st fmt.ScanState, _ rune) error {
	var v int
	_, err := fmt.Fscan(st, &v)
	s.m[s.key] = v
	return err
}

func (p *plane) post(r Response) {
	p.nonce++
	r.Nonce, r.Version = fmt.Sprint(p.nonce), fmt.Sprint(p.version)
	p.inWire = append(p.inWire, r)
}

func (p *plane) sendClusters() {
	r := Response{Type: Clusters}
	for _, name := range slices.Sorted(maps.Keys(p.clusters)) {
		c := eds(name, p.clusters[name])
		c.Version = fmt.Sprint(p.version)
		r.Resources = append(r.Resources, c)
	}
	if p.variant == Delta {
		for name := range p.known[Clusters] {
			if _, ok := p.clusters[name]; !ok {
				r.Removed = append(r.Removed, name)
				delete(p.known[Clusters], name)
			}
		}
		for name := range p.clusters {
			p.known[Clusters][name] = p.version
		}
	}
	p.post(r)
}

func (p *plane) sendEndpoints() {
	r := Response{Type: Endpoints}
	for _, n := range slices.Sorted(maps.Keys(p.names)) {
		addrs, ok := p.addrs[n]
		switch {
		case ok && p.known[Endpoints][n] != p.versions[n]:
			e := endpoints(n, addrs...)
			e.Version = fmt.Sprint(p.versions[n])
			r.Resources = append(r.Resources, e)
			p.known[Endpoints][n] = p.versions[n]
		case !ok && p.variant == Delta && p.known[Endpoints][n] != -1:
			r.Removed = append(r.Removed, n)
			p.known[Endpoints][n] = -1
		}
	}
	if len(r.Resources)+len(r.Removed) > 0 {
		p.post(r)
	}
}

// Random interleavings of changes, losses and reconnections end in the list that the control plane last
// made whole; on the way no half of an assignment is ever in force, and nobody who was served is left
// without servers while the newest list is not whole.
func TestEndsInTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Variant(rapid.IntRange(0, 1).Draw(t, "variant"))
		p, m := newPlane(v), New(v)
		services := []string{"s0", "s1", "s2"}
		for _, s := range services {
			p.set(s, []string{s + "-first"})
		}
		now, connected := t0, false
		hear := func(rs []Request) {
			for _, r := range rs {
				p.hear(r)
			}
		}
		deliver := func() {
			r := p.inWire[0]
			p.inWire = p.inWire[1:]
			before, some := m.Applied(), 0
			for _, a := range before {
				if a.Assignment != nil {
					some += len(a.Assignment.Endpoints)
				}
			}
			hear(m.HandleResponse(now, r))
			after := 0
			for name, a := range m.Applied() {
				if a.Assignment == nil {
					continue
				}
				after += len(a.Assignment.Endpoints)
				var addrs []string
				for _, e := range a.Assignment.Endpoints {
					addrs = append(addrs, e.Addr)
				}
				if state := strings.Join(addrs, " "); !p.sentAll[a.Assignment.Name][state] {
					t.Fatalf("cluster %s serves %q of %s, which was never a list", name, state, a.Assignment.Name)
				}
			}
			if some > 0 && after == 0 && !m.Complete() {
				// Only an empty list of endpoints, which is obeyed, may leave nobody.
				for _, a := range m.Applied() {
					if a.Assignment != nil {
						return
					}
				}
				t.Fatalf("nobody is served any more, and the newest list is not whole: %v", serves(m))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0: // endpoints change
				s := rapid.SampledFrom(services).Draw(t, "service")
				var addrs []string
				for i := range rapid.IntRange(1, 3).Draw(t, "endpoints") {
					addrs = append(addrs, fmt.Sprintf("%s-%d-%d", s, p.version, i))
				}
				p.set(s, addrs)
				if connected {
					p.sendEndpoints()
				}
			case 1: // clusters change
				p.version++
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cluster")
				if rapid.Bool().Draw(t, "removed") {
					delete(p.clusters, name)
				} else {
					p.clusters[name] = rapid.SampledFrom(services).Draw(t, "of")
				}
				if connected {
					p.sendClusters()
				}
			case 2:
				m.Disconnected()
				connected = false
				p.inWire = nil
			case 3:
				if !connected {
					p.connect()
					connected = true
					hear(m.Connected())
				}
			default:
				if connected && len(p.inWire) > 0 {
					deliver()
				}
			}
		}
		if !connected {
			p.connect()
			hear(m.Connected())
		}
		for n := 0; len(p.inWire) > 0; n++ {
			if n > 1000 {
				t.Fatal("the two never come to rest")
			}
			deliver()
		}
		got := make(map[string]string)
		for name, a := range m.Applied() {
			if a.Assignment == nil {
				t.Fatalf("cluster %s has nothing at rest", name)
			}
			for _, e := range a.Assignment.Endpoints {
				got[name] += e.Addr + " "
			}
		}
		newest := make(map[string]string)
		for name, service := range p.clusters {
			newest[name] = strings.Join(p.addrs[service], " ") + " "
		}
		if !reflect.DeepEqual(got, newest) || !m.Complete() {
			t.Fatalf("at rest %v, whole %v, want %v", got, m.Complete(), newest)
		}
	})
}
