package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cobaltward/emulator/script"
)

// Request is a client's request with the random choices made for it.
type Request struct {
	Number     int
	At         time.Duration
	ID         string  // ID of the first attempt
	Class      int     // index in Script.Classes
	Tenant     int     // index in Script.Tenants
	Zone       string  // zone of the client
	Node       int     // node to which a fault directs the request; -1: the balancer chooses the node
	Key        string  // idempotency key; empty if the class has none
	CostFactor float64 // factor by which faults multiply the work
	CostFault  int     // index of the last fault that multiplies the work; -1: no such fault
	OverQuota  bool    // true if the request exceeds the tenant's quota
}

// AttemptID returns the ID of a client's n-th retry of the request. n is 0 for the first attempt.
func (r *Request) AttemptID(n int) string {
	if n == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s.%d", r.ID, n)
}

// Arrivals generates the requests in the order of their arrival, independently of the outcomes of earlier requests.
// It isn't safe for concurrent use.
type Arrivals struct {
	plan       *Plan
	rng        *rand.Rand
	at         time.Duration
	count      int
	peakFactor float64 // upper bound of the rate, as a multiple of the script's rate
	// Each tenant has a token bucket. The bucket's capacity is the tenant's quota for one second.
	tokens     []float64
	lastRefill []time.Duration
}

// Arrivals returns a generator at the start of the plan's traffic.
func (p *Plan) Arrivals() *Arrivals {
	tenants := len(p.Script.Tenants)
	arrivals := &Arrivals{
		plan: p, rng: p.random(streamTraffic),
		tokens: make([]float64, tenants), lastRefill: make([]time.Duration, tenants),
	}
	for i := range arrivals.tokens {
		arrivals.tokens[i] = p.Settings.Tenants[i].Quota
	}
	arrivals.peakFactor = 1 + p.Script.Traffic.Amplitude
	for i := range p.Faults {
		fault := &p.Faults[i]
		if fault.Kind == script.FaultSurge || fault.Kind == script.FaultTenantBurst {
			arrivals.peakFactor *= max(1, fault.Factor)
		}
	}
	return arrivals
}

// trafficFactor returns the factor by which a fault multiplies the traffic at the time at; 1 while the fault is
// inactive.
func trafficFactor(fault *script.Fault, at time.Duration) float64 {
	if at < fault.At || at >= fault.End() {
		return 1
	}
	progress := 1.0
	if fault.RampDuration > 0 {
		progress = min(1, min(at-fault.At, fault.End()-at).Seconds()/fault.RampDuration.Seconds())
	}
	return 1 + (fault.Factor-1)*progress
}

// demand returns the relative load of each tenant and the total rate in requests per second, at the time at.
func (a *Arrivals) demand(at time.Duration) (byTenant []float64, rate float64) {
	source := a.plan.Script
	base := 0.0
	for _, tenant := range source.Tenants {
		byTenant = append(byTenant, tenant.Share*tenant.Usage)
		base += tenant.Share * tenant.Usage
	}
	rate = source.Traffic.Rate / base
	for i := range a.plan.Faults {
		fault := &a.plan.Faults[i]
		switch fault.Kind {
		case script.FaultSurge:
			rate *= trafficFactor(fault.Fault, at)
		case script.FaultTenantBurst:
			tenant := slices.IndexFunc(source.Tenants, func(t script.Tenant) bool { return t.Name == fault.Tenant })
			byTenant[tenant] *= trafficFactor(fault.Fault, at)
		}
	}
	sum := 0.0
	for _, usage := range byTenant {
		sum += usage
	}
	return byTenant, shapedRate(rate, source, at) * sum
}

