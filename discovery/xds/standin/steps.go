package standin

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
)

const (
	unlimited            = math.MaxInt // unlimited number of arguments
	maxManyEndpoints     = 1 << 20     // maximum number of endpoints in the step "many"
	maxFloodRate         = 1000        // maximum updates per second
	maxDuration          = time.Hour
	wantNoArguments      = "no arguments"
	millionthsPerPercent = 1e4 // factor from a percentage to a numerator with denominator MILLION
)

// stepArgs contains the arguments of a step.
type stepArgs struct {
	words []string
	text  string // all arguments as written in the script
}

// checkCount returns an error unless the number of arguments is from minCount to maxCount. usage describes the
// arguments in the error.
func (a stepArgs) checkCount(minCount, maxCount int, usage string) error {
	if len(a.words) < minCount || len(a.words) > maxCount {
		return fmt.Errorf("want %s", usage)
	}
	return nil
}

// stepParsers contains the parser of each step, by first word of the step.
var stepParsers = map[string]func(stepArgs) (action, error){
	"cluster":   parseCluster,
	"endpoints": parseEndpoints,
	"many":      parseMany,
	"drop":      parseDrop,
	"push":      parsePush,
	"withdraw":  parseWithdraw,
	"stall":     func(args stepArgs) (action, error) { return parseMute(args, true) },
	"answer":    func(args stepArgs) (action, error) { return parseMute(args, false) },
	"close":     parseClose,
	"refuse":    parseRefuse,
	"accept":    parseAccept,
	"again":     parseAgain,
	"order":     parseOrder,
	"version":   parseVersion,
	"nonce":     parseNonce,
	"flood":     parseFlood,
	"wait":      parseWait,
	"expect":    parseExpect,
}

// stageResource returns an action that stages a resource for the next push.
func stageResource(message proto.Message) action {
	return func(_ context.Context, run *scriptRun) error {
		run.staged = append(run.staged, proto.Clone(message))
		return nil
	}
}

// controlPlaneAction returns an action that changes the control plane and never fails.
func controlPlaneAction(do func(*ControlPlane)) action {
	return func(_ context.Context, run *scriptRun) error {
		do(run.controlPlane)
		return nil
	}
}

func parseCluster(args stepArgs) (action, error) {
	if err := args.checkCount(1, 2, "NAME [SERVICE]"); err != nil {
		return nil, err
	}
	cluster := &xdspb.Cluster{
		Name:                 args.words[0],
		ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS},
	}
	if len(args.words) == 2 {
		cluster.EdsClusterConfig = &xdspb.Cluster_EdsClusterConfig{ServiceName: args.words[1]}
	}
	return stageResource(cluster), nil
}

func parseEndpoints(args stepArgs) (action, error) {
	const usage = "CLUSTER [ADDRESS[/zone=Z,priority=N,weight=N,health=H,kind=K,cell=N,started=MS]] ..."
	if err := args.checkCount(1, unlimited, usage); err != nil {
		return nil, err
	}
	assignment, err := ParseAssignment(args.words[0], args.words[1:])
	if err != nil {
		return nil, err
	}
	return stageResource(assignment), nil
}

func parseMany(args stepArgs) (action, error) {
	assignment, err := parseManyAssignment(args)
	if err != nil {
		return nil, err
	}
	return stageResource(assignment), nil
}

// parseManyAssignment returns an assignment with the requested number of addresses, starting at 10.0.0.0.
func parseManyAssignment(args stepArgs) (*xdspb.ClusterLoadAssignment, error) {
	if err := args.checkCount(3, 4, "CLUSTER COUNT PORT [HEALTH]"); err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(args.words[1])
	if err != nil || count < 0 || count > maxManyEndpoints {
		return nil, fmt.Errorf("want a count of at most %d, got %q", maxManyEndpoints, args.words[1])
	}
	health := ""
	if len(args.words) == 4 {
		health = "/health=" + args.words[3]
	}
	texts := make([]string, count)
	for i := range texts {
		texts[i] = fmt.Sprintf("10.%d.%d.%d:%s%s", i>>16&255, i>>8&255, i&255, args.words[2], health)
	}
	return ParseAssignment(args.words[0], texts)
}

