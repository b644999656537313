// Package simprotocol translates between the simulator's line protocol and the types of package policy.
// It decides nothing.
package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// Kind tells the lines of the wire apart.
type Kind uint8

// The kinds of line.
const (
	BatchStart Kind = iota // opens a batch: Now is set
	BatchEnd               // closes a batch
	ListStored             // a list was kept under its number; nothing to route
	Configure              // Node, Seed and Settings are set
	Shutdown               // Node is set
	Event                  // Node and Event are set
)

// Line is one decoded line.
type Line struct {
	Kind     Kind
	Now      policy.Time
	Node     int
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// lists is how many list numbers the wire has.
const lists = 16

// maxInterned bounds the table of shared strings, in entries; servers come and go for ever.
const maxInterned = 1 << 14

// Decoder reads lines. It keeps the lists that the wire sends once for all instances.
// The zero value is ready to use.
type Decoder struct {
	parser fastjson.Parser
	lists  [lists][]policy.Endpoint
	known  [lists]bool
	names  map[string]string
}

// Decode reads one line. Errors name the message and the field.
func (d *Decoder) Decode(line []byte) (Line, error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return Line{}, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	if v.Type() != fastjson.TypeArray {
		return Line{}, fmt.Errorf("message: want an array, got %s", v.Type())
	}
	vals := v.GetArray()
	if len(vals) == 0 || vals[0].Type() != fastjson.TypeString {
		return Line{}, fmt.Errorf("message: want a name first")
	}
	f := fields{vals: vals[1:], d: d}
	name := string(vals[0].GetStringBytes())
	l, err := d.message(name, &f)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return Line{}, fmt.Errorf("%s: %w", plain(name), err)
	}
	return l, nil
}

func (d *Decoder) message(name string, f *fields) (Line, error) {
	switch name {
	case "mark":
		return Line{Kind: BatchStart, Now: f.ms(0, "clock")}, nil
	case "eob":
		return Line{Kind: BatchEnd}, nil
	case "list":
		return Line{Kind: ListStored}, d.store(f)
	}
	l := Line{Kind: Event, Node: f.int(0, "node")}
	switch name {
	case "configure":
		l.Kind, l.Seed = Configure, f.uint(1, "randomSeed")
		conf := f.need(2, "conf", fastjson.TypeObject)
		if conf == nil {
			return l, nil
		}
		s, err := settings(conf)
		if err != nil {
			return l, fmt.Errorf("conf: %w", err)
		}
		l.Settings = s
	case "shutdown":
		l.Kind = Shutdown
	case "ingress":
		l.Event = f.request()
	case "completed":
		l.Event = f.outcome()
	case "reminder":
		l.Event = policy.Timer{Token: f.uint(1, "token")}
	case "lapsed":
		l.Event = policy.ClientGone{ID: f.str(1, "ticket")}
	case "headers":
		l.Event = policy.FirstByte{
			ID: f.str(1, "ticket"), Attempt: f.int(2, "roundNo"),
			Latency: f.ms(3, "waitTime"), Server: f.name(4, "server"),
		}
	case "healthResult":
		l.Event = policy.ProbeResult{
			Latency: f.ms(1, "waitTime"), Code: f.code(2),
			Server: f.name(3, "server"), LoadReport: f.report(4),
		}
	case "neighbourSays":
		l.Event = policy.PeerMessage{From: f.int(1, "from"), Body: f.str(2, "body")}
	case "peersKnown":
		ev, err := d.members(f)
		if err != nil {
			return l, err
		}
		l.Event = ev
	default:
		return l, fmt.Errorf("unknown message")
	}
	return l, nil
}

func (f *fields) request() policy.Request {
	return policy.Request{
		ID: f.str(1, "ticket"), Class: f.name(2, "cls"), Tenant: f.optName(3, "team"),
		Key: f.optStr(4, "object"), ExpiresIn: f.ms(5, "expiresIn"), CostHint: f.optMs(6, "effort"),
		Retry: f.optBool(7, "isRetry"), Write: f.optBool(8, "update"),
	}
}

