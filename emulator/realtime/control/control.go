// Package control is a rehearsal's discovery as an Envoy control plane: one for each node, which is told of
// servers by xDS alone.
package control

import (
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

const cluster = "site"

type plane struct {
	plane     *standin.ControlPlane
	bootstrap string
	told      func(id string, open bool)

	mu       sync.Mutex
	entries  map[string]realtime.Entry
	revision int64
	silent   bool
	unsaid   []realtime.Entry // learned since it fell silent
}

// New is a live.NewAgent.
func New(dir string, first []realtime.Entry, told func(id string, open bool)) (realtime.Agent, error) {
	p, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &plane{plane: p, told: told, entries: make(map[string]realtime.Entry)}
	f, err := os.CreateTemp(dir, "bootstrap-*.json")
	if err != nil {
		p.Stop()
		return nil, err
	}
	a.bootstrap = f.Name()
	_, err = fmt.Fprintf(f, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}]}],"node":{"id":"rehearsal"}}`, p.Addr)
	if err2 := f.Close(); err == nil {
		err = err2
	}
	if err != nil {
		p.Stop()
		return nil, err
	}
	for _, e := range first {
		a.entries[e.ID] = e
	}
	p.Set(&xdspb.Cluster{Name: cluster, ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}})
	a.push()
	return a, nil
}

// Addr is no discovery: the operator's own file says that the control plane stands alone.
func (a *plane) Addr() string { return "127.0.0.1:9" }

func (a *plane) Operator() string {
	return fmt.Sprintf("[xds]\nbootstrap = %q\nalone = true\n", filepath.ToSlash(a.bootstrap))
}

func (a *plane) Set(e realtime.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		a.unsaid = append(a.unsaid, e)
		return
	}
	a.entries[e.ID] = e
	a.told(e.ID, e.Phase == "up")
	a.push()
}

// push sets the whole assignment anew. The lock is held, or nobody knows of the plane yet.
func (a *plane) push() {
	a.revision++
	var texts []string
	for _, e := range a.entries {
		if e.Phase == "removed" {
			continue
		}
		health := "HEALTHY"
		if e.Phase == "draining" {
			health = "DRAINING"
		}
		text := fmt.Sprintf("%s/zone=%s,health=%s,kind=%s,cell=%d,weight=%d", e.HostPort, e.Locality, health, e.Flavor, e.Cell, max(1, int(e.Size)))
		if e.UpSince > 0 {
			text += fmt.Sprintf(",started=%d", e.UpSince)
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	cla, err := standin.ParseAssignment(cluster, texts)
	if err != nil {
		panic("control: " + err.Error() + ": " + strings.Join(texts, " ")) // of addresses and figures made here
	}
	a.plane.Set(cla)
}

func (a *plane) Silence(on bool) {
	a.mu.Lock()
	a.silent = on
	unsaid := a.unsaid
	a.unsaid = nil
	a.mu.Unlock()
	a.plane.SetMuted(on)
	for _, e := range unsaid {
		a.Set(e)
	}
}

func (a *plane) Known() ([]realtime.Entry, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := []realtime.Entry{}
	for _, e := range a.entries {
		if e.Phase != "removed" {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y realtime.Entry) int { return strings.Compare(x.ID, y.ID) })
	return all, a.revision
}

func (a *plane) Stop() { a.plane.Stop() }
