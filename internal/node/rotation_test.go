package node

import (
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
)

const unknownAuthority = "unknown authority"

// rotation changes the certificates of a harness step by step.
type rotation struct {
	*rotationHarness
	interval time.Duration // interval between changes
	changes  int
}

// step makes a change and renews the certificate of the node's own listener. Then it waits for the interval.
func (r *rotation) step(change func()) {
	r.t.Helper()
	change()
	r.renewListenerCert()
	r.changes++
	time.Sleep(r.interval)
}

// present makes servers present new certificates of issuer.
func (r *rotation) present(servers []*rotationServer, issuer *pki.Authority) {
	for _, server := range servers {
		server.present(r.newLeaf(issuer))
	}
}

func (r *rotation) swapCAs() { r.oldCA, r.newCA = r.newCA, r.oldCA }

func (r *rotation) halves() (first, second []*rotationServer) {
	half := len(r.servers) / 2
	return r.servers[:half], r.servers[half:]
}

// run replaces the authority four times, each time in another order of the steps.
func (r *rotation) run() {
	r.t.Helper()
	r.step(func() { r.present(r.servers, r.oldCA) }) // new certificates of the same authority
	r.trustBothFirst()
	r.replaceServersFirst()
	r.withdrawOldFirst()
	r.crossSign()
}

// trustBothFirst makes the node trust both authorities while the certificates of the servers are replaced in two
// halves.
func (r *rotation) trustBothFirst() {
	r.t.Helper()
	first, second := r.halves()
	r.step(func() { r.setTrust(r.oldCA, r.newCA) })
	r.step(func() { r.present(first, r.newCA) })
	r.step(func() { r.present(second, r.newCA) })
	r.step(func() { r.setTrust(r.newCA) })
	r.swapCAs()
}

// replaceServersFirst makes half of the servers present certificates of an authority that is not trusted yet.
func (r *rotation) replaceServersFirst() {
	r.t.Helper()
	first, second := r.halves()
	r.step(func() { r.present(first, r.newCA) })
	testkit.Await(r.t, "an untrusted server", func() bool {
		return r.tlsStatus().Servers.Failures[unknownAuthority] > 0
	})
	r.step(func() { r.setTrust(r.oldCA, r.newCA) })
	r.step(func() { r.present(second, r.newCA) })
	r.step(func() { r.setTrust(r.newCA) })
	r.swapCAs()
}

// withdrawOldFirst makes the node stop trusting the old authority while half of the servers still present its
// certificates.
func (r *rotation) withdrawOldFirst() {
	r.t.Helper()
	first, second := r.halves()
	r.step(func() {
		r.setTrust(r.oldCA, r.newCA)
		r.present(first, r.newCA)
	})
	r.step(func() { r.setTrust(r.newCA) })
	r.step(func() { r.present(second, r.newCA) })
	r.swapCAs()
}

// crossSign makes the old authority sign the certificate of the new authority. The servers' certificates are then
// valid with either authority.
func (r *rotation) crossSign() {
	r.t.Helper()
	cross := r.oldCA.CrossSign(r.newCA)
	r.step(func() {
		for _, server := range r.servers {
			cert := r.newLeaf(r.newCA, cross)
			cert.authorities = append(cert.authorities, r.oldCA)
			server.present(cert)
		}
	})
	r.step(func() { r.setTrust(r.newCA) })
	r.swapCAs()
}

// TestRotationsUnderLoad checks that no request is lost, executed twice or sent to an untrusted server while
// certificates and authorities change under load, in different orders. WAYHOLD_ROTATE sets the duration of a long
// run, with one change a second and 72 servers.
func TestRotationsUnderLoad(t *testing.T) {
	interval, duration, servers := 250*time.Millisecond, time.Duration(0), 12
	if text := os.Getenv("WAYHOLD_ROTATE"); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
		interval, servers = time.Second, 72
	}
	harness := newRotationHarness(t, servers)
	harness.start()
	ctx, stop := context.WithCancel(context.Background())
	load := harness.load(ctx, 12)
	rotation := &rotation{rotationHarness: harness, interval: interval}
	for startedAt := time.Now(); ; {
		rotation.run()
		if time.Since(startedAt) >= duration {
			break
		}
	}
	stop()
	load.Wait()

	status := harness.tlsStatus()
	toServers, toClients := status.Servers, status.Clients
	t.Logf("%d changes; handshakes with servers: %d full, %d resumed, failures %v; "+
		"with clients: %d full, %d resumed, failures %v",
		rotation.changes, toServers.Full.Count, toServers.Resumed.Count, toServers.Failures,
		toClients.Full.Count, toClients.Resumed.Count, toClients.Failures)
	if status.RejectedFileReason != "" || toServers.Failures[unknownAuthority] == 0 {
		t.Errorf("rejected file: %q, failures %v: want no rejected file, and some untrusted servers",
			status.RejectedFileReason, toServers.Failures)
	}
	harness.checkResults()
}

