package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Script is what a plane is to do, step by step. docs/xds.md has its words.
type Script struct{ steps []step }

type step struct {
	line int
	text string
	do   func(r *scriptRun) error
}

// scriptRun is one scriptRun of a script.
type scriptRun struct {
	ctx          context.Context
	controlPlane *ControlPlane
	out          io.Writer
	staged       []proto.Message
}

// ParseScript reads a script: a step on a line, # begins a remark. Errors name the line.
func ParseScript(in io.Reader) (*Script, error) {
	s := &Script{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		make, ok := stepParsers[words[0]]
		if !ok {
			return nil, fmt.Errorf("line %d: %s: no such step", n, words[0])
		}
		do, err := make(stepArgs{words[1:], strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(text), words[0]))})
		if err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", n, words[0], err)
		}
		s.steps = append(s.steps, step{n, strings.TrimSpace(text), do})
	}
	return s, lines.Err()
}

// Run has p do what the script says, and tells what it does on out. An expectation that is not met ends
// it, with an error that names the line. It may run at once with other uses of the plane.
func (s *Script) Run(ctx context.Context, p *ControlPlane, out io.Writer) error {
	r := &scriptRun{ctx: ctx, controlPlane: p, out: out}
	for _, st := range s.steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s line %d: %.100s\n", time.Now().Format("15:04:05.000"), st.line, st.text); err != nil {
			return err
		}
		if err := st.do(r); err != nil {
			return fmt.Errorf("line %d: %s: %w", st.line, st.text, err)
		}
	}
	return nil
}

type stepArgs struct {
	words []string
	text  string // all of them as they stand
}

// count says how many words a step takes.
func (a stepArgs) count(least, most int, form string) error {
	if len(a.words) < least || len(a.words) > most {
		return fmt.Errorf("want %s", form)
	}
	return nil
}

const unlimited = 1 << 30

// stepParsers makes the steps, by their first word.
var stepParsers = map[string]func(a stepArgs) (func(*scriptRun) error, error){
	"cluster": func(a stepArgs) (func(*scriptRun) error, error) {
		return parseStaged(a, 1, 2, "NAME [SERVICE]", func(a stepArgs) (proto.Message, error) {
			c := &xdspb.Cluster{Name: a.words[0], ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}}
			if len(a.words) == 2 {
				c.EdsClusterConfig = &xdspb.Cluster_EdsClusterConfig{ServiceName: a.words[1]}
			}
			return c, nil
		})
	},
	"endpoints": func(a stepArgs) (func(*scriptRun) error, error) {
		return parseStaged(a, 1, unlimited, "CLUSTER [ADDRESS[/zone=Z,priority=N,weight=N,health=H,kind=K,cell=N,started=MS]] ...", func(a stepArgs) (proto.Message, error) {
			return ParseAssignment(a.words[0], a.words[1:])
		})
	},
	"many": parseMany,
	"drop": func(a stepArgs) (func(*scriptRun) error, error) { // of the endpoints staged last
		if err := a.count(1, 1, "PERCENT%"); err != nil {
			return nil, err
		}
		n, err := strconv.ParseFloat(strings.TrimSuffix(a.words[0], "%"), 64)
		if err != nil || n < 0 || n > 100 {
			return nil, fmt.Errorf("want 0%% to 100%%, got %q", a.words[0])
		}
		return func(r *scriptRun) error {
			for _, m := range slices.Backward(r.staged) {
				if cla, ok := m.(*xdspb.ClusterLoadAssignment); ok {
					cla.Policy = &xdspb.ClusterLoadAssignment_Policy{DropOverloads: []*xdspb.ClusterLoadAssignment_Policy_DropOverload{{
						Category:       "script",
						DropPercentage: &xdspb.FractionalPercent{Numerator: uint32(n * 1e4), Denominator: xdspb.FractionalPercent_MILLION},
					}}}
					return nil
				}
			}
			return fmt.Errorf("no endpoints are staged")
		}, nil
	},
	"push": func(a stepArgs) (func(*scriptRun) error, error) {
		return func(r *scriptRun) error {
			at := time.Now()
			r.controlPlane.Set(r.staged...)
			r.staged = nil
			_, err := fmt.Fprintln(r.out, "pushed", at.UnixNano())
			return err
		}, a.count(0, 0, "nothing behind it")
	},
	"withdraw": func(a stepArgs) (func(*scriptRun) error, error) {
		urls := map[string]string{"cluster": resource.ClusterURL, "endpoints": resource.AssignmentURL}
		if len(a.words) != 2 || urls[a.words[0]] == "" {
			return nil, fmt.Errorf("want cluster NAME or endpoints NAME")
		}
		return func(r *scriptRun) error { r.controlPlane.Remove(urls[a.words[0]], a.words[1]); return nil }, nil
	},
	"stall":  func(a stepArgs) (func(*scriptRun) error, error) { return parseMute(a, true) },
	"answer": func(a stepArgs) (func(*scriptRun) error, error) { return parseMute(a, false) },
	"close": func(a stepArgs) (func(*scriptRun) error, error) {
		code, err := parseCode(a, codes.Unavailable)
		return func(r *scriptRun) error { r.controlPlane.CloseStreams(code); return nil }, err
	},
	"refuse": func(a stepArgs) (func(*scriptRun) error, error) {
		code, err := parseCode(a, codes.Unavailable)
		return func(r *scriptRun) error { r.controlPlane.RejectStreams(code); return nil }, err
	},
	"accept": func(a stepArgs) (func(*scriptRun) error, error) {
		return func(r *scriptRun) error { r.controlPlane.RejectStreams(codes.OK); return nil }, a.count(0, 0, "nothing behind it")
	},
	"again": func(a stepArgs) (func(*scriptRun) error, error) {
		return func(r *scriptRun) error { r.controlPlane.ResendLast(); return nil }, a.count(0, 0, "nothing behind it")
	},
	"order": func(a stepArgs) (func(*scriptRun) error, error) {
		if len(a.words) != 1 || a.words[0] != "clusters-first" && a.words[0] != "endpoints-first" {
			return nil, fmt.Errorf("want clusters-first or endpoints-first")
		}
		return func(r *scriptRun) error {
			r.controlPlane.changeFaults(func(b *faults) { b.endpointsFirst = a.words[0] == "endpoints-first" })
			return nil
		}, nil
	},
	"version": func(a stepArgs) (func(*scriptRun) error, error) {
		return func(r *scriptRun) error {
			r.controlPlane.changeFaults(func(b *faults) { b.shownVersion = a.text })
			return nil
		}, a.count(0, 1, "a VERSION, or none for its own")
	},
	"nonce": func(a stepArgs) (func(*scriptRun) error, error) {
		return func(r *scriptRun) error {
			r.controlPlane.changeFaults(func(b *faults) { b.nextNonce = a.text })
			return nil
		}, a.count(1, 1, "a NONCE")
	},
	"flood": parseFlood,
	"wait": func(a stepArgs) (func(*scriptRun) error, error) {
		if err := a.count(1, 1, "a time, as 2s"); err != nil {
			return nil, err
		}
		d, err := parseDuration(a.words[0])
		return func(r *scriptRun) error { return r.sleep(d) }, err
	},
	"expect": parseExpect,
}

