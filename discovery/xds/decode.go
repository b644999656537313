package xds

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/cpuyield"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// typeURLs contains the type URL of each resource type on the wire.
var typeURLs = [ads.NumTypes]string{
	ads.Clusters:  resource.ClusterURL,
	ads.Endpoints: resource.AssignmentURL,
	ads.Secrets:   resource.SecretURL,
}

// Errors for resources without a readable name. They reject the whole response.
var (
	errNotCluster  = errors.New("not a Cluster")
	errNotSecret   = errors.New("not a Secret")
	errNameMissing = errors.New("name: missing")
)

// typeFromURL returns the type with the given type URL. ok is false for types that are never subscribed to.
func typeFromURL(url string) (t ads.Type, ok bool) {
	for t, known := range typeURLs {
		if known == url {
			return ads.Type(t), true
		}
	}
	return 0, false
}

// decodeSotW decodes a response of the state-of-the-world variant. ok is false if the type of the response is
// unknown. A resource without a readable name rejects the whole response, because it is unknown which resource must
// keep its old version.
func decodeSotW(message *xdspb.DiscoveryResponse) (response ads.Response, ok bool) {
	response.Type, ok = typeFromURL(message.GetTypeUrl())
	if !ok {
		return response, false
	}
	response.Version, response.Nonce = message.GetVersionInfo(), message.GetNonce()
	for i, packed := range message.GetResources() {
		decoded, err := decodeResource(response.Type, packed)
		if err != nil {
			response.Err = fmt.Errorf("resources[%d]: %w", i, err)
			return response, true
		}
		response.Resources = append(response.Resources, decoded)
	}
	response.Err = checkDuplicates(response.Resources)
	return response, true
}

// decodeDelta decodes a response of the incremental variant. ok is false if the type of the response is unknown.
func decodeDelta(message *xdspb.DeltaDiscoveryResponse) (response ads.Response, ok bool) {
	response.Type, ok = typeFromURL(message.GetTypeUrl())
	if !ok {
		return response, false
	}
	response.Version, response.Nonce = message.GetSystemVersionInfo(), message.GetNonce()
	response.Removed = message.GetRemovedResources()
	for i, wrapped := range message.GetResources() {
		decoded, err := decodeWrapped(response.Type, wrapped, i)
		if err != nil {
			response.Err = err
			return response, true
		}
		response.Resources = append(response.Resources, decoded)
	}
	response.Err = checkDuplicates(response.Resources)
	return response, true
}

// decodeWrapped decodes a resource of the incremental variant. A resource without a body is a heartbeat. index is the
// position of the resource in the response, for errors.
func decodeWrapped(t ads.Type, wrapped *xdspb.Resource, index int) (ads.Resource, error) {
	decoded := ads.Resource{Name: wrapped.GetName()}
	if wrapped.GetResource() != nil {
		var err error
		if decoded, err = decodeResource(t, wrapped.GetResource()); err != nil {
			return decoded, fmt.Errorf("resources[%d]: %w", index, err)
		}
		if wrapped.GetName() != "" && wrapped.GetName() != decoded.Name {
			return decoded, fmt.Errorf("resources[%d].name: %q holds %q", index, wrapped.GetName(), decoded.Name)
		}
	}
	if decoded.Name == "" {
		return decoded, fmt.Errorf("resources[%d].name: missing", index)
	}
	decoded.Version, decoded.TTL = wrapped.GetVersion(), wrapped.GetTtl().AsDuration()
	return decoded, nil
}

// checkDuplicates rejects a response with several resources of the same name, because it is unknown which of them
// applies.
func checkDuplicates(resources []ads.Resource) error {
	seen := make(map[string]bool, len(resources))
	for _, r := range resources {
		if seen[r.Name] {
			return fmt.Errorf("resource %q is there twice", r.Name)
		}
		seen[r.Name] = true
	}
	return nil
}

// decodeResource decodes one resource. An invalid resource is returned with its name, and with the reason in Err.
// decodeResource returns an error only if the name is not readable.
func decodeResource(t ads.Type, packed *anypb.Any) (ads.Resource, error) {
	if packed.GetTypeUrl() != typeURLs[t] {
		return ads.Resource{}, fmt.Errorf("type_url: want %s, got %q", typeURLs[t], packed.GetTypeUrl())
	}
	switch t {
	case ads.Clusters:
		return decodeCluster(packed.GetValue())
	case ads.Secrets:
		return decodeSecret(packed.GetValue())
	default:
		return decodeAssignment(packed.GetValue())
	}
}

func decodeCluster(raw []byte) (ads.Resource, error) {
	var message xdspb.Cluster
	if proto.Unmarshal(raw, &message) != nil {
		return ads.Resource{}, errNotCluster
	}
	if message.GetName() == "" {
		return ads.Resource{}, errNameMissing
	}
	cluster, err := resource.ParseCluster(&message)
	if err != nil {
		return ads.Resource{Name: message.GetName(), Err: err}, nil
	}
	return ads.Resource{Name: cluster.Name, Value: cluster}, nil
}

func decodeSecret(raw []byte) (ads.Resource, error) {
	var message xdspb.Secret
	if proto.Unmarshal(raw, &message) != nil {
		return ads.Resource{}, errNotSecret
	}
	if message.GetName() == "" {
		return ads.Resource{}, errNameMissing
	}
	set, err := resource.ParseSecret(&message, time.Now())
	if err != nil {
		return ads.Resource{Name: message.GetName(), Err: err}, nil
	}
	return ads.Resource{Name: message.GetName(), Value: set}, nil
}

func decodeAssignment(raw []byte) (ads.Resource, error) {
	name, assignment, err := resource.DecodeAssignment(raw, new(cpuyield.Yielder).YieldIfDue)
	switch {
	case err != nil && name == "":
		return ads.Resource{}, err
	case err != nil:
		return ads.Resource{Name: name, Err: err}, nil
	}
	return ads.Resource{Name: name, Value: assignment}, nil
}
