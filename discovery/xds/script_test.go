package xds

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/discovery/xds/standin"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// startRooms is the beginning of a script. It pushes a cluster with two endpoints and waits until the client has
// acknowledged both resources.
const startRooms = "cluster rooms\nendpoints rooms 10.0.0.1:1 10.0.0.2:1\npush\nexpect acks 2 within 20s\n"

// controlPlaneFault is a fault of a control plane. faultScript causes the fault at the stand-in, and recoveryScript
// ends the fault. The other fields are the running servers that are expected after each script.
type controlPlaneFault struct{ name, faultScript, recoveryScript, wantDuringFault, wantAfterRecovery string }

var controlPlaneFaults = []controlPlaneFault{
	{
		name: "half of a change",
		faultScript: startRooms + "stall endpoints\ncluster more\nendpoints more 10.0.0.3:1\nendpoints rooms 10.0.0.2:1\n" +
			"push\nexpect acks 3 within 20s",
		recoveryScript:    "answer",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.2:1 10.0.0.3:1",
	},
	{
		name: "endpoints before their cluster",
		faultScript: startRooms + "order endpoints-first\ncluster more\nendpoints more 10.0.0.3:1\n" +
			"endpoints rooms 10.0.0.1:1\npush",
		recoveryScript:    "",
		wantDuringFault:   "10.0.0.1:1 10.0.0.3:1",
		wantAfterRecovery: "10.0.0.1:1 10.0.0.3:1",
	},
	{
		name: "a cluster replaced by another of its name",
		faultScript: startRooms + "stall endpoints\ncluster rooms others\nendpoints others 10.0.0.4:1\n" +
			"push\nexpect acks 3 within 20s",
		recoveryScript:    "answer",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.4:1",
	},
	{
		name:              "a response twice",
		faultScript:       startRooms + "again\nexpect acks 3 within 20s\nagain\nexpect acks 4 within 20s",
		recoveryScript:    "endpoints rooms 10.0.0.5:1\npush",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.5:1",
	},
	{
		name:              "a version that goes back",
		faultScript:       "version 9\n" + startRooms + "version 3\nendpoints rooms 10.0.0.2:1\npush",
		recoveryScript:    "version 3\nendpoints rooms 10.0.0.6:1\npush",
		wantDuringFault:   "10.0.0.2:1",
		wantAfterRecovery: "10.0.0.6:1",
	},
	{
		name:              "a nonce of another response",
		faultScript:       startRooms + "nonce 1\nendpoints rooms 10.0.0.2:1\npush\nexpect acks 3 within 20s",
		recoveryScript:    "endpoints rooms 10.0.0.1:1\npush\nexpect acks 4 within 20s",
		wantDuringFault:   "10.0.0.2:1",
		wantAfterRecovery: "10.0.0.1:1",
	},
	{
		name:              "streams that end",
		faultScript:       startRooms + "close INTERNAL\nexpect streams 2 within 20s",
		recoveryScript:    "endpoints rooms 10.0.0.7:1\npush",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.7:1",
	},
	{
		name: "refused for a while",
		faultScript: startRooms + "refuse RESOURCE_EXHAUSTED\nclose\nexpect streams 4 within 20s\n" +
			"endpoints rooms 10.0.0.8:1\npush",
		recoveryScript:    "accept",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.8:1",
	},
	{
		name: "one bad endpoint",
		faultScript: startRooms + "endpoints rooms 10.0.0.3:1 10.0.0.3:1\npush\n" +
			"expect nack 10.0.0.3:1 is there twice within 20s",
		recoveryScript:    "endpoints rooms 10.0.0.3:1\npush",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.3:1",
	},
	{
		name:              "a flood",
		faultScript:       startRooms + "cluster flood\npush\nflood flood 500 100 200ms DRAINING",
		recoveryScript:    "withdraw cluster flood\nwithdraw endpoints flood\nendpoints rooms 10.0.0.9:1\npush",
		wantDuringFault:   "10.0.0.1:1 10.0.0.2:1",
		wantAfterRecovery: "10.0.0.9:1",
	},
	{
		name: "options of endpoints",
		faultScript: "cluster rooms\nendpoints rooms 10.0.0.1:1/health=TIMEOUT " +
			"10.0.0.2:1/priority=1,zone=b,weight=3,kind=k,cell=2,started=1700000000000\npush",
		recoveryScript:    "withdraw cluster rooms",
		wantDuringFault:   "10.0.0.2:1",
		wantAfterRecovery: "",
	},
}