// parseStaged puts a resource aside until the next push, or says at once that it can't be made.
func parseStaged(a stepArgs, least, most int, form string, build func(stepArgs) (proto.Message, error)) (func(*scriptRun) error, error) {
	if err := a.count(least, most, form); err != nil {
		return nil, err
	}
	if _, err := build(a); err != nil {
		return nil, err
	}
	return func(r *scriptRun) error {
		m, err := build(a)
		r.staged = append(r.staged, m)
		return err
	}, nil
}

func parseMute(a stepArgs, on bool) (func(*scriptRun) error, error) {
	types := map[string]string{"clusters": resource.ClusterURL, "endpoints": resource.AssignmentURL}
	var of []string
	for _, w := range a.words {
		if types[w] == "" {
			return nil, fmt.Errorf("want clusters, endpoints or nothing, got %q", w)
		}
		of = append(of, types[w])
	}
	return func(r *scriptRun) error { r.controlPlane.SetMuted(on, of...); return nil }, nil
}

func parseCode(a stepArgs, otherwise codes.Code) (code codes.Code, err error) {
	if len(a.words) == 0 {
		return otherwise, nil
	}
	if err := code.UnmarshalJSON([]byte(strconv.Quote(a.words[0]))); err != nil || len(a.words) > 1 {
		return code, fmt.Errorf("want a code of gRPC, as RESOURCE_EXHAUSTED, got %q", a.text)
	}
	return code, nil
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > time.Hour {
		return 0, fmt.Errorf("want a time of at most 1h, as 2s, got %q", s)
	}
	return d, nil
}

func (r *scriptRun) sleep(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// parseMany stages so many addresses, from 10.0.0.0 on.
func parseMany(a stepArgs) (func(*scriptRun) error, error) {
	return parseStaged(a, 3, 4, "CLUSTER COUNT PORT [HEALTH]", func(a stepArgs) (proto.Message, error) {
		count, err := strconv.Atoi(a.words[1])
		if err != nil || count < 0 || count > 1<<20 {
			return nil, fmt.Errorf("want a count of at most %d, got %q", 1<<20, a.words[1])
		}
		health := ""
		if len(a.words) == 4 {
			health = "/health=" + a.words[3]
		}
		all := make([]string, count)
		for i := range all {
			all[i] = fmt.Sprintf("10.%d.%d.%d:%s%s", i>>16&255, i>>8&255, i&255, a.words[2], health)
		}
		return ParseAssignment(a.words[0], all)
	})
}

// parseFlood replaces the endpoints of a cluster again and again, by others at every second turn.
func parseFlood(a stepArgs) (func(*scriptRun) error, error) {
	if err := a.count(4, 5, "CLUSTER COUNT TIMES_A_SECOND FOR [HEALTH]"); err != nil {
		return nil, err
	}
	rate, err := strconv.Atoi(a.words[2])
	if err != nil || rate < 1 || rate > 1000 {
		return nil, fmt.Errorf("want 1 to 1000 times a second, got %q", a.words[2])
	}
	length, err := parseDuration(a.words[3])
	if err != nil {
		return nil, err
	}
	var turns [2]func(*scriptRun) error
	for i, port := range []string{"1000", "1001"} {
		words := append([]string{a.words[0], a.words[1], port}, a.words[4:]...)
		if turns[i], err = parseMany(stepArgs{words: words}); err != nil {
			return nil, err
		}
	}
	return func(r *scriptRun) error {
		if len(r.staged) > 0 {
			return fmt.Errorf("push what is staged first")
		}
		var made [2]proto.Message // once, so that the flood's own cost is small
		for i := range made {
			if err := turns[i](r); err != nil {
				return err
			}
			made[i], r.staged = r.staged[0], nil
		}
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			r.controlPlane.Set(made[i%2])
			select {
			case <-tick.C:
			case <-r.ctx.Done():
				return r.ctx.Err()
			}
		}
		return nil
	}, nil
}

