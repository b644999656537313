package router

// Phase is a stage in the life cycle of a router.
type Phase uint32

// The phases, in order.
const (
	Starting Phase = iota // the last known endpoint list is not in force yet
	Serving
	Draining // new clients should use another node; requests are still served
	Closing  // listeners close their connections; requests that still arrive are served
	Drained  // no request is accepted any more
	Closed
)

var phaseNames = [...]string{"starting", "serving", "leaving", "closing", "drained", "closed"}

// String returns the name of the phase in logs and reports.
func (p Phase) String() string { return phaseNames[p] }

// Phase returns the phase of the router. The router is ready for new clients only in the phase Serving.
func (r *Router) Phase() Phase { return Phase(r.phase.Load()) }

// advancePhase moves the router to the phase to, unless the router is already in that phase or a later phase.
func (r *Router) advancePhase(to Phase) {
	for {
		current := r.phase.Load()
		if current >= uint32(to) || r.phase.CompareAndSwap(current, uint32(to)) {
			return
		}
	}
}

// resumeServing returns from any phase of a drain to Serving.
func (r *Router) resumeServing() {
	for _, phase := range []Phase{Draining, Closing, Drained} {
		r.phase.CompareAndSwap(uint32(phase), uint32(Serving))
	}
}