// TestSource_ControlPlaneFaults checks that faults of a control plane do not remove the servers of a cluster. Only a
// change in the script removes servers.
func TestSource_ControlPlaneFaults(t *testing.T) {
	for _, test := range controlPlaneFaults {
		t.Run(test.name, func(t *testing.T) {
			forEachVariant(t, func(t *testing.T, delta bool) {
				t.Parallel()
				controlPlane := startControlPlane(t)
				_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: delta})
				for i, part := range []string{test.faultScript, test.recoveryScript} {
					runScript(t, controlPlane, part)
					published.await(t, []string{test.wantDuringFault, test.wantAfterRecovery}[i])
				}
				if seen := controlPlane.Requests(); len(seen) < 2 || seen[0].Node != "test" || seen[0].Stream != 1 {
					t.Errorf("unexpected recorded requests: %+v", seen)
				}
			})
		})
	}
}

// runScript runs the script in text and fails the test if the script returns an error.
func runScript(t *testing.T, controlPlane *standin.ControlPlane, text string) {
	t.Helper()
	script, err := standin.ParseScript(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := script.Run(t.Context(), controlPlane, io.Discard); err != nil {
		t.Fatal(err)
	}
}

// TestParseScript_Errors checks that an invalid script is rejected before anything is served, with an error that
// names the line. If an expectation is not met, Run must return an error.
func TestParseScript_Errors(t *testing.T) {
	for text, want := range map[string]string{
		"push\npussh":                      "line 2: pussh: no such step",
		"endpoints rooms host:1":           `line 1: endpoints: want IP:port, got "host:1"`,
		"endpoints rooms 10.0.0.1:1/cel=1": `no such option: "cel"`,
		"endpoints r 10.0.0.1:1/health=UP": `health: no such status: "UP"`,
		"# a comment\n\nwait long":         "line 3: wait: want a duration",
		"close SOME_CODE":                  "want a gRPC status code",
		"drop 130%":                        "want 0% to 100%",
		"flood rooms 10 0 1s":              "1 to 1000 times a second",
		"withdraw server s":                "want cluster NAME or endpoints NAME",
		"expect acks 1":                    `want acks N, streams N, or nack TEXT, then "within TIME"`,
		"stall servers":                    "want clusters, endpoints or nothing",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := standin.ParseScript(strings.NewReader(text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got error %v, want %q", text, err, want)
			}
		})
	}
	controlPlane := startControlPlane(t)
	source, err := standin.ParseScript(strings.NewReader("push\nexpect streams 1 within 10ms"))
	if err != nil {
		t.Fatal(err)
	}
	if err := source.Run(
		t.Context(),
		controlPlane,
		io.Discard,
	); err == nil ||
		!strings.Contains(err.Error(), "line 2: expect streams 1 within 10ms: not met") {
		t.Errorf("got error %v, want one for the expectation that was not met", err)
	}
}

// certificate creates a self-signed certificate for 127.0.0.1. It returns the paths of the certificate and its key.
func certificate(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, b := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: encoded},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
}

