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

func edsCluster(name, service string) Resource {
	return Resource{Name: name, Value: &resource.Cluster{Name: name, EDS: true, ServiceName: service}}
}

func assignmentResource(name string, addrs ...string) Resource {
	a := &resource.Assignment{Name: name}
	for _, addr := range addrs {
		a.Endpoints = append(a.Endpoints, resource.Endpoint{Addr: addr})
	}
	return Resource{Name: name, Value: a}
}

// appliedAddresses returns the addresses in effect for each cluster, separated by spaces.
func appliedAddresses(m *Machine) map[string]string {
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

func assertApplied(t *testing.T, m *Machine, want map[string]string) {
	t.Helper()
	if got := appliedAddresses(m); !maps.Equal(got, want) {
		t.Errorf("clusters in effect: %v, want %v", got, want)
	}
}

// singleRequest fails the test unless there is exactly one request, and returns that request.
func singleRequest(t *testing.T, rs []Request) Request {
	t.Helper()
	if len(rs) != 1 {
		t.Fatalf("got %d requests: %+v, want one", len(rs), rs)
	}
	return rs[0]
}

func TestMachine_SubscribesAndAcknowledgesSotW(t *testing.T) {
	machine := New(SotW)
	if r := singleRequest(
		t,
		machine.Connected(),
	); r.Type != Clusters || !r.IncludeNode || r.Version != "" || r.Nonce != "" ||
		len(r.ResourceNames) != 0 {
		t.Errorf("unexpected first request %+v", r)
	}
	rs := machine.HandleResponse(
		t0,
		Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{edsCluster("c", "s")}},
	)
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "a" || rs[0].ErrorDetail != "" || rs[0].IncludeNode ||
		rs[1].Type != Endpoints || rs[1].Nonce != "" || !slices.Equal(rs[1].ResourceNames, []string{"s"}) {
		t.Errorf("unexpected requests in answer to the clusters: %+v", rs)
	}
	assertApplied(t, machine, map[string]string{"c": "none yet"})
	if machine.Complete() {
		t.Error("the list is complete without the endpoints")
	}
	r := singleRequest(
		t,
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "7", Nonce: "b", Resources: []Resource{assignmentResource("s", "1", "2")}},
		),
	)
	if r.Version != "7" || r.Nonce != "b" || !slices.Equal(r.ResourceNames, []string{"s"}) {
		t.Errorf("unexpected ACK %+v", r)
	}
	assertApplied(t, machine, map[string]string{"c": "1 2"})
	if !machine.Complete() {
		t.Error("the list is not complete although all endpoints were received")
	}
	machine.Disconnected()
	assertApplied(t, machine, map[string]string{"c": "1 2"}) // the last complete list stays in effect
	if got := machine.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "late"}); got != nil {
		t.Errorf("a response after the end of the stream was answered: %+v", got)
	}
	rs = machine.Connected()
	if len(rs) != 2 || rs[0].Version != "1" || rs[0].Nonce != "" || !rs[0].IncludeNode || rs[1].Version != "7" ||
		rs[1].Nonce != "" ||
		rs[1].IncludeNode {
		t.Errorf("unexpected requests on reconnection: %+v", rs)
	}
}

func TestMachine_SubscribesAndAcknowledgesDelta(t *testing.T) {
	machine := New(Delta)
	singleRequest(t, machine.Connected())
	c1, c2 := edsCluster("c1", "s1"), edsCluster("c2", "s2")
	c1.Version, c2.Version = "v1", "v2"
	rs := machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{c1, c2}})
	if len(rs) != 2 || rs[0].Nonce != "a" || !slices.Equal(rs[1].Subscribe, []string{"s1", "s2"}) {
		t.Errorf("unexpected requests in answer to the clusters: %+v", rs)
	}
	e1, e2 := assignmentResource("s1", "1"), assignmentResource("s2", "2")
	e1.Version = "w1"
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e1, e2}})
	rs = machine.HandleResponse(
		t0,
		Response{Type: Clusters, Nonce: "c", Resources: []Resource{edsCluster("c3", "s3")}, Removed: []string{"c2"}},
	)
	if len(rs) != 2 || !slices.Equal(rs[1].Subscribe, []string{"s3"}) ||
		!slices.Equal(rs[1].Unsubscribe, []string{"s2"}) {
		t.Errorf("unexpected requests after a change of the clusters: %+v", rs)
	}
	assertApplied(t, machine, map[string]string{"c1": "1", "c3": "none yet"})
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "d", Removed: []string{"s1"}})
	assertApplied(t, machine, map[string]string{"c1": "", "c3": "none yet"})
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "e", Resources: []Resource{e1}})
	machine.Disconnected()
	rs = machine.Connected()
	if len(rs) != 2 || rs[0].InitialVersions["c1"] != "v1" || len(rs[0].InitialVersions) != 2 ||
		rs[1].InitialVersions["s1"] != "w1" ||
		!slices.Equal(rs[1].Subscribe, []string{"s1", "s3"}) {
		t.Errorf("unexpected requests on reconnection: %+v", rs)
	}
}