// shapedRate returns rate adjusted to the shape of the script's traffic at the time at.
func shapedRate(rate float64, source *script.Script, at time.Duration) float64 {
	amplitude := source.Traffic.Amplitude
	period := source.Traffic.PeriodOf(source.Duration).Seconds()
	switch source.Traffic.Shape {
	case "wave":
		rate *= 1 + amplitude*math.Sin(2*math.Pi*at.Seconds()/period)
	case "square":
		if math.Mod(at.Seconds()/period, 1) < 0.5 {
			rate *= 1 + amplitude
		} else {
			rate *= 1 - amplitude
		}
	case "ramp":
		rate *= 1 - amplitude + 2*amplitude*(at.Seconds()/source.Duration.Seconds())
	}
	return rate
}

// Next returns the next request; ok is false after the last request.
func (a *Arrivals) Next() (request Request, ok bool) {
	source := a.plan.Script
	for {
		// Thinning: arrivals are drawn at the upper bound of the rate. Each arrival is kept with the probability that
		// yields the rate at the arrival's time.
		a.at += time.Duration(a.rng.ExpFloat64() / (source.Traffic.Rate * a.peakFactor) * float64(time.Second))
		if a.at >= source.Duration {
			return Request{}, false
		}
		byTenant, rate := a.demand(a.at)
		if a.rng.Float64()*source.Traffic.Rate*a.peakFactor < rate {
			return a.draw(byTenant), true
		}
	}
}

// draw returns a request that arrives at the current time. Another order of the random draws would give other
// requests for the same seed.
func (a *Arrivals) draw(byTenant []float64) Request {
	source := a.plan.Script
	request := Request{Number: a.count, At: a.at, Node: -1, CostFactor: 1, CostFault: -1}
	a.count++
	request.ID = fmt.Sprintf("q%08x-%d", uint32(a.plan.Seed*2654435761), request.Number)
	request.Tenant = weightedIndex(a.rng, byTenant)
	request.Class = weightedIndexFunc(a.rng, source.Classes, func(c script.Class) float64 { return c.Share })
	zoneWeight := func(zone string) float64 { return weight(source.Traffic.Zones, zone) }
	request.Zone = source.Network.Zones[weightedIndexFunc(a.rng, source.Network.Zones, zoneWeight)]
	if source.Classes[request.Class].Idempotency == script.IdempotencyKeyed {
		request.Key = "k-" + request.ID
	}
	a.applyFaults(&request)
	request.OverQuota = !a.takeToken(request.Tenant)
	return request
}

// applyFaults applies the active faults to a request. Random draws decide which of these faults affect the request.
func (a *Arrivals) applyFaults(request *Request) {
	class := a.plan.Script.Classes[request.Class].Name
	for i := range a.plan.Faults {
		fault := &a.plan.Faults[i]
		if !fault.ActiveAt(request.At) {
			continue
		}
		switch {
		case fault.Kind == script.FaultCostly && fault.Class == class && a.rng.Float64() < fault.Fraction:
			request.CostFactor, request.CostFault = request.CostFactor*fault.Factor, i
		case fault.Kind == script.FaultHotNode && a.rng.Float64() < fault.Fraction:
			request.Node = fault.Nodes[a.rng.IntN(len(fault.Nodes))]
			request.Zone = a.plan.Nodes[request.Node].Zone
		}
	}
}

// takeToken takes a token of a tenant's quota. It returns false if the tenant exceeds the quota.
func (a *Arrivals) takeToken(tenant int) bool {
	quota := a.plan.Settings.Tenants[tenant].Quota
	a.tokens[tenant] = min(quota, a.tokens[tenant]+quota*(a.at-a.lastRefill[tenant]).Seconds())
	a.lastRefill[tenant] = a.at
	if a.tokens[tenant] < 1 {
		return false
	}
	a.tokens[tenant]--
	return true
}

// weightedIndex draws an index with a probability proportional to the index's weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	return weightedIndexFunc(rng, weights, func(w float64) float64 { return w })
}

func weightedIndexFunc[T any](rng *rand.Rand, all []T, weight func(T) float64) int {
	sum := 0.0
	for _, v := range all {
		sum += weight(v)
	}
	x := rng.Float64() * sum
	for i, v := range all {
		if x -= weight(v); x < 0 {
			return i
		}
	}
	return len(all) - 1
}
