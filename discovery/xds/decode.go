package xds

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/pace"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

var typeURLs = [...]string{ads.Clusters: resource.ClusterURL, ads.Endpoints: resource.AssignmentURL, ads.Secrets: resource.SecretURL}

// typeFromURL tells which type a URL names.
func typeFromURL(url string) (ads.Type, bool) {
	for t, u := range typeURLs {
		if u == url {
			return ads.Type(t), true
		}
	}
	return 0, false
}

// decodeSotW reads a response of the state of the world. A resource whose name can't be read makes the
// whole unreadable: nobody could tell which one it leaves as it was.
func decodeSotW(p *xdspb.DiscoveryResponse) (r ads.Response, ok bool) {
	r.Type, ok = typeFromURL(p.GetTypeUrl())
	if !ok {
		return r, false
	}
	r.Version, r.Nonce = p.GetVersionInfo(), p.GetNonce()
	for i, any := range p.GetResources() {
		in, err := decodeResource(r.Type, any)
		if err != nil {
			r.Err = fmt.Errorf("resources[%d]: %w", i, err)
			return r, true
		}
		r.Resources = append(r.Resources, in)
	}
	r.Err = checkDuplicates(r.Resources)
	return r, true
}

// decodeDelta reads an incremental response.
func decodeDelta(p *xdspb.DeltaDiscoveryResponse) (r ads.Response, ok bool) {
	r.Type, ok = typeFromURL(p.GetTypeUrl())
	if !ok {
		return r, false
	}
	r.Version, r.Nonce, r.Removed = p.GetSystemVersionInfo(), p.GetNonce(), p.GetRemovedResources()
	for i, wrapped := range p.GetResources() {
		in := ads.Resource{Name: wrapped.GetName()}
		if wrapped.GetResource() != nil {
			var err error
			if in, err = decodeResource(r.Type, wrapped.GetResource()); err != nil {
				r.Err = fmt.Errorf("resources[%d]: %w", i, err)
				return r, true
			}
			if wrapped.GetName() != "" && wrapped.GetName() != in.Name {
				r.Err = fmt.Errorf("resources[%d].name: %q holds %q", i, wrapped.GetName(), in.Name)
				return r, true
			}
		}
		if in.Name == "" {
			r.Err = fmt.Errorf("resources[%d].name: missing", i)
			return r, true
		}
		in.Version, in.TTL = wrapped.GetVersion(), wrapped.GetTtl().AsDuration()
		r.Resources = append(r.Resources, in)
	}
	r.Err = checkDuplicates(r.Resources)
	return r, true
}

// checkDuplicates tells of a name that a response holds more than once: which of the two holds, nobody knows.
func checkDuplicates(all []ads.Resource) error {
	seen := make(map[string]bool, len(all))
	for _, r := range all {
		if seen[r.Name] {
			return fmt.Errorf("resource %q is there twice", r.Name)
		}
		seen[r.Name] = true
	}
	return nil
}

// decodeResource reads one resource. One that is refused has its name and its reason.
func decodeResource(t ads.Type, any *anypb.Any) (ads.Resource, error) {
	if any.GetTypeUrl() != typeURLs[t] {
		return ads.Resource{}, fmt.Errorf("type_url: want %s, got %q", typeURLs[t], any.GetTypeUrl())
	}
	if t == ads.Clusters {
		var p xdspb.Cluster
		if err := proto.Unmarshal(any.GetValue(), &p); err != nil {
			return ads.Resource{}, errors.New("not a Cluster")
		}
		if p.GetName() == "" {
			return ads.Resource{}, errors.New("name: missing")
		}
		c, err := resource.ParseCluster(&p)
		if err != nil {
			return ads.Resource{Name: p.GetName(), Err: err}, nil
		}
		return ads.Resource{Name: c.Name, Value: c}, nil
	}
	if t == ads.Secrets {
		var p xdspb.Secret
		if err := proto.Unmarshal(any.GetValue(), &p); err != nil {
			return ads.Resource{}, errors.New("not a Secret")
		}
		if p.GetName() == "" {
			return ads.Resource{}, errors.New("name: missing")
		}
		set, err := resource.ParseSecret(&p, time.Now())
		if err != nil {
			return ads.Resource{Name: p.GetName(), Err: err}, nil
		}
		return ads.Resource{Name: p.GetName(), Value: set}, nil
	}
	name, a, err := resource.DecodeAssignment(any.GetValue(), new(pace.Pacer).Pause)
	switch {
	case err != nil && name == "":
		return ads.Resource{}, err
	case err != nil:
		return ads.Resource{Name: name, Err: err}, nil
	}
	return ads.Resource{Name: name, Value: a}, nil
}

// encode turns the machine's requests into those of the wire.
func encodeSotW(r ads.Request, node *xdspb.Node) *xdspb.DiscoveryRequest {
	p := &xdspb.DiscoveryRequest{
		VersionInfo: r.Version, ResourceNames: r.ResourceNames, TypeUrl: typeURLs[r.Type],
		ResponseNonce: r.Nonce, ErrorDetail: errorDetail(r.ErrorDetail),
	}
	if r.IncludeNode {
		p.Node = node
	}
	return p
}

func encodeDelta(r ads.Request, node *xdspb.Node) *xdspb.DeltaDiscoveryRequest {
	p := &xdspb.DeltaDiscoveryRequest{
		TypeUrl: typeURLs[r.Type], ResourceNamesSubscribe: r.Subscribe,
		ResourceNamesUnsubscribe: r.Unsubscribe, InitialResourceVersions: r.InitialVersions, ResponseNonce: r.Nonce,
		ErrorDetail: errorDetail(r.ErrorDetail),
	}
	if r.IncludeNode {
		p.Node = node
	}
	return p
}

// maxErrorDetail bounds what is told of a reason, in bytes.
const maxErrorDetail = 4096

// errorDetail is the reason of a NACK: google.rpc.Code INVALID_ARGUMENT.
func errorDetail(reason string) *xdspb.Status {
	if reason == "" {
		return nil
	}
	if len(reason) > maxErrorDetail {
		reason = reason[:maxErrorDetail]
	}
	return &xdspb.Status{Code: 3, Message: reason}
}
