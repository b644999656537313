package xds

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/router"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"sigs.k8s.io/yaml"
)

// maxFileSize is the maximum size of a DiscoveryResponse file, in bytes.
const maxFileSize = 64 << 20

// typeResolver resolves Envoy's type URLs to the messages of package xdspb. protojson needs it to decode Any values.
type typeResolver struct{ *protoregistry.Types }

// FindMessageByURL implements the Resolver interface of protojson.UnmarshalOptions.
func (r typeResolver) FindMessageByURL(url string) (protoreflect.MessageType, error) {
	switch url {
	case resource.ClusterURL:
		return (*xdspb.Cluster)(nil).ProtoReflect().Type(), nil
	case resource.AssignmentURL:
		return (*xdspb.ClusterLoadAssignment)(nil).ProtoReflect().Type(), nil
	}
	return r.Types.FindMessageByURL(url)
}

// FileResources contains the resources of one or several DiscoveryResponse files.
type FileResources struct {
	Clusters  []ads.Resource
	Endpoints []ads.Resource
}

// ParseFile parses a DiscoveryResponse in JSON or YAML, the format of Envoy's path_config_source. One invalid
// resource makes the whole file invalid. An error is a single-line message with the resource and the field.
func ParseFile(text []byte) (FileResources, error) {
	raw, err := yaml.YAMLToJSONStrict(text) // also accepts JSON, a subset of YAML
	if err != nil {
		return FileResources{}, fmt.Errorf("neither JSON nor YAML: %s", firstLine(err))
	}
	var message xdspb.DiscoveryResponse
	options := protojson.UnmarshalOptions{DiscardUnknown: true, Resolver: typeResolver{protoregistry.GlobalTypes}}
	if err := options.Unmarshal(raw, &message); err != nil {
		return FileResources{}, fmt.Errorf("not a DiscoveryResponse: %s", firstLine(err))
	}
	var resources FileResources
	for i, packed := range message.GetResources() {
		t, ok := typeFromURL(packed.GetTypeUrl())
		if !ok {
			return FileResources{}, fmt.Errorf("resources[%d]: %s is not taken", i, packed.GetTypeUrl())
		}
		decoded, err := decodeResource(t, packed)
		if err = errors.Join(err, decoded.Err); err != nil {
			return FileResources{}, fmt.Errorf("resources[%d]: %s", i, firstLine(err))
		}
		if t == ads.Clusters {
			resources.Clusters = append(resources.Clusters, decoded)
		} else {
			resources.Endpoints = append(resources.Endpoints, decoded)
		}
	}
	if err := resources.checkDuplicates(); err != nil {
		return FileResources{}, err
	}
	return resources, nil
}

// CheckFiles reads and validates the files together, and returns their servers, sorted by id.
func CheckFiles(paths []string) ([]router.Endpoint, error) {
	resources, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	return EndpointsOf(resources), nil
}

// EndpointsOf returns the servers that the resources define, sorted by id.
func EndpointsOf(resources FileResources) []router.Endpoint {
	s := newSnapshot()
	s.apply(resources.appliedClusters())
	return s.endpoints()
}

// readFiles returns the resources of all files, validated together.
func readFiles(paths []string) (FileResources, error) {
	var all FileResources
	for _, path := range paths {
		raw, err := readLimited(path, maxFileSize)
		if err != nil {
			return FileResources{}, err
		}
		resources, err := ParseFile(raw)
		if err != nil {
			return FileResources{}, fmt.Errorf("%s: %w", path, err)
		}
		all.Clusters = append(all.Clusters, resources.Clusters...)
		all.Endpoints = append(all.Endpoints, resources.Endpoints...)
	}
	if err := all.checkDuplicates(); err != nil {
		return FileResources{}, err
	}
	all.addImpliedClusters()
	return all, all.checkReferences()
}

func (r *FileResources) checkDuplicates() error {
	return errors.Join(checkDuplicates(r.Clusters), checkDuplicates(r.Endpoints))
}

// addImpliedClusters adds a cluster for each assignment if there are no clusters.
func (r *FileResources) addImpliedClusters() {
	if len(r.Clusters) > 0 {
		return
	}
	for _, endpoints := range r.Endpoints {
		cluster := &resource.Cluster{Name: endpoints.Name, EDS: true, ServiceName: endpoints.Name}
		r.Clusters = append(r.Clusters, ads.Resource{Name: endpoints.Name, Value: cluster})
	}
}

// checkReferences rejects clusters whose assignment is missing from the files.
func (r *FileResources) checkReferences() error {
	assignments := make(map[string]bool, len(r.Endpoints))
	for _, endpoints := range r.Endpoints {
		assignments[endpoints.Name] = true
	}
	for _, c := range r.Clusters {
		cluster := c.Value.(*resource.Cluster)
		if cluster.EDS && !assignments[cluster.ServiceName] {
			return fmt.Errorf("cluster %q: no file has the endpoints of %q", c.Name, cluster.ServiceName)
		}
	}
	return nil
}

// appliedClusters returns the clusters that are in effect once all resources have been received.
func (r *FileResources) appliedClusters() map[string]ads.AppliedCluster {
	machine := ads.New(ads.SotW)
	machine.Connected()
	machine.HandleResponse(time.Now(), ads.Response{Type: ads.Clusters, Resources: r.Clusters})
	machine.HandleResponse(time.Now(), ads.Response{Type: ads.Endpoints, Resources: r.Endpoints})
	return machine.Applied()
}

// firstLine returns the first line of an error's text, with non-breaking spaces replaced by spaces. protobuf inserts
// non-breaking spaces at random to keep its error texts unstable.
func firstLine(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	text, _, _ = strings.Cut(text, "\n")
	return text
}
