package router

import (
	"errors"

	"cobaltward/policy"
)

// errNoKnowledge says that the module keeps what it has learned to itself.
var errNoKnowledge = errors.New("router: the module gives and takes no knowledge")

// learned is what a module offers that gives and takes knowledge.
type learned interface {
	Export() policy.Knowledge
	Prior(server string) (threshold float64, up policy.Time, ok bool)
	Adopt(now policy.Time, k policy.Knowledge)
	SetPart(now policy.Time, part float64)
}

// Weigher makes of what was kept what may be adopted: it is told what the node would trust each server with, and
// how long the server's process runs.
type Weigher func(prior func(server string) (threshold float64, up policy.Time, ok bool)) policy.Knowledge

// moduleOrder has something done with the module, in the loop.
type moduleOrder struct {
	do    func(learned, policy.Time)
	reply chan error
}

// Export is what the module has learned by now.
func (r *Router) Export() (k policy.Knowledge, err error) {
	err = r.module(func(m learned, _ policy.Time) { k = m.Export() })
	return k, err
}

// Adopt has the module take knowledge over, as weigh makes it.
func (r *Router) Adopt(weigh Weigher) error {
	return r.module(func(m learned, now policy.Time) { m.Adopt(now, weigh(m.Prior)) })
}

// SetPart says which part of the node's work comes to this process, from 0 to 1, where two processes are one node.
func (r *Router) SetPart(part float64) error {
	return r.module(func(m learned, now policy.Time) { m.SetPart(now, part) })
}

func (r *Router) module(do func(learned, policy.Time)) error {
	reply := make(chan error, 1)
	return r.ask(moduleOrder{do, reply}, reply)
}

// ask hands the loop an event, and waits for what it says of it.
func (r *Router) ask(ev any, reply <-chan error) error {
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

func (l *loop) moduleOrder(o moduleOrder) error {
	m, ok := l.module.(learned)
	if !ok {
		return errNoKnowledge
	}
	o.do(m, l.clock.now())
	return nil
}

// Export is what the module has learned by now.
func (s *Stepped) Export() (k policy.Knowledge, err error) {
	err = s.l.moduleOrder(moduleOrder{do: func(m learned, _ policy.Time) { k = m.Export() }})
	return k, err
}

// Adopt has the module take knowledge over, as weigh makes it. It is to be called once the first moment has been
// told.
func (s *Stepped) Adopt(weigh Weigher) error {
	return s.l.moduleOrder(moduleOrder{do: func(m learned, now policy.Time) { m.Adopt(now, weigh(m.Prior)) }})
}