// TestSource_TLSAndLargeResponse checks that a response of more than 16 MB is received completely over TLS. A control
// plane must be rejected if the CA has not signed its certificate.
func TestSource_TLSAndLargeResponse(t *testing.T) {
	cert, key := certificate(t)
	other, _ := certificate(t)
	creds, err := credentials.NewServerTLSFromFile(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	controlPlane, err := standin.Start("", grpc.Creds(creds))
	if err != nil {
		t.Fatal(err)
	}
	defer controlPlane.Stop()
	// The router ignores hostnames. They make the response large.
	const n = 20_000
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255)
	}
	a := assignment("rooms", addrs...)
	for _, e := range a.Endpoints[0].LbEndpoints {
		e.GetEndpoint().Hostname = strings.Repeat("h", 900)
	}
	controlPlane.Set(cluster("rooms"), a)
	bootstrap := fmt.Sprintf(
		`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"tls"}]}],"node":{"id":"n"}}`,
		controlPlane.Addr,
	)
	for ca, want := range map[string]int{cert: n, other: 0} {
		c, err := ParseBootstrap([]byte(bootstrap), ca)
		if err != nil {
			t.Fatal(err)
		}
		source, published := runSource(t, c)
		if want == 0 {
			testkit.Await(t, "the failed connection", func() bool { return source.Status().LastError != nil })
			if err := source.Status().LastError.Error(); !strings.Contains(err, "certificate") {
				t.Errorf("the stream failed with %s, want a certificate error", err)
			}
		} else {
			testkit.Await(t, "the complete list", func() bool { return source.Status().Complete })
		}
		published.mu.Lock()
		if len(published.endpoints) != want {
			t.Errorf("%d servers, want %d", len(published.endpoints), want)
		}
		published.mu.Unlock()
	}
}

// TestSource_DropOverloads checks that drop_overloads rejects the given fraction of the requests in classes bound to
// the cluster. The rejected requests must not reach a server. Requests of other classes must not be affected. After
// the drop overload is withdrawn, all requests must be served.
func TestSource_DropOverloads(t *testing.T) {
	controlPlane, app := startControlPlane(t), newAppServers(t, 1)
	source, err := New(Config{Servers: []Server{{Addr: controlPlane.Addr}}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := router.New(router.Config{Settings: policy.Settings{
		Nodes:        1,
		Capabilities: policy.Capabilities{RetryAfter: true},
		Classes: []policy.Class{
			{Name: "bound", Deadline: 10 * time.Second, Idempotency: policy.Idempotent, Pool: "rooms"},
			{Name: "free", Deadline: 10 * time.Second, Idempotency: policy.Idempotent},
		},
	}}, router.WithEndpointSource(source), router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	ids := 0
	served := func(class string, n int) (got int) {
		for range n {
			ids++
			a, err := r.Do(t.Context(), router.Request{ID: fmt.Sprint(ids), Class: class, Tenant: "t"})
			if err != nil {
				t.Fatal(err)
			}
			switch {
			case a.Outcome == router.Served:
				got++
			case a.Outcome != router.Rejected || a.RetryAfter <= 0:
				t.Errorf("unexpected answer to a dropped request: %+v", a)
			}
		}
		return got
	}
	for _, test := range []struct {
		percent              string
		minServed, maxServed int
	}{{"0%", 200, 200}, {"30%", 100, 180}, {"100%", 0, 0}, {"0%", 200, 200}} {
		runScript(t, controlPlane, "cluster rooms\nendpoints rooms "+app.addrs[0]+"\ndrop "+test.percent+"\npush")
		testkit.Await(t, "the drop fraction "+test.percent, func() bool {
			st := r.Stats()
			return st.EndpointsByAvailability[policy.Running] == 1 &&
				fmt.Sprintf("%.0f%%", 100*st.Drops["rooms"]) == test.percent
		})
		before := r.Stats().Dropped
		if got := served("bound", 200); got < test.minServed || got > test.maxServed ||
			int(r.Stats().Dropped-before) != 200-got {
			t.Errorf("drop %s: %d of 200 requests served, %d dropped", test.percent, got, r.Stats().Dropped-before)
		}
		if got := served("free", 50); got != 50 {
			t.Errorf("drop %s: %d of 50 requests of an unbound class served", test.percent, got)
		}
	}
}
