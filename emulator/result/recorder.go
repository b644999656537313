package result

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/policy"
)

// Outcome is the outcome of a client's request after all its attempts.
type Outcome struct {
	Status         Status
	Latency        time.Duration // time since the scheduled arrival of the request
	ClientAttempts int
	ServerAttempts int
	Faults         []int // indices of the faults that affected the request, ascending
}

// Recorder collects the result of a run during the run. It isn't safe for concurrent use.
type Recorder struct {
	plan       *plan.Plan
	result     *Result
	digest     hash.Hash
	inFlight   int
	usefulWork float64
	onDone     func(request *plan.Request, outcome Outcome)
	scratch    []byte // buffer reused by addToDigest
}

// NewRecorder returns a recorder for a run of a plan. clock is "virtual" or "real". If onDone isn't nil, the recorder
// calls onDone with the outcome of each request.
func NewRecorder(source *plan.Plan, clock string, onDone func(*plan.Request, Outcome)) *Recorder {
	scenario := source.Script
	result := &Result{
		Title: scenario.Title, Seed: source.Seed, Clock: clock, Duration: scenario.Duration,
		Servers: len(source.Servers), Nodes: len(source.Nodes), Zones: scenario.Network.Zones, All: newService(),
		Classes: make(map[string]*Service), Tenants: make(map[string]*Service), ByZone: make(map[string]*Service),
	}
	for i := range scenario.Classes {
		result.Classes[scenario.Classes[i].Name] = newService()
	}
	for _, tenant := range scenario.Tenants {
		result.Tenants[tenant.Name] = newService()
	}
	for _, zone := range scenario.Network.Zones {
		result.ByZone[zone] = newService()
	}
	for i := range source.Faults {
		result.Faults = append(result.Faults, newFault(source, &source.Faults[i]))
	}
	return &Recorder{plan: source, result: result, digest: sha256.New(), onDone: onDone}
}

func newFault(p *plan.Plan, fault *plan.Fault) Fault {
	var targets []string
	for _, i := range fault.Servers {
		targets = append(targets, p.Servers[i].ID)
	}
	for _, i := range fault.Nodes {
		targets = append(targets, p.Nodes[i].Name)
	}
	return Fault{Label: fault.Label(), Kind: fault.Kind, From: fault.At, To: fault.End(), Targets: targets}
}

// second returns the figures of the second that contains now.
func (r *Recorder) second(now time.Duration) *Second {
	n := int(max(0, now) / time.Second)
	for len(r.result.Seconds) <= n {
		r.result.Seconds = append(r.result.Seconds, Second{InFlight: r.inFlight})
	}
	return &r.result.Seconds[n]
}

// RequestArrived records the arrival of a request.
func (r *Recorder) RequestArrived(request *plan.Request) {
	r.second(request.At).Offered++
	r.inFlight++
	second := r.second(request.At)
	second.InFlight = max(second.InFlight, r.inFlight)
	r.result.OfferedWork += r.plan.Work(request)
}

// ClientAttempt records an attempt of a client at a node.
func (r *Recorder) ClientAttempt() { r.result.ClientAttempts++ }

// ServerAttempt records the n-th attempt (from 0) of a node at a server for one client attempt.
func (r *Recorder) ServerAttempt(now time.Duration, n int, crossZone bool) {
	r.result.ServerAttempts++
	if n > 0 {
		r.result.Retries++
	}
	second := r.second(now)
	second.Attempts++
	if crossZone {
		r.result.CrossZone++
		second.CrossZone++
	}
}

// Connected records that a node opens a new connection to a server.
func (r *Recorder) Connected() { r.result.Connections++ }

// WorkStarted records the work of an attempt that a server has started to execute.
func (r *Recorder) WorkStarted(work float64) { r.result.Work += work }

// WorkUseful records the started work of an attempt whose answer has reached the client. All other started work is
// wasted.
func (r *Recorder) WorkUseful(work float64) { r.usefulWork += work }

// RequestDone records the outcome of a request.
func (r *Recorder) RequestDone(request *plan.Request, outcome Outcome) {
	r.inFlight--
	second := r.second(request.At)
	switch outcome.Status {
	case Served:
		second.Served++
	case Rejected:
		second.Rejected++
	default:
		second.Failed++
	}
	class := &r.plan.Script.Classes[request.Class]
	tenant := r.plan.Script.Tenants[request.Tenant].Name
	served := outcome.Status == Served
	onTime := served && outcome.Latency <= class.LatencyObjective
	for _, service := range []*Service{
		r.result.All, r.result.Classes[class.Name], r.result.Tenants[tenant], r.result.ByZone[request.Zone],
	} {
		service.add(&outcome, request.OverQuota, onTime, class.LateWeightFraction)
	}
	for _, fault := range outcome.Faults {
		r.result.Faults[fault].add(served, len(outcome.Faults) == 1)
	}
	r.addToDigest(request.ID, &outcome)
	if r.onDone != nil {
		r.onDone(request, outcome)
	}
}

func (r *Recorder) addToDigest(id string, outcome *Outcome) {
	r.scratch = fmt.Appendf(r.scratch[:0], "%s %d %d %d %d %v\n", id, outcome.Status, outcome.Latency,
		outcome.ClientAttempts, outcome.ServerAttempts, outcome.Faults)
	_, _ = r.digest.Write(r.scratch) // a hash's Write never fails
}

// Sample records the state that the first node has learned of its servers. It is called once a second.
func (r *Recorder) Sample(views []policy.View) {
	row := make([]Sample, 0, len(views))
	for _, v := range views {
		row = append(row, Sample{v.Server, v.InFlight, math.Round(v.Threshold*100) / 100, v.Ejected})
	}
	r.result.Samples = append(r.result.Samples, row)
}

// Level records the first node's level of reduced service. It is called once a second.
func (r *Recorder) Level(level Level) { r.result.Levels = append(r.result.Levels, level) }

// GeneratorLag records the time between a request's scheduled arrival and its sending. The result has the maximum.
func (r *Recorder) GeneratorLag(lag time.Duration) { r.result.MaxLag = max(r.result.MaxLag, lag) }

// Invalidate marks the rehearsal as invalid and records the reason.
func (r *Recorder) Invalidate(reason string) { r.result.InvalidReason = reason }

// Finish returns the complete result with the checker's verdict.
func (r *Recorder) Finish(verdict *checker.Verdict) *Result {
	result := r.result
	result.Verdict = verdict
	result.WastedWork = max(0, result.Work-r.usefulWork)
	result.Digest = hex.EncodeToString(r.digest.Sum(nil))
	all := []*Service{result.All}
	for _, services := range []map[string]*Service{result.Classes, result.Tenants, result.ByZone} {
		for _, service := range services {
			all = append(all, service)
		}
	}
	for _, service := range all {
		service.P50, service.P99 = service.latency.quantile(0.5), service.latency.quantile(0.99)
	}
	return result
}
