package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cobaltward/discovery/xds/standin"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/cli"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"go.uber.org/goleak"
)

// asProgram has the test's own binary be the program: for nodes of a rehearsal.
const asProgram = "WAYHOLD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cli.Main(extra()))
	}
	goleak.VerifyTestMain(m)
}

// A rehearsal whose nodes hear of their servers by xDS alone, with crashes, drains and a control plane that
// falls silent: every rule is kept.
func TestRehearsalByXDS(t *testing.T) {
	t.Setenv(asProgram, "1")
	site := `base = "calm.toml"
length = "4s"
[discovery]
form = "xds"
delay = "200ms"
[traffic]
rate = 100
[[fault]]
kind = "crash"
count = 2
at = "500ms"
for = "1s"
[[fault]]
kind = "drain"
count = 2
at = "1s"
for = "1500ms"
[[fault]]
kind = "discovery-down"
at = "1500ms"
for = "1s"
[[fault]]
kind = "node-crash"
count = 1
at = "1s"
for = "1s"
`
	calm, err := filepath.Abs("../../scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	path, page := filepath.Join(t.TempDir(), "site.toml"), filepath.Join(t.TempDir(), "page.html")
	if err := os.WriteFile(path, []byte(strings.Replace(site, "calm.toml", calm, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(os.Args[0], "rehearse", "--real", "--quiet", "--html", page, path).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "drains kept: kept") {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
	html, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(html), "</svg>") || strings.Contains(string(html), "src=") {
		t.Errorf("the page of %d bytes has no plot, or needs a network: %v", len(html), err)
	}
}

func endpoint(t testing.TB, addr string) *xdspb.LbEndpoint {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return &xdspb.LbEndpoint{HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: &xdspb.Address{
		Address: &xdspb.Address_SocketAddress{SocketAddress: &xdspb.SocketAddress{
			Address:       a.IP.String(),
			PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: uint32(a.Port)},
		}},
	}}}}
}

// files makes an operator's own file that names the control plane, with more of the table.
func files(t testing.TB, p *standin.ControlPlane, more string) (own string) {
	t.Helper()
	dir := t.TempDir()
	boot := filepath.Join(dir, "bootstrap.json")
	text := fmt.Sprintf(`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}]}],"node":{"id":"n1"}}`, p.Addr)
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	own = filepath.Join(dir, "wayhold.toml")
	if err := os.WriteFile(own, []byte(fmt.Sprintf("[xds]\nbootstrap = %q\n%s", boot, more)), 0o600); err != nil {
		t.Fatal(err)
	}
	return own
}

func plane(t testing.TB, endpoints ...*xdspb.LbEndpoint) *standin.ControlPlane {
	t.Helper()
	p, err := standin.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	p.Set(&xdspb.Cluster{Name: "rooms", ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}},
		&xdspb.ClusterLoadAssignment{ClusterName: "rooms", Endpoints: []*xdspb.LocalityLbEndpoints{{LbEndpoints: endpoints}}})
	return p
}

// A node takes its servers from a control plane beside the platform's discovery: a class that is bound
// to a cluster goes there, the others anywhere.
func TestNodeWithBothSources(t *testing.T) {
	server := func(name string) string {
		return testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
	}
	listed, byXDS := server("listed"), server("xds")
	p := plane(t, endpoint(t, byXDS))
	raw := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"revision":1,"complete":true,"members":[{"id":"s1","host_port":%q,"phase":"up"}]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"any","deadline":600,"repeat":"free"},{"name":"bound","deadline":600,"repeat":"free"}],
			"limits":{"maxAttempts":2,"connectTimeout":2000}}}`, listed)
	if !json.Valid([]byte(raw)) {
		t.Fatal("not JSON")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	o, err := nodeconfig.Load(files(t, p, ""))
	if err != nil {
		t.Fatal(err)
	}
	c.Settings.Classes[1].Pool = "rooms"
	c.NewEndpointSource = func(own router.EndpointSource) (router.EndpointSource, error) {
		return membership(o, c, own, slog.New(slog.DiscardHandler))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, c, ln, nil, slog.New(slog.DiscardHandler)) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	ask := func(class string) string {
		n++
		req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/api", nil)
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{"X-Request-Id": fmt.Sprint("r", n), "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "500"} {
			req.Header.Set(k, v)
		}
		resp, err := client.Do(req)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", string(body))
	}
	testkit.Await(t, "the bound class at its cluster", func() bool { return ask("bound") == "200 xds" })
	testkit.Await(t, "the other class", func() bool { return ask("any") == "200 listed" || ask("any") == "200 xds" })
	for range 20 {
		if got := ask("bound"); got != "200 xds" {
			t.Errorf("the bound class: %s", got)
		}
	}
	cancel()
	if err := testkit.Receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	c := xdsCommand()
	c.PersistentFlags().String("config", "", "")
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// dump says of each endpoint whether it is used and why not, and of a refusal its reason.
func TestDump(t *testing.T) {
	drains := endpoint(t, "10.0.0.2:1")
	drains.HealthStatus = xdspb.HealthStatus_DRAINING
	p := plane(t, endpoint(t, "10.0.0.1:1"), drains)
	for _, more := range []string{"", "delta = true\n"} {
		out, err := run(t, "dump", "--config", files(t, p, more))
		if err != nil || !strings.Contains(out, "list whole: true") || !strings.Contains(out, "no: DRAINING") || !strings.Contains(out, "acknowledged") {
			t.Errorf("%v\n%s", err, out)
		}
	}
	p.Set(&xdspb.ClusterLoadAssignment{ClusterName: "rooms", Endpoints: []*xdspb.LocalityLbEndpoints{{LbEndpoints: []*xdspb.LbEndpoint{endpoint(t, "10.0.0.1:0")}}}})
	out, err := run(t, "dump", "--within", "300ms", "--config", files(t, p, ""))
	if err == nil || !strings.Contains(out, "port_value: want 1 to 65535, got 0") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.yaml"), filepath.Join(dir, "bad.yaml")
	const text = `resources:
- "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
  cluster_name: rooms
  endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: %s, port_value: 9000}}}}]}]
`
	for path, host := range map[string]string{good: "10.0.0.1", bad: "rooms.svc"} {
		if err := os.WriteFile(path, []byte(fmt.Sprintf(text, host)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if out, err := run(t, "check", good); err != nil || !strings.Contains(out, "10.0.0.1:9000") || !strings.Contains(out, "good: 1 servers") {
		t.Errorf("%v\n%s", err, out)
	}
	if _, err := run(t, "check", bad); err == nil || !strings.Contains(err.Error(), bad) || !strings.Contains(err.Error(), `want an IP address, got "rooms.svc"`) {
		t.Errorf("%v", err)
	}
	if _, err := run(t, "dump"); err == nil || !strings.Contains(err.Error(), "--config") {
		t.Errorf("%v", err)
	}
}
