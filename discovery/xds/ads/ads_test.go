package ads

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
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

// serves lists the resources in force: the addresses of each cluster.
func serves(m *Machine) map[string]string {
	got := make(map[string]string)
	for name, a := range m.Applied() {
		if a.Assignment == nil {
			got[name] = "none yet"
			continue
		}
		got[name] = strings.Join(addresses(a.Assignment), " ")
	}
	return got
}

func wantServed(t *testing.T, m *Machine, what map[string]string) {
	t.Helper()
	if got := serves(m); !maps.Equal(got, what) {
		t.Errorf("in force: %v, want %v", got, what)
	}
}

// single expects a single request.
func single(t *testing.T, rs []Request) Request {
	t.Helper()
	if len(rs) != 1 {
		t.Fatalf("%d requests: %+v, want one", len(rs), rs)
	}
	return rs[0]
}

func TestMachine_SubscribesAndAcknowledgesSotW(t *testing.T) {
	machine := New(SotW)
	if r := single(
		t,
		machine.Connected(),
	); r.Type != Clusters || !r.IncludeNode || r.Version != "" || r.Nonce != "" ||
		len(r.ResourceNames) != 0 {
		t.Errorf("first request %+v", r)
	}
	rs := machine.HandleResponse(
		t0,
		Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}},
	)
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "a" || rs[0].ErrorDetail != "" || rs[0].IncludeNode ||
		rs[1].Type != Endpoints || rs[1].Nonce != "" || !slices.Equal(rs[1].ResourceNames, []string{"s"}) {
		t.Errorf("after the clusters: %+v", rs)
	}
	wantServed(t, machine, map[string]string{"c": "none yet"})
	if machine.Complete() {
		t.Error("whole without the endpoints")
	}
	r := single(
		t,
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "7", Nonce: "b", Resources: []Resource{endpoints("s", "1", "2")}},
		),
	)
	if r.Version != "7" || r.Nonce != "b" || !slices.Equal(r.ResourceNames, []string{"s"}) {
		t.Errorf("acknowledged by %+v", r)
	}
	wantServed(t, machine, map[string]string{"c": "1 2"})
	if !machine.Complete() {
		t.Error("not whole")
	}
	machine.Disconnected()
	wantServed(t, machine, map[string]string{"c": "1 2"}) // the last good list serves on
	if got := machine.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "late"}); got != nil {
		t.Errorf("answered after the stream's end: %+v", got)
	}
	rs = machine.Connected()
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "" || !rs[0].IncludeNode || rs[1].Version != "7" ||
		rs[1].Nonce != "" ||
		rs[1].IncludeNode {
		t.Errorf("on reconnection: %+v", rs)
	}
}

func TestMachine_SubscribesAndAcknowledgesDelta(t *testing.T) {
	machine := New(Delta)
	single(t, machine.Connected())
	c1, c2 := eds("c1", "s1"), eds("c2", "s2")
	c1.Version, c2.Version = "v1", "v2"
	rs := machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{c1, c2}})
	if len(rs) != 2 || rs[0].Nonce != "a" || !slices.Equal(rs[1].Subscribe, []string{"s1", "s2"}) {
		t.Errorf("after the clusters: %+v", rs)
	}
	e1, e2 := endpoints("s1", "1"), endpoints("s2", "2")
	e1.Version = "w1"
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e1, e2}})
	rs = machine.HandleResponse(
		t0,
		Response{Type: Clusters, Nonce: "c", Resources: []Resource{eds("c3", "s3")}, Removed: []string{"c2"}},
	)
	if len(rs) != 2 || !slices.Equal(rs[1].Subscribe, []string{"s3"}) ||
		!slices.Equal(rs[1].Unsubscribe, []string{"s2"}) {
		t.Errorf("after a change of clusters: %+v", rs)
	}
	wantServed(t, machine, map[string]string{"c1": "1", "c3": "none yet"})
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "d", Removed: []string{"s1"}})
	wantServed(t, machine, map[string]string{"c1": "", "c3": "none yet"})
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "e", Resources: []Resource{e1}})
	machine.Disconnected()
	rs = machine.Connected()
	if len(rs) != 2 || rs[0].InitialVersions["c1"] != "v1" || len(rs[0].InitialVersions) != 2 ||
		rs[1].InitialVersions["s1"] != "w1" ||
		!slices.Equal(rs[1].Subscribe, []string{"s1", "s3"}) {
		t.Errorf("on reconnection: %+v", rs)
	}
}