func (f *fields) outcome() policy.Outcome {
	return policy.Outcome{
		ID: f.str(1, "ticket"), Attempt: f.int(2, "roundNo"), Server: f.name(3, "server"),
		Code: f.code(4), Latency: f.ms(5, "waitTime"), Answered: f.optBool(6, "doneFlag"), LoadReport: f.report(7),
	}
}

var codes = map[string]policy.Code{
	"done": policy.OK, "err": policy.ServerError, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset,
	"ecanceled": policy.Cancelled, "skipped": policy.Superseded,
}

func (f *fields) code(i int) policy.Code {
	s := f.name(i, "rc")
	c, ok := codes[s]
	if !ok {
		f.fail("rc", "unknown outcome code %q", s)
	}
	return c
}

func (d *Decoder) listNumber(f *fields, i int) int {
	n := f.int(i, "buffer")
	if f.err == nil && (n < 0 || n >= lists) {
		f.fail("buffer", "want 0 to %d, got %d", lists-1, n)
		return 0
	}
	return n
}

func (d *Decoder) store(f *fields) error {
	n := d.listNumber(f, 0)
	recs := f.need(1, "records", fastjson.TypeArray)
	if f.err != nil {
		return f.err
	}
	// A new slice each time: instances keep reading the old one.
	entries := make([]policy.Endpoint, 0, len(recs.GetArray()))
	for i, r := range recs.GetArray() {
		m, err := d.member(r)
		if err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
		entries = append(entries, m)
	}
	d.lists[n], d.known[n] = entries, true
	return nil
}

func (d *Decoder) member(v *fastjson.Value) (policy.Endpoint, error) {
	if v.Type() != fastjson.TypeArray {
		return policy.Endpoint{}, fmt.Errorf("entry: want an array, got %s", v.Type())
	}
	f := fields{vals: v.GetArray(), d: d}
	m := policy.Endpoint{
		OnlineSince: f.optMs(0, "onlineSince"), Weight: 1, Kind: f.optName(3, "classOfHost"),
		Zone: f.optName(4, "campus"), Server: f.name(6, "server"),
	}
	switch s := f.name(1, "availability"); s {
	case "Running":
	case "Stopping":
		m.Availability = policy.Draining
	case "Deleted":
		m.Availability = policy.Removed
	default:
		f.fail("availability", "unknown state %q", s)
	}
	if w := f.opt(2, "weight", fastjson.TypeNumber); w != nil {
		m.Weight = w.GetFloat64()
	}
	if c := f.opt(5, "cluster", fastjson.TypeNumber); c != nil {
		m.Cell = c.GetInt64()
	}
	return m, f.err
}

