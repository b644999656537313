package levels

const (
	smoothing          = 0.25 // weight of the newest second in the exponential smoothing
	capacityDecay      = 0.02 // fraction by which the capacity estimate shrinks each second
	saturatedSlowRatio = 0.15 // fraction of slow responses above which servers count as saturated
	unsaturatedGrowth  = 1.1  // maximum of the capacity estimate without saturation, as a multiple of completed work
	fullDemand         = 1.0  // demand at which the offered work equals the capacity
)

// signalKey identifies a signal of a class. An empty class means all classes together.
type signalKey struct {
	signal Signal
	class  string
}

// updateSignals updates all signals, the capacity and the shed fractions with the counts of one second, by class.
func (c *Controller) updateSignals(windows map[string]Window) {
	var total Window // sums over all classes
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

// updateCapacity estimates the work per second that servers can complete within the latency objectives. The estimate
// is the largest work per second completed recently, and shrinks with time. While many responses are slow, the
// estimate falls toward the work completed now. While few responses are slow, servers may be able to handle all of
// the offered work. The estimate then rises to the offered work, up to unsaturatedGrowth times the work completed
// now.
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

// updateShed computes the fraction that each measure sheds. A measure with FollowDemand sheds the excess demand that
// remains after the measures before it.
func (c *Controller) updateShed() {
	excess := c.signals[signalKey{Demand, ""}] - fullDemand
	shedOfClass := make(map[string]float64) // by class: fraction shed by the measures so far
	for i := range c.config.Levels {
		for j := range c.config.Levels[i].Measures {
			measure := &c.config.Levels[i].Measures[j]
			demand := c.signals[signalKey{Demand, measure.Class}]
			alreadyShed := shedOfClass[measure.Class]
			shed := measure.shedFor(alreadyShed, demand, excess)
			if additional := shed - alreadyShed; additional > 0 && measure.Tenants == nil {
				shedOfClass[measure.Class] = shed
				excess -= additional * demand
			}
			c.shed[i][j] = shed
		}
	}
}

// shedFor returns the fraction of its class that a measure sheds. alreadyShed is the fraction shed by the measures
// before it. demand is the demand of the class. excess is the remaining demand of all classes beyond the capacity.
func (m *Measure) shedFor(alreadyShed, demand, excess float64) float64 {
	if !m.FollowDemand {
		return m.Shed
	}
	if demand > 0 && excess > 0 {
		return min(m.Shed, alreadyShed+excess/demand)
	}
	return alreadyShed
}

func (c *Controller) smoothSignal(key signalKey, value float64) {
	c.signals[key] += smoothing * (value - c.signals[key])
}

// slowRatio returns the fraction of requests that were not answered within their latency objective.
func (w *Window) slowRatio() float64 { return ratio(w.Late, w.OnTime+w.Late) }

// queuedRatio returns the fraction of open requests that are waiting for a server.
func (w *Window) queuedRatio() float64 { return ratio(w.Queued, w.Open) }

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