// A bad resource is rejected and keeps its former version; the good ones beside it are in force.
func TestMachine_NACKsInvalidResources(t *testing.T) {
	for _, variant := range []Variant{SotW, Delta} {
		machine := New(variant)
		machine.Connected()
		machine.HandleResponse(
			t0,
			Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s"), eds("d", "r")}},
		)
		machine.HandleResponse(
			t0,
			Response{
				Type:      Endpoints,
				Version:   "1",
				Nonce:     "b",
				Resources: []Resource{endpoints("s", "1"), endpoints("r", "2")},
			},
		)
		r := single(t, machine.HandleResponse(t0, Response{Type: Endpoints, Version: "2", Nonce: "c", Resources: []Resource{
			{Name: "s", Err: errors.New("port 0")}, endpoints("r", "3"),
		}}))
		if r.ErrorDetail != "port 0" || r.Nonce != "c" || variant == SotW && r.Version != "1" {
			t.Errorf("variant %d: refused by %+v", variant, r)
		}
		wantServed(t, machine, map[string]string{"c": "1", "d": "3"})
		if st := machine.Status(Endpoints); st.Rejected["s"] != "port 0" || st.NACKReason != "port 0" {
			t.Errorf("status %+v", st)
		}
		r = single(
			t,
			machine.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "d", Err: errors.New("not a response")}),
		)
		if r.ErrorDetail != "not a response" {
			t.Errorf("variant %d: a response that can't be read: %+v", variant, r)
		}
		wantServed(t, machine, map[string]string{"c": "1", "d": "3"})
		r = single(
			t,
			machine.HandleResponse(
				t0,
				Response{Type: Endpoints, Version: "3", Nonce: "e", Resources: []Resource{endpoints("s", "4")}},
			),
		)
		if st := machine.Status(Endpoints); r.ErrorDetail != "" || len(st.Rejected) != 0 || st.NACKReason != "" {
			t.Errorf("variant %d: after a good one: %+v, %+v", variant, r, st)
		}
	}
}

// Make before break: a cluster that is replaced by another of its name, or by one of another name, goes
// on serving until the endpoints of the new one are there; an empty list is obeyed.
func TestMachine_MakeBeforeBreak(t *testing.T) {
	for _, variant := range []Variant{SotW, Delta} {
		machine := New(variant)
		machine.Connected()
		machine.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}})
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "1", Nonce: "b", Resources: []Resource{endpoints("s", "1")}},
		)
		machine.HandleResponse(
			t0,
			Response{Type: Clusters, Version: "2", Nonce: "c", Resources: []Resource{eds("c", "s2")}},
		)
		wantServed(t, machine, map[string]string{"c": "1"})
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "2", Nonce: "d", Resources: []Resource{endpoints("s2", "2")}},
		)
		wantServed(t, machine, map[string]string{"c": "2"})
		machine.HandleResponse(
			t0,
			Response{Type: Clusters, Version: "3", Nonce: "e", Resources: []Resource{eds("n", "s3")}, Removed: []string{"c"}},
		)
		wantServed(t, machine, map[string]string{"c": "2", "n": "none yet"})
		if machine.Complete() || !machine.Applied()["c"].PendingRemoval {
			t.Errorf("variant %d: %+v", variant, machine.Applied())
		}
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "3", Nonce: "f", Resources: []Resource{endpoints("s3", "3")}},
		)
		wantServed(t, machine, map[string]string{"n": "3"})
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "4", Nonce: "g", Resources: []Resource{endpoints("s3")}},
		)
		wantServed(t, machine, map[string]string{"n": ""})
		if !machine.Complete() {
			t.Errorf("variant %d: an empty list is a list", variant)
		}
	}
}

// Versions are the control plane's: one that goes back, or comes again with other content, is taken.
func TestMachine_VersionsAreNotCompared(t *testing.T) {
	machine := New(SotW)
	machine.Connected()
	machine.HandleResponse(t0, Response{Type: Clusters, Version: "9", Nonce: "a", Resources: []Resource{eds("c", "s")}})
	for i, version := range []string{"9", "1", "1"} {
		addr := fmt.Sprint(i)
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: version, Nonce: addr, Resources: []Resource{endpoints("s", addr)}},
		)
		wantServed(t, machine, map[string]string{"c": addr})
	}
}

