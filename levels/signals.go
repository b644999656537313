package levels

const (
	smoothing          = 0.25 // weight of the newest second
	capacityDecay      = 0.02 // fraction of the capacity that is forgotten each second
	saturatedSlowRatio = 0.15 // fraction of slow answers from which servers show what they can carry
	unsaturatedGrowth  = 1.1  // of the work done in time, which servers are trusted with where none is saturated
	fullDemand         = 1.0  // the demand that servers can just carry
)

// signalKey names a signal of a class, or of all classes where the class is empty.
type signalKey struct {
	signal Signal
	class  string
}

// updateSignals turns the counts of one second into signals.
func (c *Controller) updateSignals(windows map[string]Window) {
	var total Window // of all classes; OnTime and Late count answers
	var offeredWork, completedWork float64
	for _, class := range c.config.Classes {
		window := windows[class.Name]
		offeredWork += window.Offered * window.Work
		completedWork += window.OnTime * window.Work
		total.OnTime += window.OnTime
		total.Late += window.Late
		total.Queued += window.Queued
		total.Open += window.Open
		c.smoothSignal(signalKey{SlowAnswers, class.Name}, window.slowRatio())
		c.smoothSignal(signalKey{Queued, class.Name}, window.queuedRatio())
	}
	c.smoothSignal(signalKey{SlowAnswers, ""}, total.slowRatio())
	c.smoothSignal(signalKey{Queued, ""}, total.queuedRatio())
	c.updateCapacity(offeredWork, completedWork)
	c.smoothSignal(signalKey{Demand, ""}, ratio(offeredWork, c.capacity))
	for _, class := range c.config.Classes {
		window := windows[class.Name]
		c.smoothSignal(signalKey{Demand, class.Name}, ratio(window.Offered*window.Work, c.capacity))
	}
	c.updateShed()
}

// updateCapacity estimates the work that servers can complete in time. It is the most that was completed lately, less
// as that ages. Where many answers are slow it falls to the work completed now; where few are, nothing shows that
// servers could not carry the offered load.
func (c *Controller) updateCapacity(offeredWork, completedWork float64) {
	saturated := c.signals[signalKey{SlowAnswers, ""}] > saturatedSlowRatio
	c.capacity *= 1 - capacityDecay
	if saturated && c.capacity > completedWork {
		c.capacity += smoothing * (completedWork - c.capacity)
	}
	c.capacity = max(c.capacity, completedWork)
	if !saturated {
		c.capacity = max(c.capacity, min(offeredWork, unsaturatedGrowth*completedWork))
	}
}

// updateShed works out the fraction that each measure sheds. One that follows demand sheds as much as is left of the
// demand beyond what servers carry, after the measures before it.
func (c *Controller) updateShed() {
	excess := c.signals[signalKey{Demand, ""}] - fullDemand
	shedOfClass := make(map[string]float64) // fraction shed of a class so far
	for i := range c.config.Levels {
		for j := range c.config.Levels[i].Measures {
			measure := &c.config.Levels[i].Measures[j]
			demand := c.signals[signalKey{Demand, measure.Class}]
			before := shedOfClass[measure.Class]
			shed := measure.shedFor(before, demand, excess)
			if more := shed - before; more > 0 && measure.Tenants == nil {
				shedOfClass[measure.Class] = shed
				excess -= more * demand
			}
			c.shed[i][j] = shed
		}
	}
}

// shedFor returns the fraction of its class that a measure sheds, where so much is shed before it and so much of the
// demand is in excess of what servers carry.
func (m *Measure) shedFor(before, demand, excess float64) float64 {
	if !m.FollowDemand {
		return m.Shed
	}
	if demand > 0 && excess > 0 {
		return min(m.Shed, before+excess/demand)
	}
	return before
}

func (c *Controller) smoothSignal(key signalKey, value float64) {
	c.signals[key] += smoothing * (value - c.signals[key])
}

// slowRatio is the fraction of the answers that were late.
func (w *Window) slowRatio() float64 { return ratio(w.Late, w.OnTime+w.Late) }

// queuedRatio is the fraction of the open requests that wait for a server.
func (w *Window) queuedRatio() float64 { return ratio(w.Queued, w.Open) }

// ratio is a/b, or 0 where b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
