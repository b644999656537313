package router

import (
	"errors"

	"cobaltward/policy"
)

// errStateUnsupported says that the module keeps what it has learned to itself.
var errStateUnsupported = errors.New("router: the module gives and takes no knowledge")

// statefulBalancer is what a module offers that gives and takes knowledge.
type statefulBalancer interface {
	Export() policy.LearnedState
	InitialThreshold(server string) (threshold float64, up policy.Time, ok bool)
	Restore(now policy.Time, k policy.LearnedState)
	SetTrafficShare(now policy.Time, part float64)
}

// StateAdjuster makes of what was kept what may be adopted: it is told what the node would trust each server with, and
// how long the server's process runs.
type StateAdjuster func(prior func(server string) (threshold float64, up policy.Time, ok bool)) policy.LearnedState

// balancerCommand has something done with the module, in the loop.
type balancerCommand struct {
	do    func(statefulBalancer, policy.Time)
	reply chan error
}

// ExportState is what the module has learned by now.
func (r *Router) ExportState() (k policy.LearnedState, err error) {
	err = r.withBalancer(func(m statefulBalancer, _ policy.Time) { k = m.Export() })
	return k, err
}

// RestoreState has the module take knowledge over, as weigh makes it.
func (r *Router) RestoreState(weigh StateAdjuster) error {
	return r.withBalancer(func(m statefulBalancer, now policy.Time) { m.Restore(now, weigh(m.InitialThreshold)) })
}

// SetTrafficShare says which part of the node's work comes to this process, from 0 to 1, where two processes are one node.
func (r *Router) SetTrafficShare(part float64) error {
	return r.withBalancer(func(m statefulBalancer, now policy.Time) { m.SetTrafficShare(now, part) })
}

func (r *Router) withBalancer(do func(statefulBalancer, policy.Time)) error {
	reply := make(chan error, 1)
	return r.sendAndWait(balancerCommand{do, reply}, reply)
}

// sendAndWait hands the loop an event, and waits for what it says of it.
func (r *Router) sendAndWait(ev any, reply <-chan error) error {
	if !r.loop.send(ev) {
		return ErrClosed
	}
	select {
	case err := <-reply:
		return err
	case <-r.loop.done:
		return ErrClosed
	}
}

func (l *loop) runBalancerCommand(o balancerCommand) error {
	m, ok := l.balancer.(statefulBalancer)
	if !ok {
		return errStateUnsupported
	}
	o.do(m, l.clock.now())
	return nil
}

// ExportState is what the module has learned by now.
func (s *Stepped) ExportState() (k policy.LearnedState, err error) {
	err = s.loop.runBalancerCommand(balancerCommand{do: func(m statefulBalancer, _ policy.Time) { k = m.Export() }})
	return k, err
}

// RestoreState has the module take knowledge over, as weigh makes it. It is to be called once the first moment has been
// told.
func (s *Stepped) RestoreState(weigh StateAdjuster) error {
	return s.loop.runBalancerCommand(balancerCommand{do: func(m statefulBalancer, now policy.Time) { m.Restore(now, weigh(m.InitialThreshold)) }})
}
