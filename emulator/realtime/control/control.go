// Package control provides discovery by xDS for rehearsals. Each node has its own Envoy control plane, which sends
// the node all its endpoints.
package control

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"cobaltward/discovery/xds/standin"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/emulator/realtime"
)

// cluster is the name of the only cluster. This cluster holds all endpoints.
const cluster = "site"

// unusedAddr is an address without a discovery service.
const unusedAddr = "127.0.0.1:9"

// agent implements realtime.Agent with an Envoy control plane.
type agent struct {
	plane     *standin.ControlPlane
	bootstrap string // path of the node's bootstrap file
	notified  func(id string, available bool)

	mu        sync.Mutex
	endpoints map[string]realtime.Endpoint
	revision  int64
	silent    bool
	pending   []realtime.Endpoint // updates received while the agent is silent
}

// New starts an agent whose control plane serves a list of endpoints. New has the type realtime.NewAgent.
func New(
	dir string, endpoints []realtime.Endpoint, notified func(id string, available bool),
) (realtime.Agent, error) {
	plane, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bootstrap, err := writeBootstrap(dir, plane.Addr)
	if err != nil {
		plane.Stop()
		return nil, err
	}
	started := &agent{
		plane: plane, bootstrap: bootstrap, notified: notified, endpoints: make(map[string]realtime.Endpoint),
	}
	for _, endpoint := range endpoints {
		started.endpoints[endpoint.ID] = endpoint
	}
	plane.Set(&xdspb.Cluster{Name: cluster, ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}})
	started.push()
	return started, nil
}

// writeBootstrap writes an xDS bootstrap file that names the control plane at addr. It returns the file's path.
func writeBootstrap(dir, addr string) (path string, err error) {
	file, err := os.CreateTemp(dir, "bootstrap-*.json")
	if err != nil {
		return "", err
	}
	_, err = fmt.Fprintf(file,
		`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}]}],"node":{"id":"rehearsal"}}`, addr)
	return file.Name(), errors.Join(err, file.Close())
}

// Addr returns an address without a service. The node's own configuration makes xDS the node's only endpoint source.
func (a *agent) Addr() string { return unusedAddr }

// NodeConfig returns the TOML table that connects the node to the control plane.
func (a *agent) NodeConfig() string {
	return fmt.Sprintf("[xds]\nbootstrap = %q\nalone = true\n", filepath.ToSlash(a.bootstrap))
}

// Update sends a change of a server. While the agent is silent, Update keeps the change for later.
func (a *agent) Update(e realtime.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		a.pending = append(a.pending, e)
		return
	}
	a.endpoints[e.ID] = e
	a.notified(e.ID, e.Phase == realtime.PhaseUp)
	a.push()
}

// push increments the revision and sends all endpoints that are not removed, as a complete endpoint assignment. The
// caller holds a.mu, unless the agent is not yet shared.
func (a *agent) push() {
	a.revision++
	var texts []string
	for _, endpoint := range a.endpoints {
		if endpoint.Phase != realtime.PhaseRemoved {
			texts = append(texts, assignmentText(&endpoint))
		}
	}
	slices.Sort(texts)
	assignment, err := standin.ParseAssignment(cluster, texts)
	if err != nil {
		panic("control: " + err.Error() + ": " + strings.Join(texts, " ")) // can't happen: the texts are always valid
	}
	a.plane.Set(assignment)
}

// assignmentText returns an endpoint in the format of standin.ParseAssignment.
func assignmentText(e *realtime.Endpoint) string {
	health := "HEALTHY"
	if e.Phase == realtime.PhaseDraining {
		health = "DRAINING"
	}
	text := fmt.Sprintf("%s/zone=%s,health=%s,kind=%s,cell=%d,weight=%d",
		e.Addr, e.Zone, health, e.Kind, e.Cell, max(1, int(e.Weight)))
	if e.StartedAt > 0 {
		text += fmt.Sprintf(",started=%d", e.StartedAt)
	}
	return text
}

// SetSilent stops or resumes the control plane's responses. At the end of a silence, SetSilent sends the pending
// updates.
func (a *agent) SetSilent(silent bool) {
	a.mu.Lock()
	a.silent = silent
	pending := a.pending
	a.pending = nil
	a.mu.Unlock()
	a.plane.SetMuted(silent)
	for _, endpoint := range pending {
		a.Update(endpoint)
	}
}

// Snapshot returns the current endpoints, sorted by ID, and their revision.
func (a *agent) Snapshot() ([]realtime.Endpoint, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := []realtime.Endpoint{}
	for _, endpoint := range a.endpoints {
		if endpoint.Phase != realtime.PhaseRemoved {
			all = append(all, endpoint)
		}
	}
	slices.SortFunc(all, func(x, y realtime.Endpoint) int { return strings.Compare(x.ID, y.ID) })
	return all, a.revision
}

// Stop stops the control plane.
func (a *agent) Stop() { a.plane.Stop() }
