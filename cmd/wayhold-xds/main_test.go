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
	"time"

	"cobaltward/discovery/xds/standin"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/cli"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"go.uber.org/goleak"
)

// runAsProgramEnv is the environment variable that makes the test binary run as the program itself. A rehearsal
// starts the test binary as its nodes.
const runAsProgramEnv = "WAYHOLD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(runAsProgram())
	}
	goleak.VerifyTestMain(m)
}

// runAsProgram runs the program and returns its exit status. At the end it prints the longest pause of its process to
// the standard error output.
func runAsProgram() int {
	longestPause, stop := testkit.StartPauseProbe()
	defer stop()
	status := cli.Main(extensions())
	fmt.Fprintf(os.Stderr, "%s%v\n", longestPausePrefix, longestPause())
	return status
}

// longestPausePrefix precedes the longest pause of its process in the output of runAsProgram.
const longestPausePrefix = "longest pause of this process: "

// longestPause returns the longest pause that runAsProgram has printed to out, or 0 if it has printed none.
func longestPause(t *testing.T, out string) time.Duration {
	t.Helper()
	_, after, found := strings.Cut(out, longestPausePrefix)
	if !found {
		return 0
	}
	text, _, _ := strings.Cut(after, "\n")
	pause, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return pause
}

// If the host delays the load generator, a rehearsal is void. Its result is then no evidence for or against the
// rules.
const (
	voidByLoadGenerator    = "rehearse: void: the load generator sent"
	loadGeneratorLateAfter = 20 * time.Millisecond
)

const rehearsalScript = `base = "calm.toml"
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

// TestRehearsalByXDS checks that a rehearsal keeps all rules if its nodes get their servers only from xDS. The script
// contains crashes, drains and an unreachable control plane.
func TestRehearsalByXDS(t *testing.T) {
	t.Setenv(runAsProgramEnv, "1")
	calm, err := filepath.Abs("../../scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	path, page := filepath.Join(t.TempDir(), "site.toml"), filepath.Join(t.TempDir(), "page.html")
	script := strings.Replace(rehearsalScript, "calm.toml", calm, 1)
	if err := os.WriteFile(path, []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(os.Args[0], "rehearse", "--real", "--quiet", "--html", page, path).CombinedOutput()
	pause := longestPause(t, string(out)) // of the load generator's process
	for _, rule := range []string{"in time", "no effect twice", "drains kept", "no cold server pushed over"} {
		if !strings.Contains(string(out), rule+": kept") {
			t.Errorf("rule not kept: %s", rule)
		}
	}
	hostWasLate := strings.Contains(string(out), voidByLoadGenerator) && pause > loadGeneratorLateAfter
	if t.Failed() || err != nil && !hostWasLate {
		t.Fatalf("the rehearsal failed: %v, longest pause of its process %v\n%s", err, pause, out)
	}
	t.Logf("%s", out)
	html, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(html), "</svg>") || strings.Contains(string(html), "src=") {
		t.Errorf("the page of %d bytes has no plot, or loads external resources: %v", len(html), err)
	}
}

// newEndpoint returns the xDS message of an endpoint.
func newEndpoint(t testing.TB, addr string) *xdspb.LbEndpoint {
	t.Helper()
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	address := &xdspb.Address{Address: &xdspb.Address_SocketAddress{SocketAddress: &xdspb.SocketAddress{
		Address:       tcp.IP.String(),
		PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: uint32(tcp.Port)},
	}}}
	return &xdspb.LbEndpoint{HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: address}}}
}

// newAssignment returns the assignment of cluster "rooms" with the given endpoints.
func newAssignment(endpoints ...*xdspb.LbEndpoint) *xdspb.ClusterLoadAssignment {
	return &xdspb.ClusterLoadAssignment{
		ClusterName: "rooms", Endpoints: []*xdspb.LocalityLbEndpoints{{LbEndpoints: endpoints}},
	}
}

// writeOwnFile writes an operator's own file that configures the control plane. more contains additional lines of the
// table [xds].
func writeOwnFile(t testing.TB, plane *standin.ControlPlane, more string) (path string) {
	t.Helper()
	dir := t.TempDir()
	bootstrap := filepath.Join(dir, "bootstrap.json")
	const format = `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}]}],"node":{"id":"n1"}}`
	if err := os.WriteFile(bootstrap, fmt.Appendf(nil, format, plane.Addr), 0o600); err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "wayhold.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, "[xds]\nbootstrap = %q\n%s", bootstrap, more), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startControlPlane starts a control plane whose cluster "rooms" has the given endpoints.
func startControlPlane(t testing.TB, endpoints ...*xdspb.LbEndpoint) *standin.ControlPlane {
	t.Helper()
	plane, err := standin.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plane.Stop)
	plane.Set(&xdspb.Cluster{Name: "rooms", ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}},
		newAssignment(endpoints...))
	return plane
}

// loadNodeConfig returns the configuration of a node whose platform discovery has one server. Class "bound" is bound
// to cluster "rooms".
func loadNodeConfig(t *testing.T, server string) node.Config {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"revision":1,"complete":true,"members":[{"id":"s1","host_port":%q,"phase":"up"}]},
		"settings":{"position":0,"groupSize":1,
			"services":[{"name":"any","deadline":600,"repeat":"free"},{"name":"bound","deadline":600,"repeat":"free"}],
			"limits":{"maxAttempts":2,"connectTimeout":2000}}}`, server)
	if !json.Valid([]byte(raw)) {
		t.Fatal("the configuration is not valid JSON")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	config.Settings.Classes[1].Pool = "rooms"
	return config
}

