package standalone

import (
	"cmp"
	"time"

	"cobaltward/policy"
)

// Class is a table [[class]], which defines a class of requests.
type Class struct {
	Name               string        `toml:"name" need:"1"`
	LatencyObjective   time.Duration `toml:"aim" min:"1ms" max:"1h"`
	Deadline           time.Duration `toml:"deadline" need:"1" min:"10ms" max:"1h"`
	Idempotency        string        `toml:"repeat" need:"1" one:"free|guarded|never"`
	DedupScope         string        `toml:"group" one:"all|zone|cell"` // default: all
	DedupWindow        time.Duration `toml:"window" min:"0s" max:"24h"`
	PriorityWeight     float64       `toml:"worth" min:"0"`              // unset or 0: 1
	LateWeightFraction float64       `toml:"late_worth" min:"0" max:"1"` // share of PriorityWeight after LatencyObjective
	Zones              []string      `toml:"zones"`
	Kinds              []string      `toml:"kinds"`
	Pool               string        `toml:"pool"`
}

// idempotencies maps the values of the key repeat to the values of package policy.
var idempotencies = map[string]policy.Idempotency{
	"free":    policy.Idempotent,
	"guarded": policy.IdempotencyKeyed,
	"never":   policy.NonIdempotent,
}

// dedupScopes maps the values of the key group to the values of package policy.
var dedupScopes = map[string]policy.DedupScope{
	"":     policy.DedupAll,
	"all":  policy.DedupAll,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// settings returns the class as the type of package policy.
func (c *Class) settings() policy.Class {
	return policy.Class{
		Name:               c.Name,
		LatencyObjective:   c.LatencyObjective,
		Deadline:           c.Deadline,
		DedupWindow:        c.DedupWindow,
		PriorityWeight:     cmp.Or(c.PriorityWeight, 1),
		LateWeightFraction: c.LateWeightFraction,
		Zones:              c.Zones,
		Kinds:              c.Kinds,
		Pool:               c.Pool,
		Idempotency:        idempotencies[c.Idempotency],
		DedupScope:         dedupScopes[c.DedupScope],
	}
}

// Tenant is a table [[tenant]], which defines a customer with a quota.
type Tenant struct {
	Name  string  `toml:"name" need:"1"`
	Quota float64 `toml:"quota" min:"0"` // requests per second over all nodes
	Share float64 `toml:"share" min:"0" max:"1"`
}

// Buckets configures the token buckets of the rate limits.
type Buckets struct {
	Default *Bucket           `toml:"default"` // for tenants without a quota
	Classes map[string]Bucket `toml:"classes"` // bucket of each class, by name
	Max     float64           `toml:"max" min:"0"`
}

// Bucket configures a token bucket.
type Bucket struct {
	Rate  float64       `toml:"rate" need:"1" min:"0"`   // requests per Per
	Per   time.Duration `toml:"per" min:"1ms" max:"24h"` // time window of Rate; default: 1 s
	Burst int64         `toml:"burst" need:"1" min:"1"`
}

func (b Bucket) limit() policy.Limit {
	return policy.Limit{PerWindow: b.Rate, Window: cmp.Or(b.Per, time.Second), Burst: b.Burst}
}

// rateLimits returns the buckets as the type of package policy.
func (b *Buckets) rateLimits() policy.RateLimits {
	limits := policy.RateLimits{Max: b.Max}
	if b.Default != nil {
		limit := b.Default.limit()
		limits.Default = &limit
	}
	for class, bucket := range b.Classes {
		if limits.PerClass == nil {
			limits.PerClass = make(map[string]policy.Limit)
		}
		limits.PerClass[class] = bucket.limit()
	}
	return limits
}
