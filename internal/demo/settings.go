package demo

import (
	"time"

	"cobaltward/policy"
)

// Names of the request classes.
const (
	classSearch = "hladanie"
	classBook   = "rezervacia"
	classCancel = "zrusenie"
)

// Deadlines of the classes.
const (
	searchDeadline = 3000 * time.Millisecond
	bookDeadline   = 1500 * time.Millisecond
	cancelDeadline = 4000 * time.Millisecond
)

// dedupWindow is the time for which servers remember the idempotency key of a cancellation. Servers drop requests that
// repeat a remembered key.
const dedupWindow = 4 * time.Second

// mainTenant sends more than its quota. otherTenants send the rest of the traffic.
const mainTenant = "dielna-bystrica"

var otherTenants = []string{"kancel-presov", "stol-nitra", "podkrovie-zvolen", "mlyn-poprad"}

// zones holds the names of the data centers. The node is in the first zone.
var zones = []string{"bystrica", "presov", "nitra"}

// Settings returns the settings of the demonstration's node, with three classes, five tenants and three zones.
func Settings() policy.Settings {
	const ms = time.Millisecond
	tenants := []policy.Tenant{{Name: mainTenant, Quota: 100, Share: 0.43}}
	for _, name := range otherTenants {
		tenants = append(tenants, policy.Tenant{Name: name, Quota: 33, Share: 0.14})
	}
	return policy.Settings{
		Nodes: 1, Zone: zones[0],
		Classes: []policy.Class{
			{
				Name: classSearch, LatencyObjective: 600 * ms, Deadline: searchDeadline, Idempotency: policy.Idempotent,
				PriorityWeight: 1, LateWeightFraction: 0.25,
			},
			{
				Name: classBook, LatencyObjective: 500 * ms, Deadline: bookDeadline, Idempotency: policy.NonIdempotent,
				PriorityWeight: 1, LateWeightFraction: 0.25,
			},
			{
				Name: classCancel, LatencyObjective: 1000 * ms, Deadline: cancelDeadline,
				Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll, DedupWindow: dedupWindow,
				PriorityWeight: 1, LateWeightFraction: 0.25,
			},
		},
		Tenants: tenants,
		Capabilities: policy.Capabilities{
			Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 5, MaxRetryAfter: time.Second,
			ConnIdleTimeout: 15 * time.Second,
		},
		Rules: policy.Rules{
			DrainGrace: 500 * ms, SlowStartShare: 0.34, SlowStartWindow: 8400 * ms,
			OverloadFactor: 3, OverloadDuration: time.Second, AnswerGrace: 50 * ms,
		},
	}
}
