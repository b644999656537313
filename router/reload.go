package router

import "cobaltward/policy"

// reload applies config. Requests admitted before the reload keep the class and the capabilities of their admission.
// Used IDs, open requests, timers and budgets are kept.
func (l *loop) reload(config Config) error {
	actions, err := l.balancer.Reconfigure(l.clock.now(), config.Settings)
	if err != nil {
		return err
	}
	l.config = config
	l.counters.addClasses(config.Settings.Classes)
	if l.degradation != nil {
		l.degradation.reconfigure(config.Settings)
	}
	l.execute(actions)
	l.transport.Configure(config.Settings)
	l.stats.Reloads++
	if _, static := l.endpointSource.(StaticEndpoints); static {
		l.updateEndpoints(EndpointUpdate{Kind: policy.ListReplace, Endpoints: config.Endpoints})
	}
	return nil
}
