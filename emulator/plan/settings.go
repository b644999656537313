package plan

import (
	"fmt"
	"time"

	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// commonSettings returns the settings that all nodes of the site share, without a node's index and zone.
func commonSettings(source *script.Script) policy.Settings {
	rules := &source.Rules
	settings := policy.Settings{
		Nodes: source.Nodes.Count, LoadReportFields: source.LoadFields,
		Capabilities: policy.Capabilities{
			Cancel: source.Capabilities.Cancel, Hedge: source.Capabilities.Hedge,
			RetryAfter: source.Capabilities.RetryAfter, MaxAttempts: source.Capabilities.MaxAttempts,
			MaxRetryAfter: source.Clients.MaxRetryAfter, ConnIdleTimeout: source.Capabilities.ConnIdle,
		},
		Rules: policy.Rules{
			DrainGrace: rules.DrainGrace, AnswerGrace: rules.AnswerGrace,
			OverloadFactor: rules.OverloadFactor, OverloadDuration: rules.OverloadDuration, SlowStartShare: 1,
		},
	}
	for i := range source.Classes {
		settings.Classes = append(settings.Classes, classSettings(&source.Classes[i]))
	}
	for _, tenant := range source.Tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{
			Name: tenant.Name, Quota: tenant.Share * source.Traffic.Quota, Share: tenant.Share,
		})
	}
	for i := range source.ServerKinds {
		if kind := &source.ServerKinds[i]; kind.InitialCapacity.Lo > 0 {
			settings.Rules.SlowStartShare = min(settings.Rules.SlowStartShare, kind.InitialCapacity.Lo)
			settings.Rules.SlowStartWindow = max(settings.Rules.SlowStartWindow, kind.WarmUpDuration)
		}
	}
	return settings
}

func classSettings(class *script.Class) policy.Class {
	idempotency := map[string]policy.Idempotency{
		script.Idempotent: policy.Idempotent, script.IdempotencyKeyed: policy.IdempotencyKeyed,
		script.NonIdempotent: policy.NonIdempotent,
	}
	scopes := map[string]policy.DedupScope{
		"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
	}
	return policy.Class{
		Name: class.Name, LatencyObjective: class.LatencyObjective, Deadline: class.Deadline,
		PriorityWeight: 1, LateWeightFraction: class.LateWeightFraction,
		Idempotency: idempotency[class.Idempotency],
		DedupScope:  scopes[class.DedupScope], DedupWindow: class.DedupWindow,
	}
}

// NodeSettings returns the settings of one node, with its index and zone.
func (p *Plan) NodeSettings(node int) policy.Settings {
	settings := p.Settings
	settings.Node, settings.Zone = node, p.Nodes[node].Zone
	return settings
}

// DedupTable returns the name of the table in which server looks up the idempotency keys of class. window is the time
// for which the table remembers a key.
func (p *Plan) DedupTable(class string, server *Server) (name string, window time.Duration) {
	for i := range p.Settings.Classes {
		settings := &p.Settings.Classes[i]
		if settings.Name != class {
			continue
		}
		switch settings.DedupScope {
		case policy.DedupZone:
			class += "/" + server.Zone
		case policy.DedupCell:
			class += fmt.Sprintf("/%s/%d", server.Zone, server.Cell)
		}
		return class, settings.DedupWindow
	}
	return class, 0
}