// A resource with a TTL expires unless it is renewed; a heartbeat renews it.
func TestMachine_TTL(t *testing.T) {
	machine := New(Delta)
	machine.Connected()
	machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{eds("c", "s")}})
	e := endpoints("s", "1")
	e.TTL = 10 * time.Second
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e}})
	if changed, next := machine.ExpireResources(
		t0.Add(5 * time.Second),
	); changed ||
		!next.Equal(t0.Add(10*time.Second)) {
		t.Errorf("changed %v, next %v", changed, next)
	}
	machine.HandleResponse(
		t0.Add(6*time.Second),
		Response{Type: Endpoints, Nonce: "c", Resources: []Resource{{Name: "s", TTL: 10 * time.Second}}},
	)
	if changed, _ := machine.ExpireResources(t0.Add(12 * time.Second)); changed {
		t.Error("gone though its heartbeat came")
	}
	wantServed(t, machine, map[string]string{"c": "1"})
	if changed, next := machine.ExpireResources(t0.Add(16 * time.Second)); !changed || !next.IsZero() {
		t.Errorf("changed %v, next %v", changed, next)
	}
	wantServed(t, machine, map[string]string{"c": ""})
}

// A nonce belongs to its stream: a request that follows the clusters on a new one carries none of the
// old one's.
func TestMachine_NoncesEndWithTheirStream(t *testing.T) {
	machine := New(SotW)
	machine.Connected()
	machine.HandleResponse(t0, Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{eds("c", "s")}})
	machine.HandleResponse(t0, Response{
		Type: Endpoints, Version: "1", Nonce: "b",
		Resources: []Resource{endpoints("s", "1")},
	})
	machine.Disconnected()
	machine.Connected()
	rs := machine.HandleResponse(t0, Response{
		Type: Clusters, Version: "2", Nonce: "c",
		Resources: []Resource{eds("c", "s2")},
	})
	if len(rs) != 2 || rs[1].Nonce != "" || rs[1].Version != "1" {
		t.Errorf("on the new stream: %+v", rs)
	}
}

// A resource without subscription is neither applied nor acknowledged.
func TestMachine_IgnoresUnrequestedResponses(t *testing.T) {
	machine := New(SotW)
	if got := machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a"}); got != nil {
		t.Errorf("without a stream: %+v", got)
	}
	machine.Connected()
	if got := machine.HandleResponse(
		t0,
		Response{Type: Endpoints, Nonce: "a", Resources: []Resource{endpoints("s", "1")}},
	); got != nil {
		t.Errorf("endpoints before any cluster: %+v", got)
	}
	machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "b", Resources: []Resource{eds("c", "s")}})
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "c", Resources: []Resource{endpoints("other", "1")}})
	wantServed(t, machine, map[string]string{"c": "none yet"})
}

// plane is a control plane as the specification has it, without a wire: it holds the newest list, and
// what each client was sent and has acknowledged.
type plane struct {
	variant  Variant
	version  int
	clusters map[string]string          // name to service
	addrs    map[string][]string        // by service
	versions map[string]int             // of an assignment
	everSent map[string]map[string]bool // every state that a service was ever in

	// Of the client's stream.
	names    map[string]bool
	known    [NumTypes]map[string]int // versions that the client was sent
	nonce    int
	inFlight []Response
}

func newPlane(v Variant) *plane {
	return &plane{
		variant: v, clusters: make(map[string]string), addrs: make(map[string][]string), versions: make(map[string]int),
		everSent: make(map[string]map[string]bool),
	}
}

func (p *plane) set(service string, addrs []string) {
	p.version++
	p.addrs[service], p.versions[service] = addrs, p.version
	if p.everSent[service] == nil {
		p.everSent[service] = make(map[string]bool)
	}
	p.everSent[service][strings.Join(addrs, " ")] = true
}

// connect begins a stream: messages on their way are lost.
func (p *plane) connect() {
	p.inFlight, p.names = nil, make(map[string]bool)
	p.known = [NumTypes]map[string]int{make(map[string]int), make(map[string]int)}
}

// receive takes a request in.
func (p *plane) receive(r Request) {
	if r.Type == Clusters {
		if r.Nonce == "" {
			p.setKnown(Clusters, r.InitialVersions)
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
		p.setKnown(Endpoints, r.InitialVersions)
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

// setKnown notes the versions that a client says it holds.
func (p *plane) setKnown(t Type, initial map[string]string) {
	for name, text := range initial {
		version, err := strconv.Atoi(text)
		if err != nil {
			panic(err)
		}
		p.known[t][name] = version
	}
}

func (p *plane) enqueue(r Response) {
	p.nonce++
	r.Nonce, r.Version = fmt.Sprint(p.nonce), fmt.Sprint(p.version)
	p.inFlight = append(p.inFlight, r)
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
	p.enqueue(r)
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
		p.enqueue(r)
	}
}

// Random interleavings of changes, losses and reconnections end in the list that the control plane last completed; on
// the way no half of an assignment is ever in force, and clusters with endpoints are not left without any while the
// newest list is incomplete.
func TestMachine_EndsInNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		variant := Variant(rapid.IntRange(0, 1).Draw(t, "variant"))
		run := &modelRun{T: t, plane: newPlane(variant), machine: New(variant), now: t0, services: []string{"s0", "s1", "s2"}}
		for _, service := range run.services {
			run.plane.set(service, []string{service + "-first"})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.now = run.now.Add(time.Second)
			run.step()
		}
		run.connect()
		for n := 0; len(run.plane.inFlight) > 0; n++ {
			if n > 1000 {
				t.Fatal("the two never come to rest")
			}
			run.deliver()
		}
		run.checkAtRest()
	})
}