// TestMachine_NACKsInvalidResources checks that an invalid resource is rejected and keeps its former version. The
// valid resources in the same response must take effect.
func TestMachine_NACKsInvalidResources(t *testing.T) {
	for _, variant := range []Variant{SotW, Delta} {
		machine := New(variant)
		machine.Connected()
		machine.HandleResponse(
			t0,
			Response{
				Type:      Clusters,
				Version:   "1",
				Nonce:     "a",
				Resources: []Resource{edsCluster("c", "s"), edsCluster("d", "r")},
			},
		)
		machine.HandleResponse(
			t0,
			Response{
				Type:      Endpoints,
				Version:   "1",
				Nonce:     "b",
				Resources: []Resource{assignmentResource("s", "1"), assignmentResource("r", "2")},
			},
		)
		r := singleRequest(t, machine.HandleResponse(t0, Response{
			Type: Endpoints, Version: "2", Nonce: "c",
			Resources: []Resource{{Name: "s", Err: errors.New("port 0")}, assignmentResource("r", "3")},
		}))
		if r.ErrorDetail != "port 0" || r.Nonce != "c" || variant == SotW && r.Version != "1" {
			t.Errorf("variant %d: unexpected NACK %+v", variant, r)
		}
		assertApplied(t, machine, map[string]string{"c": "1", "d": "3"})
		if st := machine.Status(Endpoints); st.Rejected["s"] != "port 0" || st.NACKReason != "port 0" {
			t.Errorf("the status lacks the rejection: %+v", st)
		}
		r = singleRequest(
			t,
			machine.HandleResponse(t0, Response{Type: Clusters, Version: "2", Nonce: "d", Err: errors.New("not a response")}),
		)
		if r.ErrorDetail != "not a response" {
			t.Errorf("variant %d: unexpected NACK of an unreadable response: %+v", variant, r)
		}
		assertApplied(t, machine, map[string]string{"c": "1", "d": "3"})
		r = singleRequest(
			t,
			machine.HandleResponse(
				t0,
				Response{Type: Endpoints, Version: "3", Nonce: "e", Resources: []Resource{assignmentResource("s", "4")}},
			),
		)
		if st := machine.Status(Endpoints); r.ErrorDetail != "" || len(st.Rejected) != 0 || st.NACKReason != "" {
			t.Errorf("variant %d: the valid version was not acknowledged: request %+v, status %+v", variant, r, st)
		}
	}
}

// TestMachine_MakeBeforeBreak checks that a replaced cluster keeps its endpoints until the endpoints of the new
// cluster have been received. The new cluster has the same name or another name. An empty list of endpoints must be
// applied.
func TestMachine_MakeBeforeBreak(t *testing.T) {
	for _, variant := range []Variant{SotW, Delta} {
		machine := New(variant)
		machine.Connected()
		machine.HandleResponse(
			t0,
			Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{edsCluster("c", "s")}},
		)
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "1", Nonce: "b", Resources: []Resource{assignmentResource("s", "1")}},
		)
		machine.HandleResponse(
			t0,
			Response{Type: Clusters, Version: "2", Nonce: "c", Resources: []Resource{edsCluster("c", "s2")}},
		)
		assertApplied(t, machine, map[string]string{"c": "1"})
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "2", Nonce: "d", Resources: []Resource{assignmentResource("s2", "2")}},
		)
		assertApplied(t, machine, map[string]string{"c": "2"})
		machine.HandleResponse(
			t0,
			Response{
				Type:      Clusters,
				Version:   "3",
				Nonce:     "e",
				Resources: []Resource{edsCluster("n", "s3")},
				Removed:   []string{"c"},
			},
		)
		assertApplied(t, machine, map[string]string{"c": "2", "n": "none yet"})
		if machine.Complete() || !machine.Applied()["c"].PendingRemoval {
			t.Errorf("variant %d: the removed cluster must be pending removal: %+v", variant, machine.Applied())
		}
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "3", Nonce: "f", Resources: []Resource{assignmentResource("s3", "3")}},
		)
		assertApplied(t, machine, map[string]string{"n": "3"})
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: "4", Nonce: "g", Resources: []Resource{assignmentResource("s3")}},
		)
		assertApplied(t, machine, map[string]string{"n": ""})
		if !machine.Complete() {
			t.Errorf("variant %d: an empty list of endpoints must count as received", variant)
		}
	}
}

