package simprotocol

import (
	"fmt"
	"math"
	"time"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// object reads the keys of a JSON object, keeping the first error. Keys it is not asked for are
// skipped, and an absent key leaves the zero value.
type object struct {
	v    *fastjson.Value
	path string
	err  *error
}

func (o object) get(key string, want ...fastjson.Type) *fastjson.Value {
	v := o.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, t := range want {
		if v.Type() == t {
			return v
		}
	}
	o.fail(key, fmt.Sprintf("want %s, got %s", want[0], v.Type()))
	return nil
}

func (o object) fail(key, what string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: %s", o.path, key, what)
	}
}

func (o object) sub(key string) object {
	return object{v: o.get(key, fastjson.TypeObject), path: o.path + key + ".", err: o.err}
}

func (o object) each(key string, do func(object)) {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return
	}
	for i, e := range v.GetArray() {
		at := fmt.Sprintf("%s%s[%d]", o.path, key, i)
		if e.Type() != fastjson.TypeObject {
			object{path: at, err: o.err}.fail("", "want object, got "+e.Type().String())
			return
		}
		do(object{v: e, path: at + ".", err: o.err})
	}
}

func (o object) num(key string) float64 {
	if v := o.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

func (o object) whole(key string) int {
	n := o.num(key)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		o.fail(key, "want a whole number")
		return 0
	}
	return int(n)
}

func (o object) ms(key string) time.Duration {
	n := o.num(key)
	if math.Abs(n) > maxMs {
		o.fail(key, "out of range")
		return 0
	}
	return millis(n)
}

func (o object) strs(key string) []string {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return nil
	}
	var all []string
	for i, e := range v.GetArray() {
		if e.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", key, i), "want string, got "+e.Type().String())
			return nil
		}
		all = append(all, text(e))
	}
	return all
}

func (o object) str(key string) string { return text(o.get(key, fastjson.TypeString)) }

func (o object) flag(key string) bool {
	v := o.get(key, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.Type() == fastjson.TypeTrue
}

// word looks a string up in a table; absent means the table's entry for "".
func word[T any](o object, key string, table map[string]T) T {
	s := o.str(key)
	t, ok := table[s]
	if !ok {
		o.fail(key, fmt.Sprintf("unknown word %q", s))
	}
	return t
}

var (
	repeats = map[string]policy.Idempotency{
		"": policy.NonIdempotent, "single_shot": policy.NonIdempotent,
		"guarded": policy.IdempotencyKeyed, "free": policy.Idempotent,
	}
	groups = map[string]policy.DedupScope{
		"": policy.DedupCell, "cell": policy.DedupCell,
		"zone": policy.DedupZone, "all": policy.DedupAll,
	}
	modes  = map[string]bool{"": false, "automatic": false, "subscribe": true}
	worths = map[string]bool{"": false, "request": false, "work": true}
)

// ParseSettings reads the settings object on its own, as a node's configuration holds it.
func ParseSettings(raw []byte) (policy.Settings, error) {
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	if v.Type() != fastjson.TypeObject {
		return policy.Settings{}, fmt.Errorf("want an object, got %s", v.Type())
	}
	return settings(v)
}

// settings reads the object of a configure message.
func settings(conf *fastjson.Value) (policy.Settings, error) {
	var err error
	o := object{v: conf, err: &err}
	s := policy.Settings{
		Node: o.whole("position"), Nodes: o.whole("groupSize"), Zone: o.str("zone"),
		Subscribe:   word(o, "registryMode", modes),
		KeyAffinity: o.sub("familyInfo").flag("warmKeys"), WeightByWork: word(o, "worthBy", worths),
	}
	o.each("services", func(c object) {
		s.Classes = append(s.Classes, policy.Class{
			Name: c.str("name"), LatencyObjective: c.ms("aim"), ObjectiveWorkFactor: c.num("aimStretch"), Deadline: c.ms("deadline"),
			Idempotency: word(c, "repeat", repeats), DedupScope: word(c, "group", groups), DedupWindow: c.ms("window"),
			LateWeightFraction: c.num("lateWorth"), PriorityWeight: c.num("value"), Stream: c.flag("stream"),
			Kinds: c.strs("servedOn"), Zones: c.strs("localitiesOnly"),
		})
	})
	o.each("tenants", func(t object) {
		s.Tenants = append(s.Tenants, policy.Tenant{
			Name: t.str("name"), Quota: t.num("quotaRps"), Share: t.num("fraction"),
		})
	})
	lim := o.sub("limits")
	s.Capabilities = policy.Capabilities{
		Cancel: lim.flag("cancelling"), Hedge: lim.flag("secondCopies"), Probe: lim.flag("probes"),
		Peers: lim.flag("peerMessages"), RetryAfter: lim.flag("retryAfter"),
		MaxAttempts: lim.whole("maxAttempts"), MaxRetryAfter: lim.ms("maxRetryAfter"),
		ConnIdleTimeout: lim.ms("connIdle"),
	}
	g := o.sub("guarantees")
	s.Rules = policy.Rules{
		AnswerGrace: g.ms("graceToAnswer"), DrainGrace: g.ms("drainGrace"), SlowStartShare: g.num("coldShare"),
		SlowStartWindow: g.ms("cold"), OverloadFactor: g.num("fallMultiple"), OverloadDuration: g.ms("overloadFor"),
		MaxPollInterval: g.ms("mustAskIn"), RetryBudget: budget(g),
	}
	s.LoadReportFields = o.sub("report").strs("fields")
	return s, err
}

// budget reads the rule on further attempts, which holds where any of its figures is present.
func budget(g object) *policy.RetryBudget {
	number := fastjson.TypeNumber
	if g.get("minExtra", number) == nil && g.get("budgetShare", number) == nil && g.get("ratioSpan", number) == nil {
		return nil
	}
	return &policy.RetryBudget{MinRetries: g.num("minExtra"), RetryRatio: g.num("budgetShare"), Window: g.ms("ratioSpan")}
}
