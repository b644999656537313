package multiprocess

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
)

// standInDrainDuration is the duration of a stand-in's drain.
const standInDrainDuration = 40 * time.Millisecond

// nodeStandIn is the checker's record of a node. Unless the node is a real process, the stand-in also serves the
// node's admin API. The checker's mutex guards the stand-in's state.
type nodeStandIn struct {
	checker         *effectChecker
	name            string
	admin           *adminapi.Server // nil if a real node serves its own admin API
	state           drain.State
	drainEndsAt     time.Time // time at which the last drain is complete
	disabledServers map[string]bool
	highestToken    uint64
	drainActive     bool // true from a drain until the node resumes
}

// addNode adds a node. It opens the node's admin API unless the node is a real process.
func (c *effectChecker) addNode(name, socket string) error {
	added := &nodeStandIn{checker: c, name: name, disabledServers: make(map[string]bool)}
	if c.harness.script.RequestRate == 0 {
		if err := added.openAdminAPI(socket); err != nil {
			return fmt.Errorf("open the admin API of %s: %w", name, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = added
	return nil
}

func (n *nodeStandIn) openAdminAPI(socket string) error {
	server, err := adminapi.Listen(adminapi.Config{Socket: socket}, n.checker.harness.discardLog)
	if err != nil {
		return err
	}
	n.admin = server
	server.Handle(http.MethodGet, "/status", func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, n.status())
	})
	server.Handle(http.MethodPost, "/drain", n.handleDrain)
	server.Handle(http.MethodDelete, "/drain", n.handleResume)
	server.Handle(http.MethodPost, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		n.handleDisable(w, r, true)
	})
	server.Handle(http.MethodDelete, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		n.handleDisable(w, r, false)
	})
	server.Handle(http.MethodGet, "/servers", func(w http.ResponseWriter, _ *http.Request) {
		servers := map[string][]string{"bystrica": {"b-1", "b-2"}, "nitra": {"s-7"}} // server IDs by zone
		adminapi.WriteJSON(w, http.StatusOK, servers)
	})
	server.Start()
	return nil
}

// finishDrain marks an active drain as complete if the drain's duration has passed. The caller holds the checker's
// mutex.
func (n *nodeStandIn) finishDrain() {
	if n.state != drain.Serving && !time.Now().Before(n.drainEndsAt) {
		n.state = drain.Drained
	}
}

func (n *nodeStandIn) status() node.Status {
	n.checker.mu.Lock()
	defer n.checker.mu.Unlock()
	n.finishDrain()
	return node.Status{
		Version: 1, Name: n.name, At: time.Now(), Drain: drain.Status{State: n.state},
		DisabledServers: slices.Sorted(maps.Keys(n.disabledServers)),
	}
}

func (n *nodeStandIn) handleDrain(w http.ResponseWriter, r *http.Request) {
	var request node.DrainRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	n.checker.mu.Lock()
	n.finishDrain()
	if n.state == drain.Serving {
		n.state, n.drainEndsAt = drain.Announced, time.Now().Add(standInDrainDuration)
		n.checker.record(n, effectDrain, request.Reason, "")
	}
	n.checker.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusAccepted, n.status())
}

func (n *nodeStandIn) handleResume(w http.ResponseWriter, r *http.Request) {
	var request node.DrainRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	n.checker.mu.Lock()
	if n.state != drain.Serving {
		n.state = drain.Serving
		n.checker.record(n, effectResume, request.RequestedBy, "")
	}
	n.checker.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusOK, n.status())
}

func (n *nodeStandIn) handleDisable(w http.ResponseWriter, r *http.Request, disable bool) {
	server := r.PathValue("id")
	n.checker.mu.Lock()
	if disable {
		n.disabledServers[server] = true
	} else {
		delete(n.disabledServers, server)
	}
	n.checker.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusOK, map[string][]string{})
}