// TestMachine_VersionsAreNotCompared checks that versions are opaque. A response with a lower version, or with the
// same version and other content, must be applied.
func TestMachine_VersionsAreNotCompared(t *testing.T) {
	machine := New(SotW)
	machine.Connected()
	machine.HandleResponse(
		t0,
		Response{Type: Clusters, Version: "9", Nonce: "a", Resources: []Resource{edsCluster("c", "s")}},
	)
	for i, version := range []string{"9", "1", "1"} {
		addr := fmt.Sprint(i)
		machine.HandleResponse(
			t0,
			Response{Type: Endpoints, Version: version, Nonce: addr, Resources: []Resource{assignmentResource("s", addr)}},
		)
		assertApplied(t, machine, map[string]string{"c": addr})
	}
}

// TestMachine_TTL checks that a resource with a TTL expires unless a heartbeat renews the TTL.
func TestMachine_TTL(t *testing.T) {
	machine := New(Delta)
	machine.Connected()
	machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a", Resources: []Resource{edsCluster("c", "s")}})
	e := assignmentResource("s", "1")
	e.TTL = 10 * time.Second
	machine.HandleResponse(t0, Response{Type: Endpoints, Nonce: "b", Resources: []Resource{e}})
	if changed, next := machine.ExpireResources(
		t0.Add(5 * time.Second),
	); changed ||
		!next.Equal(t0.Add(10*time.Second)) {
		t.Errorf("unexpected result of ExpireResources: changed %v, next %v", changed, next)
	}
	machine.HandleResponse(
		t0.Add(6*time.Second),
		Response{Type: Endpoints, Nonce: "c", Resources: []Resource{{Name: "s", TTL: 10 * time.Second}}},
	)
	if changed, _ := machine.ExpireResources(t0.Add(12 * time.Second)); changed {
		t.Error("the resource expired although a heartbeat renewed it")
	}
	assertApplied(t, machine, map[string]string{"c": "1"})
	if changed, next := machine.ExpireResources(t0.Add(16 * time.Second)); !changed || !next.IsZero() {
		t.Errorf("unexpected result of ExpireResources: changed %v, next %v", changed, next)
	}
	assertApplied(t, machine, map[string]string{"c": ""})
}

// TestMachine_NewStreamDropsNonces checks that the request for endpoints after the clusters on a new stream carries
// no nonce of the old stream. A nonce is valid only on its own stream.
func TestMachine_NewStreamDropsNonces(t *testing.T) {
	machine := New(SotW)
	machine.Connected()
	machine.HandleResponse(
		t0,
		Response{Type: Clusters, Version: "1", Nonce: "a", Resources: []Resource{edsCluster("c", "s")}},
	)
	machine.HandleResponse(t0, Response{
		Type: Endpoints, Version: "1", Nonce: "b",
		Resources: []Resource{assignmentResource("s", "1")},
	})
	machine.Disconnected()
	machine.Connected()
	rs := machine.HandleResponse(t0, Response{
		Type: Clusters, Version: "2", Nonce: "c",
		Resources: []Resource{edsCluster("c", "s2")},
	})
	if len(rs) != 2 || rs[1].Nonce != "" || rs[1].Version != "1" {
		t.Errorf("unexpected requests on the new stream: %+v", rs)
	}
}

// TestMachine_IgnoresUnrequestedResponses checks that a resource that was not requested is not applied. A response of
// a type that was not requested must not be answered.
func TestMachine_IgnoresUnrequestedResponses(t *testing.T) {
	machine := New(SotW)
	if got := machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "a"}); got != nil {
		t.Errorf("a response without a stream was answered: %+v", got)
	}
	machine.Connected()
	if got := machine.HandleResponse(
		t0,
		Response{Type: Endpoints, Nonce: "a", Resources: []Resource{assignmentResource("s", "1")}},
	); got != nil {
		t.Errorf("endpoints before any cluster were answered: %+v", got)
	}
	machine.HandleResponse(t0, Response{Type: Clusters, Nonce: "b", Resources: []Resource{edsCluster("c", "s")}})
	machine.HandleResponse(
		t0,
		Response{Type: Endpoints, Nonce: "c", Resources: []Resource{assignmentResource("other", "1")}},
	)
	assertApplied(t, machine, map[string]string{"c": "none yet"})
}

