package router

// Phase is a stage in the life of a router, from its start to its end.
type Phase uint32

// The phases, in order.
const (
	Starting Phase = iota // the last known endpoint list is not in force yet
	Serving
	Draining // new clients should go elsewhere; requests are still served
	Closing  // listeners end their connections; requests that still come are served
	Drained  // no request is accepted any more
	Closed
)

var phaseNames = [...]string{"starting", "serving", "leaving", "closing", "drained", "closed"}

// String is the phase's name in logs and reports.
func (p Phase) String() string { return phaseNames[p] }

// Phase is the router's phase. It is ready for new clients while it is Serving.
func (r *Router) Phase() Phase { return Phase(r.phase.Load()) }

// advancePhase moves on to a later phase; it does nothing where the router is there or beyond.
func (r *Router) advancePhase(to Phase) {
	for {
		current := r.phase.Load()
		if current >= uint32(to) || r.phase.CompareAndSwap(current, uint32(to)) {
			return
		}
	}
}

// resumeServing takes the phases of a drain back.
func (r *Router) resumeServing() {
	for _, phase := range []Phase{Draining, Closing, Drained} {
		r.phase.CompareAndSwap(uint32(phase), uint32(Serving))
	}
}
