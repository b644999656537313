package simprotocol

import (
	"fmt"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// maxLists is the number of endpoint lists that the protocol can store. The lists are numbered from 0.
const maxLists = 16

func (d *Decoder) listIndex(args *args, i int) int {
	n := args.int(i, "buffer")
	if args.err == nil && (n < 0 || n >= maxLists) {
		args.fail("buffer", "want 0 to %d, got %d", maxLists-1, n)
		return 0
	}
	return n
}

func (d *Decoder) storeList(args *args) error {
	n := d.listIndex(args, 0)
	records := args.required(1, "records", fastjson.TypeArray)
	if args.err != nil {
		return args.err
	}
	// Instances may still read the previous slice, so each list gets a new slice.
	endpoints := make([]policy.Endpoint, 0, len(records.GetArray()))
	for i, record := range records.GetArray() {
		endpoint, err := d.parseEndpoint(record)
		if err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	d.endpointLists[n], d.received[n] = endpoints, true
	return nil
}

func (d *Decoder) parseEndpoint(value *fastjson.Value) (policy.Endpoint, error) {
	if value.Type() != fastjson.TypeArray {
		return policy.Endpoint{}, fmt.Errorf("entry: want an array, got %s", value.Type())
	}
	args := args{values: value.GetArray(), decoder: d}
	endpoint := policy.Endpoint{
		OnlineSince: args.optMillis(0, "onlineSince"), Weight: 1, Kind: args.optInternedStr(3, "classOfHost"),
		Zone: args.optInternedStr(4, "campus"), Server: args.internedStr(6, "server"),
	}
	switch state := args.internedStr(1, "availability"); state {
	case "Running":
	case "Stopping":
		endpoint.Availability = policy.Draining
	case "Deleted":
		endpoint.Availability = policy.Removed
	default:
		args.fail("availability", "unknown state %q", state)
	}
	if weight := args.optional(2, "weight", fastjson.TypeNumber); weight != nil {
		endpoint.Weight = weight.GetFloat64()
	}
	if cell := args.optional(5, "cluster", fastjson.TypeNumber); cell != nil {
		endpoint.Cell = policy.NewCell(cell.GetInt64())
	}
	return endpoint, args.err
}

var listKinds = map[string]policy.ListKind{
	"replace": policy.ListReplace, "update": policy.ListUpdate,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

func (d *Decoder) endpointListEvent(args *args) (policy.EndpointList, error) {
	how := args.internedStr(1, "how")
	kind, ok := listKinds[how]
	if args.err == nil && !ok {
		args.fail("how", "unknown kind %q", how)
	}
	if args.err != nil || kind == policy.ListUnavailable {
		return policy.EndpointList{Kind: kind}, args.err
	}
	n := d.listIndex(args, 3)
	if args.err == nil && !d.received[n] {
		args.fail("buffer", "list %d was never sent", n)
	}
	return policy.EndpointList{Kind: kind, Endpoints: d.endpointLists[n]}, args.err
}