// modelControlPlane is an in-memory control plane that follows the specification. It contains the newest list, the
// state of the client's stream, and the responses in flight.
type modelControlPlane struct {
	variant        Variant
	version        int
	clusters       map[string]string          // service name of each cluster, by cluster name
	addresses      map[string][]string        // addresses in each assignment, by service name
	versions       map[string]int             // version of each assignment, by service name
	addressHistory map[string]map[string]bool // set of all address lists that a service has had, by service name

	// State of the client's stream.
	subscribedNames map[string]bool
	heldVersions    [NumTypes]map[string]int // versions sent to the client, by name; -1: removed
	nonce           int
	inFlight        []Response
}

func newModelControlPlane(v Variant) *modelControlPlane {
	return &modelControlPlane{
		variant: v, clusters: make(map[string]string), addresses: make(map[string][]string), versions: make(map[string]int),
		addressHistory: make(map[string]map[string]bool),
	}
}

func (p *modelControlPlane) set(service string, addrs []string) {
	p.version++
	p.addresses[service], p.versions[service] = addrs, p.version
	if p.addressHistory[service] == nil {
		p.addressHistory[service] = make(map[string]bool)
	}
	p.addressHistory[service][strings.Join(addrs, " ")] = true
}

// connect starts a new stream. Responses in flight are lost.
func (p *modelControlPlane) connect() {
	p.inFlight, p.subscribedNames = nil, make(map[string]bool)
	p.heldVersions = [NumTypes]map[string]int{make(map[string]int), make(map[string]int)}
}

// receive handles a request of the client.
func (p *modelControlPlane) receive(r Request) {
	if r.Type == Clusters {
		if r.Nonce == "" {
			p.addHeldVersions(Clusters, r.InitialVersions)
			p.sendClusters()
		}
		return
	}
	if p.variant == SotW {
		clear(p.subscribedNames)
		for _, n := range r.ResourceNames {
			p.subscribedNames[n] = true
		}
		maps.DeleteFunc(p.heldVersions[Endpoints], func(n string, _ int) bool { return !p.subscribedNames[n] })
	} else {
		p.addHeldVersions(Endpoints, r.InitialVersions)
		for _, n := range r.Unsubscribe {
			delete(p.subscribedNames, n)
			delete(p.heldVersions[Endpoints], n)
		}
		for _, n := range r.Subscribe {
			p.subscribedNames[n] = true
		}
	}
	p.sendEndpoints()
}

// addHeldVersions records the versions that a client reports as its initial versions.
func (p *modelControlPlane) addHeldVersions(t Type, initial map[string]string) {
	for name, text := range initial {
		version, err := strconv.Atoi(text)
		if err != nil {
			panic(err)
		}
		p.heldVersions[t][name] = version
	}
}

func (p *modelControlPlane) enqueue(r Response) {
	p.nonce++
	r.Nonce, r.Version = fmt.Sprint(p.nonce), fmt.Sprint(p.version)
	p.inFlight = append(p.inFlight, r)
}

func (p *modelControlPlane) sendClusters() {
	r := Response{Type: Clusters}
	for _, name := range slices.Sorted(maps.Keys(p.clusters)) {
		c := edsCluster(name, p.clusters[name])
		c.Version = fmt.Sprint(p.version)
		r.Resources = append(r.Resources, c)
	}
	if p.variant == Delta {
		for name := range p.heldVersions[Clusters] {
			if _, ok := p.clusters[name]; !ok {
				r.Removed = append(r.Removed, name)
				delete(p.heldVersions[Clusters], name)
			}
		}
		for name := range p.clusters {
			p.heldVersions[Clusters][name] = p.version
		}
	}
	p.enqueue(r)
}

func (p *modelControlPlane) sendEndpoints() {
	r := Response{Type: Endpoints}
	for _, n := range slices.Sorted(maps.Keys(p.subscribedNames)) {
		addrs, ok := p.addresses[n]
		switch {
		case ok && p.heldVersions[Endpoints][n] != p.versions[n]:
			e := assignmentResource(n, addrs...)
			e.Version = fmt.Sprint(p.versions[n])
			r.Resources = append(r.Resources, e)
			p.heldVersions[Endpoints][n] = p.versions[n]
		case !ok && p.variant == Delta && p.heldVersions[Endpoints][n] != -1:
			r.Removed = append(r.Removed, n)
			p.heldVersions[Endpoints][n] = -1
		}
	}
	if len(r.Resources)+len(r.Removed) > 0 {
		p.enqueue(r)
	}
}