// modelRun is a machine and the control plane that it subscribes to.
type modelRun struct {
	*rapid.T
	plane     *plane
	machine   *Machine
	now       time.Time
	connected bool
	services  []string
}

// step does one thing at random.
func (r *modelRun) step() {
	switch rapid.IntRange(0, 6).Draw(r.T, "step") {
	case 0:
		r.changeEndpoints()
	case 1:
		r.changeClusters()
	case 2:
		r.machine.Disconnected()
		r.connected = false
		r.plane.inFlight = nil
	case 3:
		r.connect()
	default:
		if r.connected && len(r.plane.inFlight) > 0 {
			r.deliver()
		}
	}
}

func (r *modelRun) changeEndpoints() {
	service := rapid.SampledFrom(r.services).Draw(r.T, "service")
	var addrs []string
	for i := range rapid.IntRange(1, 3).Draw(r.T, "endpoints") {
		addrs = append(addrs, fmt.Sprintf("%s-%d-%d", service, r.plane.version, i))
	}
	r.plane.set(service, addrs)
	if r.connected {
		r.plane.sendEndpoints()
	}
}

func (r *modelRun) changeClusters() {
	r.plane.version++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(r.T, "cluster")
	if rapid.Bool().Draw(r.T, "removed") {
		delete(r.plane.clusters, name)
	} else {
		r.plane.clusters[name] = rapid.SampledFrom(r.services).Draw(r.T, "of")
	}
	if r.connected {
		r.plane.sendClusters()
	}
}

// connect opens a stream where there is none.
func (r *modelRun) connect() {
	if r.connected {
		return
	}
	r.plane.connect()
	r.connected = true
	r.send(r.machine.Connected())
}

func (r *modelRun) send(requests []Request) {
	for _, request := range requests {
		r.plane.receive(request)
	}
}

// deliver passes the next response on, and checks the resources in force then.
func (r *modelRun) deliver() {
	response := r.plane.inFlight[0]
	r.plane.inFlight = r.plane.inFlight[1:]
	before := countEndpoints(r.machine)
	r.send(r.machine.HandleResponse(r.now, response))
	for name, cluster := range r.machine.Applied() {
		if cluster.Assignment == nil {
			continue
		}
		state := strings.Join(addresses(cluster.Assignment), " ")
		if !r.plane.everSent[cluster.Assignment.Name][state] {
			r.Fatalf("cluster %s serves %q of %s, which was never a list", name, state, cluster.Assignment.Name)
		}
	}
	if before > 0 && countEndpoints(r.machine) == 0 && !r.machine.Complete() && !hasAssignment(r.machine) {
		r.Fatalf("nobody is served any more, and the newest list is not complete: %v", serves(r.machine))
	}
}

// hasAssignment reports whether any cluster has an assignment: only an empty one, which is obeyed, may leave nobody.
func hasAssignment(m *Machine) bool {
	for _, cluster := range m.Applied() {
		if cluster.Assignment != nil {
			return true
		}
	}
	return false
}

func countEndpoints(m *Machine) (n int) {
	for _, cluster := range m.Applied() {
		if cluster.Assignment != nil {
			n += len(cluster.Assignment.Endpoints)
		}
	}
	return n
}

func addresses(assignment *resource.Assignment) []string {
	var addrs []string
	for _, endpoint := range assignment.Endpoints {
		addrs = append(addrs, endpoint.Addr)
	}
	return addrs
}

// checkAtRest checks that the resources in force are those of the control plane.
func (r *modelRun) checkAtRest() {
	got := make(map[string]string)
	for name, cluster := range r.machine.Applied() {
		if cluster.Assignment == nil {
			r.Fatalf("cluster %s has nothing at rest", name)
		}
		for _, endpoint := range cluster.Assignment.Endpoints {
			got[name] += endpoint.Addr + " "
		}
	}
	newest := make(map[string]string)
	for name, service := range r.plane.clusters {
		newest[name] = strings.Join(r.plane.addrs[service], " ") + " "
	}
	if !reflect.DeepEqual(got, newest) || !r.machine.Complete() {
		r.Fatalf("at rest %v, complete %v, want %v", got, r.machine.Complete(), newest)
	}
}
