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

// startRooms begins a script: a cluster with two endpoints, which the client has acknowledged.
const startRooms = "cluster rooms\nendpoints rooms 10.0.0.1:1 10.0.0.2:1\npush\nexpect acks 2 within 20s\n"

// controlPlaneFault is what control planes do wrong, as a script of the stand-in in two parts, and the servers in force
// after each of them.
type controlPlaneFault struct{ name, first, then, held, end string }

var controlPlaneFaults = []controlPlaneFault{
	{
		name: "half of a change",
		first: startRooms + "stall endpoints\ncluster more\nendpoints more 10.0.0.3:1\nendpoints rooms 10.0.0.2:1\n" +
			"push\nexpect acks 3 within 20s",
		then: "answer",
		held: "10.0.0.1:1 10.0.0.2:1",
		end:  "10.0.0.2:1 10.0.0.3:1",
	},
	{
		name: "endpoints before their cluster",
		first: startRooms + "order endpoints-first\ncluster more\nendpoints more 10.0.0.3:1\n" +
			"endpoints rooms 10.0.0.1:1\npush",
		then: "",
		held: "10.0.0.1:1 10.0.0.3:1",
		end:  "10.0.0.1:1 10.0.0.3:1",
	},
	{
		name: "a cluster replaced by another of its name",
		first: startRooms + "stall endpoints\ncluster rooms others\nendpoints others 10.0.0.4:1\n" +
			"push\nexpect acks 3 within 20s",
		then: "answer",
		held: "10.0.0.1:1 10.0.0.2:1",
		end:  "10.0.0.4:1",
	},
	{
		name:  "a response twice",
		first: startRooms + "again\nexpect acks 3 within 20s\nagain\nexpect acks 4 within 20s",
		then:  "endpoints rooms 10.0.0.5:1\npush",
		held:  "10.0.0.1:1 10.0.0.2:1",
		end:   "10.0.0.5:1",
	},
	{
		name:  "a version that goes back",
		first: "version 9\n" + startRooms + "version 3\nendpoints rooms 10.0.0.2:1\npush",
		then:  "version 3\nendpoints rooms 10.0.0.6:1\npush",
		held:  "10.0.0.2:1",
		end:   "10.0.0.6:1",
	},
	{
		name:  "a nonce of another response",
		first: startRooms + "nonce 1\nendpoints rooms 10.0.0.2:1\npush\nexpect acks 3 within 20s",
		then:  "endpoints rooms 10.0.0.1:1\npush\nexpect acks 4 within 20s",
		held:  "10.0.0.2:1",
		end:   "10.0.0.1:1",
	},
	{
		name:  "streams that end",
		first: startRooms + "close INTERNAL\nexpect streams 2 within 20s",
		then:  "endpoints rooms 10.0.0.7:1\npush",
		held:  "10.0.0.1:1 10.0.0.2:1",
		end:   "10.0.0.7:1",
	},
	{
		name: "refused for a while",
		first: startRooms + "refuse RESOURCE_EXHAUSTED\nclose\nexpect streams 4 within 20s\n" +
			"endpoints rooms 10.0.0.8:1\npush",
		then: "accept",
		held: "10.0.0.1:1 10.0.0.2:1",
		end:  "10.0.0.8:1",
	},
	{
		name: "one bad endpoint",
		first: startRooms + "endpoints rooms 10.0.0.3:1 10.0.0.3:1\npush\n" +
			"expect nack 10.0.0.3:1 is there twice within 20s",
		then: "endpoints rooms 10.0.0.3:1\npush",
		held: "10.0.0.1:1 10.0.0.2:1",
		end:  "10.0.0.3:1",
	},
	{
		name:  "a flood",
		first: startRooms + "cluster flood\npush\nflood flood 500 100 200ms DRAINING",
		then:  "withdraw cluster flood\nwithdraw endpoints flood\nendpoints rooms 10.0.0.9:1\npush",
		held:  "10.0.0.1:1 10.0.0.2:1",
		end:   "10.0.0.9:1",
	},
	{
		name: "options of endpoints",
		first: "cluster rooms\nendpoints rooms 10.0.0.1:1/health=TIMEOUT " +
			"10.0.0.2:1/priority=1,zone=b,weight=3,kind=k,cell=2,started=1700000000000\npush",
		then: "withdraw cluster rooms",
		held: "10.0.0.2:1",
		end:  "",
	},
}