// TestMachine_ConvergesToNewestList checks that random changes, disconnections and reconnections end with the control
// plane's newest list in effect. No partial assignment may ever be in effect. While the newest list is incomplete,
// not all endpoints may disappear.
func TestMachine_ConvergesToNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		variant := Variant(rapid.IntRange(0, 1).Draw(t, "variant"))
		run := &modelRun{
			T: t, controlPlane: newModelControlPlane(variant), machine: New(variant), now: t0,
			services: []string{"s0", "s1", "s2"},
		}
		for _, service := range run.services {
			run.controlPlane.set(service, []string{service + "-first"})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.now = run.now.Add(time.Second)
			run.step()
		}
		run.connect()
		for n := 0; len(run.controlPlane.inFlight) > 0; n++ {
			if n > 1000 {
				t.Fatal("the client and the control plane still exchange messages after 1000 responses")
			}
			run.deliver()
		}
		run.checkConverged()
	})
}

// modelRun is a machine together with the control plane that the machine subscribes to.
type modelRun struct {
	*rapid.T
	controlPlane *modelControlPlane
	machine      *Machine
	now          time.Time
	connected    bool
	services     []string
}

// step performs one random action.
func (r *modelRun) step() {
	switch rapid.IntRange(0, 6).Draw(r.T, "step") {
	case 0:
		r.changeEndpoints()
	case 1:
		r.changeClusters()
	case 2:
		r.machine.Disconnected()
		r.connected = false
		r.controlPlane.inFlight = nil
	case 3:
		r.connect()
	default:
		if r.connected && len(r.controlPlane.inFlight) > 0 {
			r.deliver()
		}
	}
}

func (r *modelRun) changeEndpoints() {
	service := rapid.SampledFrom(r.services).Draw(r.T, "service")
	var addrs []string
	for i := range rapid.IntRange(1, 3).Draw(r.T, "endpoints") {
		addrs = append(addrs, fmt.Sprintf("%s-%d-%d", service, r.controlPlane.version, i))
	}
	r.controlPlane.set(service, addrs)
	if r.connected {
		r.controlPlane.sendEndpoints()
	}
}

func (r *modelRun) changeClusters() {
	r.controlPlane.version++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(r.T, "cluster")
	if rapid.Bool().Draw(r.T, "removed") {
		delete(r.controlPlane.clusters, name)
	} else {
		r.controlPlane.clusters[name] = rapid.SampledFrom(r.services).Draw(r.T, "of")
	}
	if r.connected {
		r.controlPlane.sendClusters()
	}
}

// connect opens a stream unless a stream is open.
func (r *modelRun) connect() {
	if r.connected {
		return
	}
	r.controlPlane.connect()
	r.connected = true
	r.send(r.machine.Connected())
}

func (r *modelRun) send(requests []Request) {
	for _, request := range requests {
		r.controlPlane.receive(request)
	}
}

// deliver passes the next response to the machine and checks the clusters in effect afterwards.
func (r *modelRun) deliver() {
	response := r.controlPlane.inFlight[0]
	r.controlPlane.inFlight = r.controlPlane.inFlight[1:]
	before := countEndpoints(r.machine)
	r.send(r.machine.HandleResponse(r.now, response))
	for name, cluster := range r.machine.Applied() {
		if cluster.Assignment == nil {
			continue
		}
		state := strings.Join(addresses(cluster.Assignment), " ")
		if !r.controlPlane.addressHistory[cluster.Assignment.Name][state] {
			r.Fatalf("cluster %s has addresses %q of %s, a list that the control plane never had",
				name, state, cluster.Assignment.Name)
		}
	}
	if before > 0 && countEndpoints(r.machine) == 0 && !r.machine.Complete() && !hasAssignment(r.machine) {
		r.Fatalf("all endpoints are gone although the newest list is not complete: %v", appliedAddresses(r.machine))
	}
}

// hasAssignment reports whether any cluster has an assignment. The caller has found that no endpoints are in effect,
// so such an assignment is empty. An empty assignment explains why there are no endpoints.
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

// checkConverged checks that the clusters in effect are those of the control plane.
func (r *modelRun) checkConverged() {
	got := make(map[string]string)
	for name, cluster := range r.machine.Applied() {
		if cluster.Assignment == nil {
			r.Fatalf("cluster %s has no assignment after all responses were delivered", name)
		}
		for _, endpoint := range cluster.Assignment.Endpoints {
			got[name] += endpoint.Addr + " "
		}
	}
	newest := make(map[string]string)
	for name, service := range r.controlPlane.clusters {
		newest[name] = strings.Join(r.controlPlane.addresses[service], " ") + " "
	}
	if !reflect.DeepEqual(got, newest) || !r.machine.Complete() {
		r.Fatalf("after all responses: clusters %v, complete %v, want %v", got, r.machine.Complete(), newest)
	}
}
