package realtime

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/policy"
)

// obj is an object of JSON.
type obj = map[string]any

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// configOf is the platform's configuration file for a node, in the form of its ROUTER_CONFIG.
func configOf(p *plan.Plan, node int, listen, discovery string, known []Entry, revision int64, life int) ([]byte, error) {
	s := p.Script
	set := p.NodeSettings(node)
	var classes, tenants []obj
	for _, c := range set.Classes {
		classes = append(classes, obj{
			"name": c.Name, "aim": ms(c.LatencyObjective), "deadline": ms(c.Deadline), "window": ms(c.DedupWindow), "lateWorth": c.LateWeightFraction, "value": c.PriorityWeight,
			"repeat": map[policy.Idempotency]string{policy.Idempotent: "free", policy.IdempotencyKeyed: "guarded", policy.NonIdempotent: "single_shot"}[c.Idempotency],
			"group":  map[policy.DedupScope]string{policy.DedupAll: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}[c.DedupScope],
		})
	}
	for _, t := range set.Tenants {
		tenants = append(tenants, obj{"name": t.Name, "quotaRps": t.Quota, "fraction": t.Share})
	}
	return json.Marshal(obj{
		"name": p.Nodes[node].Name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", p.Seed+uint64(node)*1000+uint64(life)),
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  obj{"revision": revision, "complete": true, "members": known},
		"settings": obj{
			"position": node, "groupSize": set.Nodes, "zone": set.Zone, "services": classes, "tenants": tenants, "report": obj{"fields": set.LoadReportFields},
			"limits": obj{
				"cancelling": set.Capabilities.Cancel, "secondCopies": set.Capabilities.Hedge, "retryAfter": set.Capabilities.RetryAfter,
				"maxAttempts": set.Capabilities.MaxAttempts, "maxRetryAfter": ms(set.Capabilities.MaxRetryAfter), "connIdle": ms(set.Capabilities.ConnIdleTimeout),
				"maxOpen": s.Nodes.MaxOpen, "connectTimeout": ms(s.Network.ConnectTimeout),
			},
			"guarantees": obj{
				"graceToAnswer": ms(set.Rules.AnswerGrace), "drainGrace": ms(set.Rules.DrainGrace), "coldShare": set.Rules.SlowStartShare,
				"cold": ms(set.Rules.SlowStartWindow), "fallMultiple": set.Rules.OverloadFactor, "overloadFor": ms(set.Rules.OverloadDuration),
			},
		},
	})
}

// Entry is one server in discovery's form.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// operatorOf is the operator's own file for a node.
func operatorOf(p *plan.Plan, more string) string {
	var kinds []string
	for _, k := range p.Script.ServerKinds {
		if k.Protocol == "msgpack" {
			kinds = append(kinds, strconv.Quote(k.Name))
		}
	}
	if len(kinds) > 0 {
		more += "\n[msgpack]\nservers = [" + strings.Join(kinds, ", ") + "]\n"
	}
	return more + "\n"
}