// parseDrop parses the drop overload for the last staged assignment.
func parseDrop(args stepArgs) (action, error) {
	if err := args.checkCount(1, 1, "PERCENT%"); err != nil {
		return nil, err
	}
	percent, err := strconv.ParseFloat(strings.TrimSuffix(args.words[0], "%"), 64)
	if err != nil || percent < 0 || percent > 100 {
		return nil, fmt.Errorf("want 0%% to 100%%, got %q", args.words[0])
	}
	policy := &xdspb.ClusterLoadAssignment_Policy{
		DropOverloads: []*xdspb.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "script",
			DropPercentage: &xdspb.FractionalPercent{
				Numerator:   uint32(percent * millionthsPerPercent),
				Denominator: xdspb.FractionalPercent_MILLION,
			},
		}},
	}
	return func(_ context.Context, run *scriptRun) error {
		for _, message := range slices.Backward(run.staged) {
			if assignment, ok := message.(*xdspb.ClusterLoadAssignment); ok {
				assignment.Policy = policy
				return nil
			}
		}
		return errors.New("no endpoints are staged")
	}, nil
}

func parsePush(args stepArgs) (action, error) {
	return func(_ context.Context, run *scriptRun) error {
		now := time.Now()
		run.controlPlane.Set(run.staged...)
		run.staged = nil
		_, err := fmt.Fprintln(run.out, "pushed", now.UnixNano())
		return err
	}, args.checkCount(0, 0, wantNoArguments)
}

func parseWithdraw(args stepArgs) (action, error) {
	urls := map[string]string{"cluster": resource.ClusterURL, "endpoints": resource.AssignmentURL}
	if len(args.words) != 2 || urls[args.words[0]] == "" {
		return nil, errors.New("want cluster NAME or endpoints NAME")
	}
	return controlPlaneAction(func(p *ControlPlane) { p.Remove(urls[args.words[0]], args.words[1]) }), nil
}

func parseMute(args stepArgs, on bool) (action, error) {
	urls := map[string]string{"clusters": resource.ClusterURL, "endpoints": resource.AssignmentURL}
	var muted []string
	for _, word := range args.words {
		if urls[word] == "" {
			return nil, fmt.Errorf("want clusters, endpoints or nothing, got %q", word)
		}
		muted = append(muted, urls[word])
	}
	return controlPlaneAction(func(p *ControlPlane) { p.SetMuted(on, muted...) }), nil
}

func parseClose(args stepArgs) (action, error) {
	code, err := parseCode(args)
	return controlPlaneAction(func(p *ControlPlane) { p.CloseStreams(code) }), err
}

func parseRefuse(args stepArgs) (action, error) {
	code, err := parseCode(args)
	return controlPlaneAction(func(p *ControlPlane) { p.RejectStreams(code) }), err
}

func parseAccept(args stepArgs) (action, error) {
	accept := controlPlaneAction(func(p *ControlPlane) { p.RejectStreams(codes.OK) })
	return accept, args.checkCount(0, 0, wantNoArguments)
}

func parseAgain(args stepArgs) (action, error) {
	return controlPlaneAction((*ControlPlane).ResendLast), args.checkCount(0, 0, wantNoArguments)
}

func parseOrder(args stepArgs) (action, error) {
	const clustersFirst, endpointsFirst = "clusters-first", "endpoints-first"
	if len(args.words) != 1 || args.words[0] != clustersFirst && args.words[0] != endpointsFirst {
		return nil, fmt.Errorf("want %s or %s", clustersFirst, endpointsFirst)
	}
	return controlPlaneAction(func(p *ControlPlane) {
		p.changeFaults(func(f *faults) { f.endpointsFirst = args.words[0] == endpointsFirst })
	}), nil
}

func parseVersion(args stepArgs) (action, error) {
	return controlPlaneAction(func(p *ControlPlane) {
		p.changeFaults(func(f *faults) { f.versionOverride = args.text })
	}), args.checkCount(0, 1, "a VERSION, or nothing for the real one")
}

func parseNonce(args stepArgs) (action, error) {
	return controlPlaneAction(func(p *ControlPlane) {
		p.changeFaults(func(f *faults) { f.nonceOverride = args.text })
	}), args.checkCount(1, 1, "a NONCE")
}

