package simprotocol

import (
	"fmt"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// The protocol's names for the values of enumerations.
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

// ParseSettings parses the JSON of a settings object, which a node's configuration contains.
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

// parseSettings parses a settings object, which a configure message contains.
func parseSettings(conf *fastjson.Value) (policy.Settings, error) {
	var err error
	root := object{value: conf, err: &err}
	settings := policy.Settings{
		Node: root.integer("position"), Nodes: root.integer("groupSize"), Zone: root.str("zone"),
		Subscribe:   enumValue(root, "registryMode", registryModes),
		KeyAffinity: root.object("familyInfo").boolean("warmKeys"), WeightByWork: enumValue(root, "worthBy", weightings),
	}
	root.forEach("services", func(class object) { settings.Classes = append(settings.Classes, parseClass(class)) })
	root.forEach("tenants", func(tenant object) {
		settings.Tenants = append(settings.Tenants, policy.Tenant{
			Name: tenant.str("name"), Quota: tenant.number("quotaRps"), Share: tenant.number("fraction"),
		})
	})
	settings.Capabilities = parseCapabilities(root.object("limits"))
	settings.Rules = parseRules(root.object("guarantees"))
	settings.LoadReportFields = root.object("report").strs("fields")
	return settings, err
}

func parseClass(class object) policy.Class {
	return policy.Class{
		Name:                class.str("name"),
		LatencyObjective:    class.millis("aim"),
		ObjectiveWorkFactor: class.number("aimStretch"),
		Deadline:            class.millis("deadline"),
		Idempotency:         enumValue(class, "repeat", idempotencies),
		DedupScope:          enumValue(class, "group", dedupScopes),
		DedupWindow:         class.millis("window"),
		LateWeightFraction:  class.number("lateWorth"),
		PriorityWeight:      class.number("value"),
		Stream:              class.boolean("stream"),
		Kinds:               class.strs("servedOn"),
		Zones:               class.strs("localitiesOnly"),
	}
}

func parseCapabilities(limits object) policy.Capabilities {
	return policy.Capabilities{
		Cancel:          limits.boolean("cancelling"),
		Hedge:           limits.boolean("secondCopies"),
		Probe:           limits.boolean("probes"),
		Peers:           limits.boolean("peerMessages"),
		RetryAfter:      limits.boolean("retryAfter"),
		MaxAttempts:     limits.integer("maxAttempts"),
		MaxRetryAfter:   limits.millis("maxRetryAfter"),
		ConnIdleTimeout: limits.millis("connIdle"),
	}
}

func parseRules(guarantees object) policy.Rules {
	return policy.Rules{
		AnswerGrace:      guarantees.millis("graceToAnswer"),
		DrainGrace:       guarantees.millis("drainGrace"),
		SlowStartShare:   guarantees.number("coldShare"),
		SlowStartWindow:  guarantees.millis("cold"),
		OverloadFactor:   guarantees.number("fallMultiple"),
		OverloadDuration: guarantees.millis("overloadFor"),
		MaxPollInterval:  guarantees.millis("mustAskIn"),
		RetryBudget:      parseRetryBudget(guarantees),
	}
}

// parseRetryBudget returns the retry budget, or nil if all its fields are absent.
func parseRetryBudget(guarantees object) *policy.RetryBudget {
	isPresent := func(key string) bool { return guarantees.get(key, fastjson.TypeNumber) != nil }
	if !isPresent("minExtra") && !isPresent("budgetShare") && !isPresent("ratioSpan") {
		return nil
	}
	return &policy.RetryBudget{
		MinRetries: guarantees.number("minExtra"),
		RetryRatio: guarantees.number("budgetShare"),
		Window:     guarantees.millis("ratioSpan"),
	}
}