// From the first list on, a cluster that has servers is never without unless the script says so.
func TestSource_ControlPlaneFaults(t *testing.T) {
	for _, test := range controlPlaneFaults {
		t.Run(test.name, func(t *testing.T) {
			forEachVariant(t, func(t *testing.T, delta bool) {
				t.Parallel()
				controlPlane := startControlPlane(t)
				_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: delta})
				for i, part := range []string{test.first, test.then} {
					runScript(t, controlPlane, part)
					published.await(t, []string{test.held, test.end}[i])
				}
				if seen := controlPlane.Requests(); len(seen) < 2 || seen[0].Node != "test" || seen[0].Stream != 1 {
					t.Errorf("the requests are not on record: %+v", seen)
				}
			})
		})
	}
}

// runScript runs a script, which must end without an error.
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

// A mistake in a script is reported with its line, before anything is served; an expectation that is not
// met fails.
func TestParseScript_Errors(t *testing.T) {
	for text, want := range map[string]string{
		"push\npussh":                      "line 2: pussh: no such step",
		"endpoints rooms host:1":           `line 1: endpoints: want IP:port, got "host:1"`,
		"endpoints rooms 10.0.0.1:1/cel=1": `no such option: "cel"`,
		"endpoints r 10.0.0.1:1/health=UP": `health: no such state: "UP"`,
		"# a remark\n\nwait long":          "line 3: wait: want a time",
		"close SOME_CODE":                  "want a code of gRPC",
		"drop 130%":                        "want 0% to 100%",
		"flood rooms 10 0 1s":              "1 to 1000 times a second",
		"withdraw server s":                "want cluster NAME or endpoints NAME",
		"expect acks 1":                    `want acks N, streams N, or nack TEXT, then "within TIME"`,
		"stall servers":                    "want clusters, endpoints or nothing",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := standin.ParseScript(strings.NewReader(text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got %v, want %q", text, err, want)
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
		!strings.Contains(err.Error(), "line 2: expect streams 1 within 10ms: not so") {
		t.Errorf("got %v", err)
	}
}

// certificate makes a certificate for 127.0.0.1 that signs itself, and writes it and its key.
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

// Over TLS, an answer of 16 MB and more is taken whole. A control plane that the CA does not vouch for is
// not believed.
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
	// Hostnames, which the router does not read, make the answer large.
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
	boot := fmt.Sprintf(
		`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"tls"}]}],"node":{"id":"n"}}`,
		controlPlane.Addr,
	)
	for ca, want := range map[string]int{cert: n, other: 0} {
		c, err := ParseBootstrap([]byte(boot), ca)
		if err != nil {
			t.Fatal(err)
		}
		source, published := runSource(t, c)
		if want == 0 {
			testkit.Await(t, "the refusal", func() bool { return source.Status().LastError != nil })
			if err := source.Status().LastError.Error(); !strings.Contains(err, "certificate") {
				t.Errorf("refused for %s", err)
			}
		} else {
			testkit.Await(t, "the whole list", func() bool { return source.Status().Complete })
		}
		published.mu.Lock()
		if len(published.members) != want {
			t.Errorf("%d servers, want %d", len(published.members), want)
		}
		published.mu.Unlock()
	}
}

// drop_overloads: the part of the requests of classes that are bound to the cluster is refused and reaches
// no server, others are none of its business, and all go through once it is withdrawn.
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
				t.Errorf("%+v", a)
			}
		}
		return got
	}
	for _, test := range []struct {
		percent     string
		least, most int
	}{{"0%", 200, 200}, {"30%", 100, 180}, {"100%", 0, 0}, {"0%", 200, 200}} {
		runScript(t, controlPlane, "cluster rooms\nendpoints rooms "+app.addrs[0]+"\ndrop "+test.percent+"\npush")
		testkit.Await(t, "the part "+test.percent, func() bool {
			st := r.Stats()
			return st.EndpointsByAvailability[policy.Running] == 1 &&
				fmt.Sprintf("%.0f%%", 100*st.Drops["rooms"]) == test.percent
		})
		before := r.Stats().Dropped
		if got := served("bound", 200); got < test.least || got > test.most || int(r.Stats().Dropped-before) != 200-got {
			t.Errorf("%s: %d of 200 served, %d dropped", test.percent, got, r.Stats().Dropped-before)
		}
		if got := served("free", 50); got != 50 {
			t.Errorf("%s: %d of 50 of another class served", test.percent, got)
		}
	}
}