func parseWait(args stepArgs) (action, error) {
	if err := args.checkCount(1, 1, "a duration, e.g. 2s"); err != nil {
		return nil, err
	}
	d, err := parseDuration(args.words[0])
	return func(ctx context.Context, _ *scriptRun) error { return sleep(ctx, d) }, err
}

// parseCode returns the gRPC status code in args. The default is UNAVAILABLE.
func parseCode(args stepArgs) (codes.Code, error) {
	if len(args.words) == 0 {
		return codes.Unavailable, nil
	}
	var code codes.Code
	if err := code.UnmarshalJSON([]byte(strconv.Quote(args.words[0]))); err != nil || len(args.words) > 1 {
		return code, fmt.Errorf("want a gRPC status code, e.g. RESOURCE_EXHAUSTED, got %q", args.text)
	}
	return code, nil
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxDuration {
		return 0, fmt.Errorf("want a duration of at most 1h, e.g. 2s, got %q", text)
	}
	return d, nil
}

// parseFlood parses a flood of updates. Each update replaces all endpoints of a cluster.
func parseFlood(args stepArgs) (action, error) {
	if err := args.checkCount(4, 5, "CLUSTER COUNT TIMES_A_SECOND FOR [HEALTH]"); err != nil {
		return nil, err
	}
	rate, err := strconv.Atoi(args.words[2])
	if err != nil || rate < 1 || rate > maxFloodRate {
		return nil, fmt.Errorf("want 1 to %d times a second, got %q", maxFloodRate, args.words[2])
	}
	length, err := parseDuration(args.words[3])
	if err != nil {
		return nil, err
	}
	var versions [2]proto.Message // created once to keep the cost of an update low
	for i, port := range []string{"1000", "1001"} {
		words := append([]string{args.words[0], args.words[1], port}, args.words[4:]...)
		if versions[i], err = parseManyAssignment(stepArgs{words: words}); err != nil {
			return nil, err
		}
	}
	return func(ctx context.Context, run *scriptRun) error {
		if len(run.staged) > 0 {
			return errors.New("staged resources are not pushed yet: push first")
		}
		return flood(ctx, run.controlPlane, versions, rate, length)
	}, nil
}

// flood alternately sets two versions of a resource, rate times per second, for the given length of time.
func flood(ctx context.Context, p *ControlPlane, versions [2]proto.Message, rate int, length time.Duration) error {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		p.Set(versions[i%2])
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// parseExpect parses an expectation: a condition on the actions of clients, and the time within which the condition
// must hold.
func parseExpect(args stepArgs) (action, error) {
	const usage = `acks N, streams N, or nack TEXT, then "within TIME"`
	conditionText, within, ok := strings.Cut(args.text, " within ")
	if !ok {
		return nil, fmt.Errorf("want %s", usage)
	}
	limit, err := parseDuration(strings.TrimSpace(within))
	if err != nil {
		return nil, err
	}
	kind, value, _ := strings.Cut(strings.TrimSpace(conditionText), " ")
	condition := parseCondition(kind, strings.TrimSpace(value))
	if condition == nil {
		return nil, fmt.Errorf("want %s", usage)
	}
	return func(_ context.Context, run *scriptRun) error {
		if p := run.controlPlane; !p.Await(limit, condition) {
			return fmt.Errorf("not met: %d streams, %d ACKs, NACKs %q",
				p.Streams.Load(), p.Acks.Load(), p.Nacks())
		}
		return nil
	}, nil
}

// parseCondition returns a condition on the actions of clients, or nil if kind or value is invalid.
func parseCondition(kind, value string) func(*ControlPlane) bool {
	n, err := strconv.ParseInt(value, 10, 64)
	switch {
	case kind == "acks" && err == nil:
		return func(p *ControlPlane) bool { return p.Acks.Load() >= n }
	case kind == "streams" && err == nil:
		return func(p *ControlPlane) bool { return p.Streams.Load() >= n }
	case kind == "nack" && value != "":
		return func(p *ControlPlane) bool {
			return slices.ContainsFunc(p.Nacks(), func(reason string) bool { return strings.Contains(reason, value) })
		}
	default:
		return nil
	}
}
