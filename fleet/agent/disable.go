package agent

import (
	"context"
	"slices"

	"cobaltward/fleet"
)

// reconcileDisabled disables at the node all servers that the active disable orders cover. It enables a server that
// no active disable order covers any more, but only if the agent itself has disabled the server.
func (a *Agent) reconcileDisabled(ctx context.Context) {
	state, _ := a.watcher.State()
	orders := state.ActiveDisableOrders(a.config.Clock.Wall())
	a.mu.Lock()
	ownDisabled := slices.Clone(a.receiver.DisabledServers)
	a.mu.Unlock()
	if len(orders) == 0 && len(ownDisabled) == 0 {
		a.setActiveOrders(nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	zones, err := a.zonesOf(ctx, orders)
	disabledNow, statusErr := a.node.DisabledServers(ctx)
	if err != nil || statusErr != nil {
		a.setActiveOrders(nil) // the orders in force are unknown
		return
	}
	disabled := setOf(disabledNow)
	desired := desiredServers(orders, zones)
	failed := a.enableSurplus(ctx, ownDisabled, desired, disabled)
	if err := a.rememberDisabled(failed, ownDisabled, desired, disabled); err != nil {
		a.config.Log.Error("fleet: disabled servers not stored; orders not carried out", "error", err)
		return
	}
	a.disableMissing(ctx, desired, disabled)
	a.setActiveOrders(ordersInForce(orders, zones, disabled))
}

// zonesOf returns the servers of the node's endpoint list, by zone. It returns nil if no order names a zone.
func (a *Agent) zonesOf(ctx context.Context, orders []*fleet.DisableOrder) (map[string][]string, error) {
	namesZone := func(order *fleet.DisableOrder) bool { return len(order.Zones) > 0 }
	if !slices.ContainsFunc(orders, namesZone) {
		return nil, nil
	}
	return a.node.ServersByZone(ctx)
}

// desiredServers returns the servers that orders disable, including all servers of the zones that orders name.
func desiredServers(orders []*fleet.DisableOrder, zones map[string][]string) map[string]bool {
	desired := make(map[string]bool)
	for _, order := range orders {
		for _, server := range order.Servers {
			desired[server] = true
		}
		for _, zone := range order.Zones {
			for _, server := range zones[zone] {
				desired[server] = true
			}
		}
	}
	return desired
}

// enableSurplus enables the servers in ownDisabled that are in disabled but not in desired. It returns the servers
// that could not be enabled. The next reconciliation retries these servers.
func (a *Agent) enableSurplus(ctx context.Context, ownDisabled []string, desired, disabled map[string]bool) []string {
	var failed []string
	for _, server := range ownDisabled {
		if !desired[server] && disabled[server] && a.node.EnableServer(ctx, server) != nil {
			failed = append(failed, server)
		}
	}
	return failed
}

// rememberDisabled stores which servers the agent disables, before it disables them. A later process can then enable
// these servers. Servers that an operator has disabled are left out, because the agent must not enable them.
func (a *Agent) rememberDisabled(failed, ownDisabled []string, desired, disabled map[string]bool) error {
	next := failed
	for server := range desired {
		if slices.Contains(ownDisabled, server) || !disabled[server] {
			next = append(next, server)
		}
	}
	slices.Sort(next)
	if slices.Equal(next, ownDisabled) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiver.DisabledServers = next
	return a.save()
}

// disableMissing disables the desired servers that are not disabled yet, and adds them to disabled.
func (a *Agent) disableMissing(ctx context.Context, desired, disabled map[string]bool) {
	for server := range desired {
		if disabled[server] {
			continue
		}
		if err := a.node.DisableServer(ctx, server); err != nil {
			a.config.Log.Debug("fleet: disabling a server failed", "server", server, "error", err)
			continue
		}
		disabled[server] = true
	}
}

// ordersInForce returns the IDs of the orders whose servers are all disabled.
func ordersInForce(orders []*fleet.DisableOrder, zones map[string][]string, disabled map[string]bool) []string {
	var inForce []string
	for _, order := range orders {
		complete := true
		for server := range desiredServers([]*fleet.DisableOrder{order}, zones) {
			complete = complete && disabled[server]
		}
		if complete {
			inForce = append(inForce, order.ID)
		}
	}
	return inForce
}

// setActiveOrders records the IDs of the disable orders in force. If they have changed, the agent sends a new report.
func (a *Agent) setActiveOrders(ids []string) {
	a.mu.Lock()
	changed := !slices.Equal(a.activeOrders, ids)
	a.activeOrders = ids
	a.mu.Unlock()
	if changed {
		a.watcher.ReportChanged()
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
