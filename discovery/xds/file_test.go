package xds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/known/anypb"
)

// fileOf returns the resources as a DiscoveryResponse file in JSON.
func fileOf(t testing.TB, all ...proto.Message) string {
	t.Helper()
	p := &xdspb.DiscoveryResponse{VersionInfo: "1"}
	for _, m := range all {
		url := resource.ClusterURL
		if _, ok := m.(*xdspb.ClusterLoadAssignment); ok {
			url = resource.AssignmentURL
		}
		raw, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		p.Resources = append(p.Resources, &anypb.Any{TypeUrl: url, Value: raw})
	}
	text, err := protojson.MarshalOptions{Resolver: typeResolver{protoregistry.GlobalTypes}}.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// replaceFile atomically replaces a file by a rename, as Envoy requires for its own files.
func replaceFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

const yamlFile = `
version_info: "7"
resources:
- "@type": type.googleapis.com/envoy.config.cluster.v3.Cluster
  name: rooms
  type: EDS
  connect_timeout: 1s            # ignored by the router
  eds_cluster_config: {service_name: rooms-v2}
- "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
  cluster_name: rooms-v2
  endpoints:
  - locality: {zone: nitra}
    lb_endpoints:
    - endpoint: {address: {socket_address: {address: 10.0.0.1, port_value: 9000}}}
      metadata: {filter_metadata: {wayhold: {kind: usporny-4j, cell: 2}}}
    - endpoint: {address: {socket_address: {address: 10.0.0.2, port_value: 9000}}}
      health_status: DRAINING
`

func TestCheckFiles_YAML(t *testing.T) {
	path := filepath.Join(t.TempDir(), "all.yaml")
	replaceFile(t, path, yamlFile)
	members, err := CheckFiles([]string{path})
	if err != nil || len(members) != 2 {
		t.Fatalf("got servers %v and error %v, want two servers", members, err)
	}
	if m := members[0]; m.ID != "10.0.0.1:9000" || m.Zone != "nitra" || m.Kind != "usporny-4j" ||
		m.Cell != policy.NewCell(2) || m.Availability != 0 || m.Pools[0] != "rooms" {
		t.Errorf("unexpected first server %+v", m)
	}
	if m := members[1]; m.Availability != 1 {
		t.Errorf("the second server is not draining: %+v", m)
	}
}

// TestFileSource_InvalidFileKeepsList checks that files are applied only if all of them are valid. An invalid file
// must keep the last list in effect. The error must be one line that names the reason.
func TestFileSource_InvalidFileKeepsList(t *testing.T) {
	dir := t.TempDir()
	clusters, endpoints := filepath.Join(dir, "cds.json"), filepath.Join(dir, "eds.json")
	replaceFile(t, clusters, fileOf(t, cluster("rooms")))
	replaceFile(t, endpoints, fileOf(t, assignment("rooms", "10.0.0.1:1")))
	source, err := NewFileSource([]string{clusters, endpoints}, nil)
	if err != nil {
		t.Fatal(err)
	}
	published := &publishedList{endpoints: make(map[string]router.Endpoint)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { source.Run(ctx, published.publish); close(ended) }()
	defer func() { cancel(); testkit.Receive(t, "the end of the source", ended) }()
	published.await(t, "10.0.0.1:1")
	for want, text := range map[string]string{
		"neither JSON nor YAML":              "{",
		"not a DiscoveryResponse":            `{"resources":3}`,
		"port_value: want 1 to 65535, got 0": fileOf(t, assignment("rooms", "10.0.0.2:1", "10.0.0.3:0")),
		"is there twice": fileOf(t,
			assignment("rooms", "10.0.0.2:1"), assignment("rooms", "10.0.0.3:1")),
		`no file has the endpoints of "rooms"`: fileOf(t, assignment("other", "10.0.0.2:1")),
	} {
		replaceFile(t, endpoints, text)
		testkit.Await(t, want, func() bool {
			source.mu.Lock()
			defer source.mu.Unlock()
			return source.readErr != nil && strings.Contains(source.readErr.Error(), want) &&
				!strings.Contains(source.readErr.Error(), "\n")
		})
		if got := published.running(); got != "10.0.0.1:1" {
			t.Errorf("with an invalid file (%s), the running servers are %q, want 10.0.0.1:1", want, got)
		}
	}
	if err := os.Remove(endpoints); err != nil {
		t.Fatal(err)
	}
	testkit.Await(
		t,
		"the removed file to be noticed",
		func() bool { source.mu.Lock(); defer source.mu.Unlock(); return os.IsNotExist(source.readErr) },
	)
	replaceFile(t, endpoints, fileOf(t, assignment("rooms", "10.0.0.4:1")))
	published.await(t, "10.0.0.4:1")
}

// TestSource_StartsWithCachedList checks that after a restart without a control plane, the cached assignments are
// used until the first list is complete.
func TestSource_StartsWithCachedList(t *testing.T) {
	dir, controlPlane := t.TempDir(), startControlPlane(t)
	controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1", "10.0.0.2:1"))
	_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, CacheDir: dir})
	published.await(t, "10.0.0.1:1 10.0.0.2:1")
	testkit.Await(
		t,
		"the cache file",
		func() bool { k, err := readCache(dir); return err == nil && len(k.Clusters["rooms"].Endpoints) == 2 },
	)
	other := startControlPlane(t)
	other.SetMuted(true)
	_, afterRestart := runSource(t, Config{Servers: []Server{{Addr: other.Addr}}, CacheDir: dir})
	afterRestart.await(t, "10.0.0.1:1 10.0.0.2:1")
	other.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
	other.SetMuted(false)
	afterRestart.await(t, "10.0.0.2:1")
}