// TestRotation_CertificatesExpire checks that the node no longer trusts servers whose certificates expire while
// connections are open. Servers that replace their certificates before the expiry keep serving requests. The other
// servers must get no more requests, not even over open connections.
func TestRotation_CertificatesExpire(t *testing.T) {
	harness := newRotationHarness(t, 6)
	end := time.Now().Add(2500 * time.Millisecond).Truncate(time.Second).Add(time.Second)
	for _, server := range harness.servers {
		leaf := harness.oldCA.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, To: end})
		cert := harness.newServedCert([]*pki.Authority{harness.oldCA}, leaf.TLS())
		cert.validUntil = end.Add(time.Second) // X.509 times have a resolution of one second
		server.present(cert)
	}
	harness.start()
	ctx, stop := context.WithCancel(context.Background())
	load := harness.load(ctx, 8)
	time.Sleep(time.Until(end.Add(-time.Second)))
	for _, server := range harness.servers[:3] { // their certificates are replaced before the expiry
		server.present(harness.newLeaf(harness.oldCA))
	}
	late := harness.servers[3]
	testkit.Await(t, "the late server to be untrusted", func() bool {
		if harness.untrustedReason(late.id) == "expired" {
			return true
		}
		return time.Since(end) > 3*time.Second && late.requests.Load() == 0 // without requests, expiry goes unnoticed
	})
	time.Sleep(500 * time.Millisecond)
	stop()
	load.Wait()
	harness.checkResults()
}

// invalidCerts returns certificates that do not prove a server's identity, by the reason that the node reports. A
// suffix in parentheses distinguishes certificates with the same reason.
func (h *rotationHarness) invalidCerts() map[string]servedCert {
	name := []string{"127.0.0.1"}
	intermediate := h.oldCA.NewIntermediate("middle")
	certs := make(map[string]servedCert)
	for reason, pair := range map[string]pki.Pair{
		"another name":              h.oldCA.Issue(pki.Leaf{Names: []string{"other.example"}}),
		"expired":                   h.oldCA.Issue(pki.Leaf{Names: name, To: time.Now().Add(-time.Second)}),
		"not yet valid":             h.oldCA.Issue(pki.Leaf{Names: name, From: time.Now().Add(time.Hour)}),
		unknownAuthority:            pki.NewAuthority("a stranger").Issue(pki.Leaf{Names: name}),
		unknownAuthority + " (gap)": intermediate.Issue(pki.Leaf{Names: name}), // without the intermediate certificate
		"sends too much":            h.oldCA.Issue(pki.Leaf{Names: name, Padding: 100 << 10}),
	} {
		certs[reason] = h.newServedCert(nil, pair.TLS())
	}
	return certs
}

// TestRotation_InvalidCertificateOnOneServer checks that invalid certificates of one server affect only that server.
// The server must become untrusted, and the node must not retry handshakes with it in rapid succession. Within
// seconds after the server presents a valid certificate, it must get requests.
func TestRotation_InvalidCertificateOnOneServer(t *testing.T) {
	harness := newRotationHarness(t, 4)
	harness.start()
	ctx, stop := context.WithCancel(context.Background())
	load := harness.load(ctx, 8)
	server := harness.servers[0] // the node sends requests to the first server first
	var longestReturn time.Duration
	for name, cert := range harness.invalidCerts() {
		server.present(cert)
		reason, _, _ := strings.Cut(name, " (")
		// Open connections stay trusted until they end, because the certificate of their handshake counts.
		testkit.Await(t, name, func() bool { return harness.untrustedReason(server.id) == reason })
		time.Sleep(200 * time.Millisecond) // lets handshakes in progress end
		before := harness.tlsStatus().Servers.Failures[reason]
		time.Sleep(300 * time.Millisecond)
		if after := harness.tlsStatus().Servers.Failures[reason]; after > before+2 {
			t.Errorf("%s: %d handshakes within 300 ms", name, after-before)
		}
		server.present(harness.newLeaf(harness.oldCA))
		repairedAt := time.Now()
		testkit.Await(t, "the server to get requests again", func() bool {
			return server.lastRequestAt.Load() > repairedAt.UnixNano()
		})
		longestReturn = max(longestReturn, time.Since(repairedAt))
	}
	stop()
	load.Wait()
	t.Logf("the server got requests again after %v at most", longestReturn.Round(time.Millisecond))
	if longestReturn > 8*time.Second {
		t.Errorf("the server got requests again after %v, want at most 8 s", longestReturn)
	}
	harness.checkResults()
}

// TestHandshakes_StalledOnesDelayNoRequest checks that a request is served while other clients have stalled in their
// handshakes. A stalled handshake must not use the CPU budget.
func TestHandshakes_StalledOnesDelayNoRequest(t *testing.T) {
	harness := newRotationHarness(t, 1)
	harness.start()
	const stalled = 12
	for range stalled {
		conn, err := net.Dial("tcp", harness.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte("\x16\x03\x01\x02\x00\x01")); err != nil { // start of a ClientHello of 512 bytes
			t.Fatal(err)
		}
	}
	testkit.Await(t, "the stalled handshakes", func() bool { return harness.tlsStatus().Clients.InProgress >= stalled })
	harness.request(harness.client(), "c0", true, drainSettings().Classes[0])
	if status := harness.tlsStatus(); status.Clients.InProgress < stalled {
		t.Errorf("%d of %d stalled handshakes in progress: the request was served only after others had ended",
			status.Clients.InProgress, stalled)
	}
	harness.checkResults()
}
