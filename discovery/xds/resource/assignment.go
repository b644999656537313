package resource

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/proto"
)

const (
	// MaxEndpoints is the maximum number of endpoints in one assignment.
	MaxEndpoints = 200_000

	maxPriority                    = 127
	defaultOverprovisioningPercent = 140 // Envoy's default
	percent                        = 100.0
	// yieldInterval is the number of endpoints after which the decoder of a large assignment may yield the processor.
	yieldInterval = 32
)

// Assignment contains the endpoints of a cluster. The field names are keys in the cached list on disk.
type Assignment struct {
	Name             string
	Endpoints        []Endpoint    // without duplicate addresses
	Drop             float64       // fraction of requests to drop, 0 to 1
	Overprovisioning float64       // factor by which the fraction of healthy endpoints is multiplied, e.g. 1.4
	StaleAfter       time.Duration // time after which an assignment expires unless renewed; 0: never
}

// ParseAssignment validates the endpoints of a cluster. One invalid endpoint rejects the whole assignment. The error
// names the endpoint and the field.
func ParseAssignment(message *xdspb.ClusterLoadAssignment) (*Assignment, error) {
	raw, err := proto.Marshal(message)
	if err != nil {
		return nil, errMalformed
	}
	_, assignment, err := DecodeAssignment(raw, nil)
	return assignment, err
}

// buildAssignment validates an assignment whose localities have been extracted from message. If pause is not nil, it
// is called every yieldInterval endpoints.
func buildAssignment(
	message *xdspb.ClusterLoadAssignment, localities []rawLocality, pause func(),
) (*Assignment, error) {
	if err := checkName("cluster_name", message.GetClusterName()); err != nil {
		return nil, err
	}
	builder := assignmentBuilder{
		assignment: &Assignment{
			Name:             message.GetClusterName(),
			Overprovisioning: defaultOverprovisioningPercent / percent,
		},
	}
	if err := builder.build(message, localities, pause); err != nil {
		return nil, fmt.Errorf("assignment %q: %w", message.GetClusterName(), err)
	}
	return builder.assignment, nil
}

// assignmentBuilder builds an assignment and rejects duplicate addresses.
type assignmentBuilder struct {
	assignment *Assignment
	addresses  map[string]bool // set of the addresses of the endpoints added so far
}

func (b *assignmentBuilder) build(
	message *xdspb.ClusterLoadAssignment, localities []rawLocality, pause func(),
) error {
	if err := b.assignment.applyPolicy(message.GetPolicy()); err != nil {
		return &fieldError{"policy", err}
	}
	total := 0
	for i := range localities {
		total += len(localities[i].endpoints)
	}
	if total > MaxEndpoints {
		return rejectField("endpoints", "%d of them, %d are allowed", total, MaxEndpoints)
	}
	b.assignment.Endpoints = make([]Endpoint, 0, total)
	b.addresses = make(map[string]bool, total)
	for i := range localities {
		if err := b.addLocality(i, &localities[i], pause); err != nil {
			return err
		}
	}
	return checkPriorities(localities)
}

// addLocality adds the endpoints of the locality with the given index. The weight of the locality is ignored. The
// load balancer weights individual servers and has separate rules for preferring zones.
func (b *assignmentBuilder) addLocality(index int, locality *rawLocality, pause func()) error {
	priority := locality.message.GetPriority()
	if priority > maxPriority {
		return rejectField(fmt.Sprintf("endpoints[%d].priority", index), "want at most %d, got %d", maxPriority, priority)
	}
	zone := zoneOf(locality.message.GetLocality())
	for i, raw := range locality.endpoints {
		if pause != nil && len(b.assignment.Endpoints)%yieldInterval == yieldInterval-1 {
			pause()
		}
		endpoint, err := decodeEndpoint(raw)
		if err == nil && b.addresses[endpoint.Addr] {
			err = rejectField("endpoint.address", "%s is there twice", endpoint.Addr)
		}
		if err != nil {
			return endpointError(index, i, err)
		}
		b.addresses[endpoint.Addr] = true
		endpoint.Zone, endpoint.Priority = zone, priority
		b.assignment.Endpoints = append(b.assignment.Endpoints, endpoint)
	}
	return nil
}

// endpointError adds the position of the endpoint to the rejected field in err.
func endpointError(locality, index int, err error) error {
	place := fmt.Sprintf("endpoints[%d].lb_endpoints[%d].", locality, index)
	var rejected *fieldError
	if errors.As(err, &rejected) {
		return &fieldError{place + rejected.field, rejected.err}
	}
	return &fieldError{place, err}
}

// checkPriorities rejects localities if a priority level below the highest number has no locality.
func checkPriorities(localities []rawLocality) error {
	highest, used := uint32(0), make(map[uint32]bool)
	for i := range localities {
		priority := localities[i].message.GetPriority()
		highest, used[priority] = max(highest, priority), true
	}
	for priority := range highest {
		if !used[priority] {
			return rejectField("endpoints", "priority %d is missing, though there is %d", priority, highest)
		}
	}
	return nil
}

// zoneOf returns the zone of a locality, or its region if it has no zone.
func zoneOf(locality *xdspb.Locality) string {
	if zone := locality.GetZone(); zone != "" {
		return zone
	}
	return locality.GetRegion()
}

// applyPolicy sets the options that apply to the whole assignment.
func (a *Assignment) applyPolicy(policy *xdspb.ClusterLoadAssignment_Policy) error {
	drop, err := dropFraction(policy.GetDropOverloads())
	if err != nil {
		return err
	}
	a.Drop = drop
	if factor := policy.GetOverprovisioningFactor(); factor != nil {
		if factor.GetValue() == 0 {
			return rejectField("overprovisioning_factor", "want above 0")
		}
		a.Overprovisioning = float64(factor.GetValue()) / percent
	}
	if staleAfter := policy.GetEndpointStaleAfter(); staleAfter != nil {
		if err := staleAfter.CheckValid(); err != nil || staleAfter.AsDuration() <= 0 {
			return rejectField("endpoint_stale_after", "want above 0")
		}
		a.StaleAfter = staleAfter.AsDuration()
	}
	return nil
}

// dropFraction returns the fraction of requests that all categories together drop. Each category applies to the
// requests that the categories before it do not drop.
func dropFraction(overloads []*xdspb.ClusterLoadAssignment_Policy_DropOverload) (float64, error) {
	remaining := 1.0
	for i, overload := range overloads {
		percentage := overload.GetDropPercentage()
		denominator := denominatorOf(percentage.GetDenominator())
		if denominator == 0 {
			return 0, rejectField(fmt.Sprintf("drop_overloads[%d].drop_percentage.denominator", i), "unknown")
		}
		remaining *= 1 - min(1, float64(percentage.GetNumerator())/denominator)
	}
	return 1 - remaining, nil
}

// denominatorOf returns the numeric value of a denominator type, or 0 for an unknown type.
func denominatorOf(t xdspb.FractionalPercent_DenominatorType) float64 {
	switch t {
	case xdspb.FractionalPercent_HUNDRED:
		return 100
	case xdspb.FractionalPercent_TEN_THOUSAND:
		return 10_000
	case xdspb.FractionalPercent_MILLION:
		return 1_000_000
	default:
		return 0
	}
}
