package xds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
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

const (
	maxFileSize  = 64 << 20               // bytes
	pollInterval = 100 * time.Millisecond // at the files: a drain in them must hold within its grace
)

// typeResolver finds this package's types under the names of Envoy's, for Any in JSON.
type typeResolver struct{ *protoregistry.Types }

func (r typeResolver) FindMessageByURL(url string) (protoreflect.MessageType, error) {
	switch url {
	case resource.ClusterURL:
		return (*xdspb.Cluster)(nil).ProtoReflect().Type(), nil
	case resource.AssignmentURL:
		return (*xdspb.ClusterLoadAssignment)(nil).ProtoReflect().Type(), nil
	}
	return r.Types.FindMessageByURL(url)
}

// FileResources are those of one DiscoveryResponse file.
type FileResources struct {
	Clusters  []ads.Resource
	Endpoints []ads.Resource
}

// ParseFile reads a DiscoveryResponse as JSON or YAML, as Envoy's path_config_source has it. All of it
// must be good: the error names the resource and the field.
func ParseFile(text []byte) (FileResources, error) {
	var out FileResources
	raw, err := yaml.YAMLToJSONStrict(text) // JSON is YAML
	if err != nil {
		return out, fmt.Errorf("neither JSON nor YAML: %s", firstLine(err))
	}
	var p xdspb.DiscoveryResponse
	options := protojson.UnmarshalOptions{DiscardUnknown: true, Resolver: typeResolver{protoregistry.GlobalTypes}}
	if err := options.Unmarshal(raw, &p); err != nil {
		return out, fmt.Errorf("not a DiscoveryResponse: %s", firstLine(err))
	}
	for i, any := range p.GetResources() {
		t, ok := typeFromURL(any.GetTypeUrl())
		if !ok {
			return out, fmt.Errorf("resources[%d]: %s is not taken", i, any.GetTypeUrl())
		}
		in, err := decodeResource(t, any)
		if err = errors.Join(err, in.Err); err != nil {
			return out, fmt.Errorf("resources[%d]: %s", i, firstLine(err))
		}
		if t == ads.Clusters {
			out.Clusters = append(out.Clusters, in)
		} else {
			out.Endpoints = append(out.Endpoints, in)
		}
	}
	if err := errors.Join(checkDuplicates(out.Clusters), checkDuplicates(out.Endpoints)); err != nil {
		return FileResources{}, err
	}
	return out, nil
}

func firstLine(err error) string {
	s := strings.ReplaceAll(err.Error(), "\u00a0", " ") // protobuf varies its texts by it
	s, _, _ = strings.Cut(s, "\n")
	return s
}

// readFiles reads and checks files together.
func readFiles(paths []string) (FileResources, error) {
	var all FileResources
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return all, err
		}
		raw, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
		_ = f.Close() // it was only read
		if err == nil && len(raw) > maxFileSize {
			err = fmt.Errorf("over %d bytes", maxFileSize)
		}
		if err != nil {
			return all, fmt.Errorf("%s: %w", path, err)
		}
		r, err := ParseFile(raw)
		if err != nil {
			return all, fmt.Errorf("%s: %w", path, err)
		}
		all.Clusters, all.Endpoints = append(all.Clusters, r.Clusters...), append(all.Endpoints, r.Endpoints...)
	}
	if err := errors.Join(checkDuplicates(all.Clusters), checkDuplicates(all.Endpoints)); err != nil {
		return all, err
	}
	// Files without clusters speak for themselves: each assignment is one.
	if len(all.Clusters) == 0 {
		for _, e := range all.Endpoints {
			all.Clusters = append(all.Clusters, ads.Resource{Name: e.Name, Value: &resource.Cluster{Name: e.Name, EDS: true, ServiceName: e.Name}})
		}
	}
	for _, c := range all.Clusters {
		v := c.Value.(*resource.Cluster)
		if v.EDS && !slices.ContainsFunc(all.Endpoints, func(e ads.Resource) bool { return e.Name == v.ServiceName }) {
			return all, fmt.Errorf("cluster %q: no file has the endpoints of %q", c.Name, v.ServiceName)
		}
	}
	return all, nil
}

// FileSource takes the servers from DiscoveryResponse files, for sites without a control plane. It
// looks at them all the time, and puts what they say in force whole or not at all.
type FileSource struct {
	paths []string
	log   *slog.Logger

	mu      sync.Mutex
	snapshot    *snapshot
	readErr error // why the files as they are now are not in force
	taken   time.Time
}

var _ router.EndpointSource = (*FileSource)(nil)

// NewFileSource returns a source of the files; those that are bad at the start are an error.
func NewFileSource(paths []string, log *slog.Logger) (*FileSource, error) {
	if len(paths) == 0 {
		return nil, errors.New("xds: no file is named")
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	if _, err := readFiles(paths); err != nil {
		return nil, fmt.Errorf("xds: %w", err)
	}
	return &FileSource{paths: paths, log: log, snapshot: newSnapshot()}, nil
}

// SetPolling has nothing to ask.
func (s *FileSource) SetPolling(bool) {}

// Run follows the files until ctx ends.
func (s *FileSource) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var seen []byte
	for {
		if now := s.fileStamps(); !bytes.Equal(now, seen) {
			seen = now
			if c := s.reload(); c != nil {
				tell(*c)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// fileStamps changes whenever a file is replaced or written to.
func (s *FileSource) fileStamps() []byte {
	var b bytes.Buffer
	for _, path := range s.paths {
		info, err := os.Stat(path)
		if err != nil {
			fmt.Fprintln(&b, path, "missing")
			continue
		}
		fmt.Fprintln(&b, path, info.Size(), info.ModTime().UnixNano(), inodeOf(info))
	}
	return b.Bytes()
}

// reload puts the files in force, if they are good.
func (s *FileSource) reload() *router.EndpointUpdate {
	r, err := readFiles(s.paths)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr = err; err != nil {
		s.log.Error("xds: the files are refused, keeping the last list", "err", err)
		return nil
	}
	s.taken = time.Now()
	had := len(s.snapshot.published) > 0
	change := s.snapshot.endpointUpdate(s.snapshot.apply(appliedClusters(r)))
	if had && len(s.snapshot.published) == 0 {
		s.log.Error("xds: the files name no server any more")
	}
	return change
}

// appliedClusters is what resources come to where all of them are there.
func appliedClusters(r FileResources) map[string]ads.AppliedCluster {
	m := ads.New(ads.SotW)
	m.Connected()
	m.HandleResponse(time.Now(), ads.Response{Type: ads.Clusters, Resources: r.Clusters})
	m.HandleResponse(time.Now(), ads.Response{Type: ads.Endpoints, Resources: r.Endpoints})
	return m.Applied()
}

// EndpointsOf are the servers that files come to, in order of id.
func EndpointsOf(r FileResources) []router.Endpoint {
	b := newSnapshot()
	b.apply(appliedClusters(r))
	return b.endpoints()
}

// CheckFiles reads files together, and returns the servers that they come to.
func CheckFiles(paths []string) ([]router.Endpoint, error) {
	r, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	return EndpointsOf(r), nil
}
