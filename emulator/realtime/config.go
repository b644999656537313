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

// object is a JSON object.
type object = map[string]any

// milliseconds returns a duration in milliseconds, the unit of the platform's configuration.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// platformOptions are the values of a node's platform configuration that aren't part of the plan.
type platformOptions struct {
	node              int
	listen, discovery string // addresses
	endpoints         []Endpoint
	revision          int64 // revision of the endpoint list
	incarnation       int
}

// platformConfig returns a node's platform configuration, in the format of the file named by ROUTER_CONFIG.
func platformConfig(p *plan.Plan, options platformOptions) ([]byte, error) {
	seed := p.Seed + uint64(options.node)*1000 + uint64(options.incarnation)
	return json.Marshal(object{
		"name": p.Nodes[options.node].Name, "listen": options.listen, "discovery": options.discovery,
		"seed":     fmt.Sprintf("%x", seed),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    object{"revision": options.revision, "complete": true, "members": options.endpoints},
		"settings": platformSettings(p, options.node),
	})
}

func platformSettings(source *plan.Plan, node int) object {
	settings := source.NodeSettings(node)
	capabilities, rules := &settings.Capabilities, &settings.Rules
	var classes, tenants []object
	for i := range settings.Classes {
		classes = append(classes, platformClass(&settings.Classes[i]))
	}
	for _, tenant := range settings.Tenants {
		tenants = append(tenants, object{"name": tenant.Name, "quotaRps": tenant.Quota, "fraction": tenant.Share})
	}
	return object{
		"position": node, "groupSize": settings.Nodes, "zone": settings.Zone,
		"services": classes, "tenants": tenants, "report": object{"fields": settings.LoadReportFields},
		"limits": object{
			"cancelling": capabilities.Cancel, "secondCopies": capabilities.Hedge,
			"retryAfter": capabilities.RetryAfter, "maxAttempts": capabilities.MaxAttempts,
			"maxRetryAfter": milliseconds(capabilities.MaxRetryAfter),
			"connIdle":      milliseconds(capabilities.ConnIdleTimeout),
			"maxOpen":       source.Script.Nodes.MaxOpen, "connectTimeout": milliseconds(source.Script.Network.ConnectTimeout),
		},
		"guarantees": object{
			"graceToAnswer": milliseconds(rules.AnswerGrace), "drainGrace": milliseconds(rules.DrainGrace),
			"coldShare": rules.SlowStartShare, "cold": milliseconds(rules.SlowStartWindow),
			"fallMultiple": rules.OverloadFactor, "overloadFor": milliseconds(rules.OverloadDuration),
		},
	}
}

func platformClass(class *policy.Class) object {
	idempotency := map[policy.Idempotency]string{
		policy.Idempotent: "free", policy.IdempotencyKeyed: "guarded", policy.NonIdempotent: "single_shot",
	}
	scopes := map[policy.DedupScope]string{
		policy.DedupAll: "all", policy.DedupZone: "zone", policy.DedupCell: "cell",
	}
	return object{
		"name": class.Name, "aim": milliseconds(class.LatencyObjective), "deadline": milliseconds(class.Deadline),
		"window": milliseconds(class.DedupWindow), "lateWorth": class.LateWeightFraction, "value": class.PriorityWeight,
		"repeat": idempotency[class.Idempotency], "group": scopes[class.DedupScope],
	}
}

// nodeConfig returns the start of a node's own configuration: toml and the table of MessagePack servers.
func nodeConfig(p *plan.Plan, toml string) string {
	var kinds []string
	for _, kind := range p.Script.ServerKinds {
		if kind.Protocol == "msgpack" {
			kinds = append(kinds, strconv.Quote(kind.Name))
		}
	}
	if len(kinds) > 0 {
		toml += "\n[msgpack]\nservers = [" + strings.Join(kinds, ", ") + "]\n"
	}
	return toml + "\n"
}
