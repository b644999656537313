package simprotocol

import (
	"fmt"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// The protocol's words for values of enumerations.
var (
	idempotencies = map[string]policy.Idempotency{
		"": policy.NonIdempotent, "single_shot": policy.NonIdempotent,
		"guarded": policy.IdempotencyKeyed, "free": policy.Idempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"": policy.DedupCell, "cell": policy.DedupCell,
		"zone": policy.DedupZone, "all": policy.DedupAll,
	}
	registryModes = map[string]bool{"": false, "automatic": false, "subscribe": true}
	weightings    = map[string]bool{"": false, "request": false, "work": true}
)

// ParseSettings parses a settings object, as the configuration of a node contains it.
func ParseSettings(raw []byte) (policy.Settings, error) {
	conf, err := fastjson.ParseBytes(raw)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	if conf.Type() != fastjson.TypeObject {
		return policy.Settings{}, fmt.Errorf("want an object, got %s", conf.Type())
	}
	return parseSettings(conf)
}

// parseSettings parses the object of a configure message.
func parseSettings(conf *fastjson.Value) (policy.Settings, error) {
	var err error
	root := object{value: conf, err: &err}
	settings := policy.Settings{
		Node: root.integer("position"), Nodes: root.integer("groupSize"), Zone: root.text("zone"),
		Subscribe:   enum(root, "registryMode", registryModes),
		KeyAffinity: root.object("familyInfo").flag("warmKeys"), WeightByWork: enum(root, "worthBy", weightings),
	}
	root.each("services", func(class object) { settings.Classes = append(settings.Classes, parseClass(class)) })
	root.each("tenants", func(tenant object) {
		settings.Tenants = append(settings.Tenants, policy.Tenant{
			Name: tenant.text("name"), Quota: tenant.number("quotaRps"), Share: tenant.number("fraction"),
		})
	})
	settings.Capabilities = parseCapabilities(root.object("limits"))
	settings.Rules = parseRules(root.object("guarantees"))
	settings.LoadReportFields = root.object("report").texts("fields")
	return settings, err
}

func parseClass(class object) policy.Class {
	return policy.Class{
		Name:                class.text("name"),
		LatencyObjective:    class.ms("aim"),
		ObjectiveWorkFactor: class.number("aimStretch"),
		Deadline:            class.ms("deadline"),
		Idempotency:         enum(class, "repeat", idempotencies),
		DedupScope:          enum(class, "group", dedupScopes),
		DedupWindow:         class.ms("window"),
		LateWeightFraction:  class.number("lateWorth"),
		PriorityWeight:      class.number("value"),
		Stream:              class.flag("stream"),
		Kinds:               class.texts("servedOn"),
		Zones:               class.texts("localitiesOnly"),
	}
}

func parseCapabilities(limits object) policy.Capabilities {
	return policy.Capabilities{
		Cancel:          limits.flag("cancelling"),
		Hedge:           limits.flag("secondCopies"),
		Probe:           limits.flag("probes"),
		Peers:           limits.flag("peerMessages"),
		RetryAfter:      limits.flag("retryAfter"),
		MaxAttempts:     limits.integer("maxAttempts"),
		MaxRetryAfter:   limits.ms("maxRetryAfter"),
		ConnIdleTimeout: limits.ms("connIdle"),
	}
}

func parseRules(guarantees object) policy.Rules {
	return policy.Rules{
		AnswerGrace:      guarantees.ms("graceToAnswer"),
		DrainGrace:       guarantees.ms("drainGrace"),
		SlowStartShare:   guarantees.number("coldShare"),
		SlowStartWindow:  guarantees.ms("cold"),
		OverloadFactor:   guarantees.number("fallMultiple"),
		OverloadDuration: guarantees.ms("overloadFor"),
		MaxPollInterval:  guarantees.ms("mustAskIn"),
		RetryBudget:      parseRetryBudget(guarantees),
	}
}

// parseRetryBudget returns the limit of retries; nil if none of its figures is present.
func parseRetryBudget(guarantees object) *policy.RetryBudget {
	isPresent := func(key string) bool { return guarantees.get(key, fastjson.TypeNumber) != nil }
	if !isPresent("minExtra") && !isPresent("budgetShare") && !isPresent("ratioSpan") {
		return nil
	}
	return &policy.RetryBudget{
		MinRetries: guarantees.number("minExtra"),
		RetryRatio: guarantees.number("budgetShare"),
		Window:     guarantees.ms("ratioSpan"),
	}
}