// requestSender sends requests to a node, each over a separate connection.
type requestSender struct {
	addr   string
	client http.Client
	sent   int
}

// send sends a request and returns the status and the body of the response, or the text of the error.
func (s *requestSender) send(t *testing.T, class string) string {
	t.Helper()
	s.sent++
	req, err := http.NewRequest(http.MethodGet, "http://"+s.addr+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{
		"X-Request-Id": {fmt.Sprint("r", s.sent)}, "X-Class": {class}, "X-Tenant": {"t"}, "X-Deadline-Ms": {"500"},
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// TestNode_MergesXDSWithPlatformDiscovery checks that a node gets servers both from a control plane and from the
// platform's discovery. Servers of a cluster must serve the class that is bound to the cluster. Any server may serve
// the other class.
func TestNode_MergesXDSWithPlatformDiscovery(t *testing.T) {
	startServer := func(name string) string {
		return testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
	}
	listed, byXDS := startServer("listed"), startServer("xds")
	plane := startControlPlane(t, newEndpoint(t, byXDS))
	config := loadNodeConfig(t, listed)
	file, err := nodeconfig.Load(writeOwnFile(t, plane, ""))
	if err != nil {
		t.Fatal(err)
	}
	config.NewEndpointSource = func(platform router.EndpointSource) (router.EndpointSource, error) {
		return newEndpointSource(file, config, platform, slog.New(slog.DiscardHandler))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, config, ln, nil, slog.New(slog.DiscardHandler)) }()
	sender := &requestSender{
		addr: ln.Addr().String(), client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	testkit.Await(t, "a response from the bound cluster", func() bool { return sender.send(t, "bound") == "200 xds" })
	testkit.Await(t, "a response to the other class", func() bool {
		return sender.send(t, "any") == "200 listed" || sender.send(t, "any") == "200 xds"
	})
	for range 20 {
		if got := sender.send(t, "bound"); got != "200 xds" {
			t.Errorf("the bound class was not served by its cluster: %s", got)
		}
	}
	cancel()
	if err := testkit.Receive(t, "the end of the node", ended); err != nil {
		t.Error(err)
	}
}

// runXDS runs the command xds with the given arguments, and returns its output.
func runXDS(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	command := xdsCommand()
	command.PersistentFlags().String("config", "", "")
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	err := command.ExecuteContext(t.Context())
	return out.String(), err
}

// wantInOutput checks that a command succeeded and that its output contains each of the texts.
func wantInOutput(t *testing.T, out string, err error, texts ...string) {
	t.Helper()
	if err != nil {
		t.Errorf("the command failed: %v\n%s", err, out)
	}
	for _, want := range texts {
		if !strings.Contains(out, want) {
			t.Errorf("the output does not contain %q:\n%s", want, out)
		}
	}
}

// wantInError checks that a command failed with an error that contains each of the texts.
func wantInError(t *testing.T, err error, texts ...string) {
	t.Helper()
	if err == nil {
		t.Errorf("got no error, want one that contains %q", texts)
		return
	}
	for _, want := range texts {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %q: %v", want, err)
		}
	}
}

// TestDump_SaysWhyUnused checks that the output of dump states for each endpoint whether it is used, or why not. For
// each rejected resource, the output must contain the reason.
func TestDump_SaysWhyUnused(t *testing.T) {
	draining := newEndpoint(t, "10.0.0.2:1")
	draining.HealthStatus = xdspb.HealthStatus_DRAINING
	plane := startControlPlane(t, newEndpoint(t, "10.0.0.1:1"), draining)
	for _, more := range []string{"", "delta = true\n"} {
		out, err := runXDS(t, "dump", "--config", writeOwnFile(t, plane, more))
		wantInOutput(t, out, err, "list complete: true", "no: DRAINING", "acknowledged")
	}
	plane.Set(newAssignment(newEndpoint(t, "10.0.0.1:0")))
	out, err := runXDS(t, "dump", "--within", "300ms", "--config", writeOwnFile(t, plane, ""))
	if err == nil || !strings.Contains(out, "port_value: want 1 to 65535, got 0") {
		t.Errorf("dump must fail and print the reason of the rejection: %v\n%s", err, out)
	}
}

func TestCheck_AcceptsAndRejectsFiles(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.yaml"), filepath.Join(dir, "bad.yaml")
	const format = `resources:
- "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
  cluster_name: rooms
  endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: %s, port_value: 9000}}}}]}]
`
	for path, host := range map[string]string{good: "10.0.0.1", bad: "rooms.svc"} {
		if err := os.WriteFile(path, fmt.Appendf(nil, format, host), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, err := runXDS(t, "check", good)
	wantInOutput(t, out, err, "10.0.0.1:9000", "good: 1 servers")
	_, err = runXDS(t, "check", bad)
	wantInError(t, err, bad, `want an IP address, got "rooms.svc"`)
	_, err = runXDS(t, "dump")
	wantInError(t, err, "--config")
}
