package fleet

import "slices"

// Rollout is the kind of work, and of job, by which a version is put in force in stages.
const Rollout = "rollout"

// Thing is something that nodes act on and that has versions: settings, routes, a build. At no time are there more than
// two that a node may act on, or may still act on: the log refuses a third.
type Thing struct {
	Name string   `json:"name"`
	Now  Version  `json:"now"`            // in force at all nodes, or at all that the next one has not reached
	Next *Version `json:"next,omitempty"` // on its way
	Gone *Version `json:"gone,omitempty"` // nobody gets a right to it any more, and the last one may not be over
	// On are the nodes that may act on Next; All: every node.
	On  []string `json:"on,omitempty"`
	All bool     `json:"all,omitempty"`
}

// Version is one, named by its content and by its place in the log.
type Version struct {
	Digest string   `json:"digest"`
	At     Position `json:"at"`
}

// Two tells whether there is more than one version that a node may be acting on.
func (t *Thing) Two() bool { return t != nil && (t.Next != nil || t.Gone != nil) }

// Allowed are the versions to which a node may have a right now, the one that it should act on first.
func (t *Thing) Allowed(node string) (all []string) {
	if t.Next != nil && (t.All || slices.Contains(t.On, node)) {
		all = append(all, t.Next.Digest)
	}
	return append(all, t.Now.Digest)
}

// Wanted is the version that a node should act on.
func (t *Thing) Wanted(node string) string { return t.Allowed(node)[0] }

const mostThings = 64

// mayRoll tells whether a rollout may begin: of each thing one version at a time is on its way.
func (s *State) mayRoll(spec *Spec) bool {
	t := s.Things[spec.Thing]
	return t != nil && !t.Two() && spec.Digest != "" && spec.Digest != t.Now.Digest
}

// version applies what is said of a thing. All but the first offer is its owner's to say.
func (s *State) version(e Entry) error {
	t := s.Things[e.Thing]
	if e.Kind == Offer {
		switch {
		case e.Thing == "" || e.Digest == "":
			return ErrBad
		case t != nil:
			return ErrThere
		case len(s.Things) >= mostThings:
			return ErrFull
		}
		s.Things = put(s.Things, e.Thing, &Thing{Name: e.Thing, Now: Version{e.Digest, s.At}})
		return nil
	}
	if t == nil {
		return ErrUnknown
	}
	if !s.owns(Rollout, e.Token) {
		return ErrLost
	}
	n := *t
	switch j := s.Open(Rollout); {
	case j == nil || j.Spec.Thing != e.Thing:
		return ErrUnknown
	case e.Kind == Stage:
		switch {
		case n.Gone != nil || int(e.Seq) > len(j.Spec.Stages):
			return ErrHeld
		case n.Next == nil:
			n.Next = &Version{j.Spec.Digest, s.At}
		}
		if int(e.Seq) == len(j.Spec.Stages) {
			n.All = true
		} else {
			n.On = append(slices.Clone(n.On), j.Spec.Stages[e.Seq]...)
		}
	case e.Kind == Retire && n.Next == nil:
		return ErrUnknown
	case e.Kind == Retire && e.Digest == n.Now.Digest:
		if !n.All {
			return ErrHeld // some nodes may act on nothing else
		}
		n.Gone, n.Now, n.Next, n.On, n.All = &Version{n.Now.Digest, s.At}, *n.Next, nil, nil, false
	case e.Kind == Retire && e.Digest == n.Next.Digest: // the way back
		n.Gone, n.Next, n.On, n.All = &Version{n.Next.Digest, s.At}, nil, nil, false
	case e.Kind == Retire:
		return ErrUnknown
	case n.Gone == nil || n.Gone.Digest != e.Digest || uint64(n.Gone.At) != e.Seq:
		return ErrUnknown
	default:
		n.Gone = nil
	}
	s.Things = put(s.Things, e.Thing, &n)
	return nil
}