var listKinds = map[string]policy.ListKind{
	"replace": policy.ListReplace, "update": policy.ListUpdate,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

func (d *Decoder) members(f *fields) (policy.EndpointList, error) {
	how := f.name(1, "how")
	kind, ok := listKinds[how]
	if f.err == nil && !ok {
		f.fail("how", "unknown kind %q", how)
	}
	if f.err != nil || kind == policy.ListUnavailable {
		return policy.EndpointList{Kind: kind}, f.err
	}
	n := d.listNumber(f, 3)
	if f.err == nil && !d.known[n] {
		f.fail("buffer", "list %d was never sent", n)
	}
	return policy.EndpointList{Kind: kind, Endpoints: d.lists[n]}, f.err
}

// fields reads the values of a message by place, keeping the first error.
type fields struct {
	vals []*fastjson.Value
	d    *Decoder
	err  error
}

func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

// opt returns the value in place i, or nil where it is absent or null.
func (f *fields) opt(i int, field string, want fastjson.Type) *fastjson.Value {
	if i >= len(f.vals) || f.vals[i].Type() == fastjson.TypeNull {
		return nil
	}
	v := f.vals[i]
	if v.Type() != want {
		f.fail(field, "want %s, got %s", want, v.Type())
		return nil
	}
	return v
}

func (f *fields) need(i int, field string, want fastjson.Type) *fastjson.Value {
	v := f.opt(i, field, want)
	if v == nil {
		f.fail(field, "missing")
	}
	return v
}

func (f *fields) str(i int, field string) string { return text(f.need(i, field, fastjson.TypeString)) }

func (f *fields) optStr(i int, field string) string {
	return text(f.opt(i, field, fastjson.TypeString))
}

func text(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// name reads a string that comes again and again, without a copy for each.
func (f *fields) name(i int, field string) string {
	return f.d.intern(f.need(i, field, fastjson.TypeString))
}

func (f *fields) optName(i int, field string) string {
	return f.d.intern(f.opt(i, field, fastjson.TypeString))
}

func (d *Decoder) intern(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	b := v.GetStringBytes()
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	if d.names == nil || len(d.names) >= maxInterned {
		d.names = make(map[string]string)
	}
	s := string(b)
	d.names[s] = s
	return s
}

func (f *fields) int(i int, field string) int {
	v := f.need(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Int()
	if err != nil {
		f.fail(field, "want a whole number, got %s", v)
	}
	return n
}

func (f *fields) uint(i int, field string) uint64 {
	v := f.need(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil {
		f.fail(field, "want a whole number of 0 or more, got %s", v)
	}
	return n
}

func (f *fields) ms(i int, field string) time.Duration {
	return f.span(f.need(i, field, fastjson.TypeNumber), field)
}

func (f *fields) optMs(i int, field string) time.Duration {
	return f.span(f.opt(i, field, fastjson.TypeNumber), field)
}

func (f *fields) span(v *fastjson.Value, field string) time.Duration {
	if v == nil {
		return 0
	}
	ms := v.GetFloat64()
	if ms != ms || math.Abs(ms) > maxMs {
		f.fail(field, "out of range: %s", v)
		return 0
	}
	return millis(ms)
}

// maxMs is the longest time read, in milliseconds (about 146 years): half of what a Duration holds.
const maxMs = math.MaxInt64 / 2e6

// millis turns the wire's milliseconds into a Duration, in the wire's own grain of microseconds.
func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

func (f *fields) optBool(i int, field string) bool {
	if i >= len(f.vals) {
		return false
	}
	switch f.vals[i].Type() {
	case fastjson.TypeTrue:
		return true
	case fastjson.TypeFalse, fastjson.TypeNull:
		return false
	}
	f.fail(field, "want a bool, got %s", f.vals[i].Type())
	return false
}

func (f *fields) report(i int) []float64 {
	v := f.opt(i, "metrics", fastjson.TypeArray)
	if v == nil {
		return nil
	}
	row := make([]float64, 0, len(v.GetArray()))
	for _, x := range v.GetArray() {
		n := math.NaN() // a value that is absent
		if x.Type() == fastjson.TypeNumber {
			n = x.GetFloat64()
		} else if x.Type() != fastjson.TypeNull {
			f.fail("metrics", "want numbers, got %s", x.Type())
		}
		row = append(row, n)
	}
	return row
}

// plain keeps a message's name to one plain line of bounded length, whatever it holds.
func plain(name string) string {
	const most = 60 // bytes; the wire's own names are shorter
	q := strings.Trim(strconv.Quote(name), `"`)
	return q[:min(len(q), most)]
}

// firstLine keeps a parser's error to one plain line of bounded length.
func firstLine(err error) error {
	const most = 200 // bytes; a parser may quote a whole line
	s := err.Error()
	for i := 0; i < len(s); i++ {
		if s[i] == '\n' || i == most {
			return fmt.Errorf("%s", s[:i])
		}
	}
	return err
}