// parseExpect waits until something is true of what clients did.
func parseExpect(a stepArgs) (func(*scriptRun) error, error) {
	const form = `acks N, streams N, or nack TEXT, then "within TIME"`
	what, within, ok := strings.Cut(a.text, " within ")
	if !ok {
		return nil, fmt.Errorf("want %s", form)
	}
	limit, err := parseDuration(strings.TrimSpace(within))
	if err != nil {
		return nil, err
	}
	kind, rest, _ := strings.Cut(strings.TrimSpace(what), " ")
	rest = strings.TrimSpace(rest)
	var met func(p *ControlPlane) bool
	n, err := strconv.ParseInt(rest, 10, 64)
	switch {
	case kind == "acks" && err == nil:
		met = func(p *ControlPlane) bool { return p.Acks.Load() >= n }
	case kind == "streams" && err == nil:
		met = func(p *ControlPlane) bool { return p.Streams.Load() >= n }
	case kind == "nack" && rest != "":
		met = func(p *ControlPlane) bool {
			return slices.ContainsFunc(p.Nacks(), func(reason string) bool { return strings.Contains(reason, rest) })
		}
	default:
		return nil, fmt.Errorf("want %s", form)
	}
	return func(r *scriptRun) error {
		if !r.controlPlane.Await(limit, met) {
			return fmt.Errorf("not so: %d streams, %d acknowledged, refused for %q", r.controlPlane.Streams.Load(), r.controlPlane.Acks.Load(), r.controlPlane.Nacks())
		}
		return nil
	}, nil
}

// ParseAssignment makes a cluster's endpoints of texts.
func ParseAssignment(name string, texts []string) (*xdspb.ClusterLoadAssignment, error) {
	cla := &xdspb.ClusterLoadAssignment{ClusterName: name}
	type where struct {
		zone     string
		priority uint32
	}
	places := make(map[where]*xdspb.LocalityLbEndpoints)
	for _, text := range texts {
		host, options, _ := strings.Cut(text, "/")
		at, err := netip.ParseAddrPort(host)
		if err != nil {
			return nil, fmt.Errorf("want IP:port, got %q", host)
		}
		e := &xdspb.LbEndpoint{HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: &xdspb.Address{
			Address: &xdspb.Address_SocketAddress{SocketAddress: &xdspb.SocketAddress{
				Address:       at.Addr().String(),
				PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: uint32(at.Port())},
			}},
		}}}}
		var w where
		own := make(map[string]any)
		for _, option := range strings.FieldsFunc(options, func(c rune) bool { return c == ',' }) {
			key, value, _ := strings.Cut(option, "=")
			n, err := strconv.ParseUint(value, 10, 53)
			switch key {
			case "zone", "kind", "health":
				err = nil
			}
			if err != nil {
				return nil, fmt.Errorf("%s: want a number for %s, got %q", host, key, value)
			}
			switch key {
			case "zone":
				w.zone = value
			case "priority":
				w.priority = uint32(n)
			case "weight":
				e.LoadBalancingWeight = wrapperspb.UInt32(uint32(n))
			case "health":
				h, ok := xdspb.HealthStatus_value[value]
				if !ok {
					return nil, fmt.Errorf("%s: health: no such state: %q", host, value)
				}
				e.HealthStatus = xdspb.HealthStatus(h)
			case "kind":
				own["kind"] = value
			case "cell":
				own["cell"] = float64(n)
			case "started":
				own["started_ms"] = float64(n)
			default:
				return nil, fmt.Errorf("%s: no such option: %q", host, key)
			}
		}
		if len(own) > 0 {
			fields, err := structpb.NewStruct(own)
			if err != nil {
				return nil, err
			}
			e.Metadata = &xdspb.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: fields}}
		}
		l := places[w]
		if l == nil {
			l = &xdspb.LocalityLbEndpoints{Locality: &xdspb.Locality{Zone: w.zone}, Priority: w.priority}
			places[w] = l
			cla.Endpoints = append(cla.Endpoints, l)
		}
		l.LbEndpoints = append(l.LbEndpoints, e)
	}
	return cla, nil
}