// TestReadCache_RejectsInvalidFile checks that a truncated or altered cache file, or one in another format, is
// rejected. The source must work without the cache.
func TestReadCache_RejectsInvalidFile(t *testing.T) {
	dir := t.TempDir()
	if err := writeCache(dir, cachedList{Saved: time.Now(), Clusters: map[string]*resource.Assignment{"rooms": {
		Name:      "rooms",
		Endpoints: []resource.Endpoint{{Addr: "10.0.0.1:1", Health: resource.Healthy}},
	}}}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, cacheFileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readCache(dir); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"truncated or altered":       string(good[:len(good)-5]),
		"its checksum":               strings.Replace(string(good), "10.0.0.1", "10.0.0.9", 1),
		"not a cached endpoint list": "hello\n" + string(good),
		"in a known format":          "",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readCache(
			dir,
		); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want a single line with %q", err, want)
		}
	}
	controlPlane := startControlPlane(t)
	controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.5:1"))
	_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, CacheDir: dir})
	published.await(t, "10.0.0.5:1")
	remaining, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(remaining) > 2 {
		t.Errorf("temporary files remain in the cache directory: %v, %v", remaining, err)
	}
}

func TestParseBootstrap(t *testing.T) {
	c, err := ParseBootstrap([]byte(`{
		"xds_servers":[{"server_uri":"10.0.0.1:18000",
			"channel_creds":[{"type":"google_default"},{"type":"insecure"}],"server_features":["xds_v3"]},
		{"server_uri":"[fd00::1]:18000","channel_creds":[{"type":"tls"}]}],
		"node":{"id":"n1","cluster":"rooms","locality":{"zone":"nitra"},"metadata":{"a":"b"}},"authorities":{}}`), "")
	if err != nil || len(c.Servers) != 2 || c.Servers[0].TLS != nil || c.Servers[1].TLS == nil ||
		c.Node.GetId() != "n1" ||
		c.Node.GetLocality().GetZone() != "nitra" ||
		c.Node.GetMetadata().GetFields()["a"].GetStringValue() != "b" {
		t.Errorf("unexpected configuration %+v, error %v", c, err)
	}
	for want, text := range map[string]string{
		"xds_servers: empty or missing":             `{}`,
		"xds_servers[0].server_uri: want host:port": `{"xds_servers":[{"server_uri":"nowhere"}]}`,
		"xds_servers[0].channel_creds: want insecur": `{"xds_servers":[{"server_uri":"a:1",
			"channel_creds":[{"type":"alts"}]}]}`,
		"xds_servers": `{"xds_servers":3}`,
		"node":        `{"xds_servers":[{"server_uri":"a:1","channel_creds":[{"type":"insecure"}]}],"node":{"id":3}}`,
	} {
		if _, err := ParseBootstrap(
			[]byte(text),
			"",
		); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want a single line with the invalid key", text, err)
		}
	}
	if _, err := ParseBootstrap(
		[]byte(`{"xds_servers":[{"server_uri":"a:1","channel_creds":[{"type":"tls"}]}]}`),
		filepath.Join(t.TempDir(), "none"),
	); err == nil ||
		!strings.Contains(err.Error(), "ca_file") {
		t.Errorf("got error %v, want one that names ca_file", err)
	}
}

// FuzzFile checks that ParseFile does not panic on any input and that its errors are a single line. Endpoints of a
// valid file must have an id and an address.
func FuzzFile(f *testing.F) {
	f.Add([]byte(yamlFile))
	f.Add([]byte(fileOf(f, cluster("c"), assignment("c", "10.0.0.1:1"))))
	f.Add([]byte("resources: [&a {x: *a}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ParseFile(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: the error has several lines: %v", text, err)
			}
			return
		}
		for _, m := range EndpointsOf(r) {
			if m.ID == "" || m.Addr == "" {
				t.Errorf("%q: the endpoint has no id or no address: %+v", text, m)
			}
		}
		_ = fmt.Sprint(r)
	})
}
