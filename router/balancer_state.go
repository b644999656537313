package router

import "cobaltward/policy"

// statefulBalancer is implemented by balancers that export and restore their learned state.
type statefulBalancer interface {
	Export() policy.LearnedState
	InitialThreshold(server string) (threshold float64, up policy.Time, ok bool)
	Restore(now policy.Time, state policy.LearnedState)
	SetTrafficShare(now policy.Time, share float64)
}

// availabilityCounter is implemented by balancers that count the endpoints they avoid.
type availabilityCounter interface{ UnavailableEndpoints() int }

// endpointViewer is implemented by balancers that report their learned state of each endpoint.
type endpointViewer interface{ Views() []policy.View }

var (
	_ statefulBalancer    = (*policy.Balancer)(nil)
	_ availabilityCounter = (*policy.Balancer)(nil)
	_ endpointViewer      = (*policy.Balancer)(nil)
)

// StateAdjuster returns the learned state to restore, usually made from a stored state. initial returns the initial
// concurrency limit of the balancer for server, and the uptime of the process of server. ok is false if server is not
// in service.
type StateAdjuster func(initial func(server string) (threshold float64, up policy.Time, ok bool)) policy.LearnedState

// ExportState returns what the balancer has learned so far. It returns ErrClosed after Close, and another error if
// the balancer does not support exporting.
func (r *Router) ExportState() (state policy.LearnedState, err error) {
	err = r.withBalancer(func(b statefulBalancer, _ policy.Time) { state = b.Export() })
	return state, err
}

// RestoreState makes the balancer adopt the state that adjust returns. adjust runs in the event loop and must not
// call the router. The errors are those of ExportState.
func (r *Router) RestoreState(adjust StateAdjuster) error {
	return r.withBalancer(func(b statefulBalancer, now policy.Time) { b.Restore(now, adjust(b.InitialThreshold)) })
}

// SetTrafficShare tells the balancer which share of the node's traffic this process receives, from 0 to 1. It is used
// while two processes serve as one node. The errors are those of ExportState.
func (r *Router) SetTrafficShare(share float64) error {
	return r.withBalancer(func(b statefulBalancer, now policy.Time) { b.SetTrafficShare(now, share) })
}

// withBalancer calls f with the balancer in the event loop.
func (r *Router) withBalancer(f func(statefulBalancer, policy.Time)) error {
	return r.runInLoop(func(l *loop) error { return l.withBalancer(f) })
}

func (l *loop) withBalancer(f func(statefulBalancer, policy.Time)) error {
	balancer, ok := l.balancer.(statefulBalancer)
	if !ok {
		return errStateUnsupported
	}
	f(balancer, l.clock.now())
	return nil
}
