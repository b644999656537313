package main

import (
	"fmt"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/router"
	"cobaltward/transport/secure"
)

const handshakesHeader = "handshakes one after the other, both sides in one process: key, kind, handshakes/s, " +
	"mean time, work of the node as client, as server"

// measureHandshakes measures sequential full and resumed handshakes with each kind of key.
func (b *bench) measureHandshakes() error {
	fmt.Println(handshakesHeader)
	for _, kind := range []string{pki.RSA2048, pki.P256, pki.Ed25519} {
		own, trust, err := b.writeCertificates(kind)
		if err != nil {
			return err
		}
		for _, resumed := range []bool{false, true} {
			if err := b.measureHandshakeKind(own, trust, kind, resumed); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureHandshakeKind measures full or resumed handshakes with one kind of key. It makes b.count+1 handshakes,
// because the first handshake can't be resumed.
func (b *bench) measureHandshakeKind(own, trust *certificates.Store, key string, resumed bool) error {
	terminator, ln, err := listenTLSEcho(own)
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	clientTLS, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}, CPU: newCPUScheduler()})
	if err != nil {
		return err
	}
	defer clientTLS.Close()
	server := router.Endpoint{ID: "s", Addr: ln.Addr().String()}
	for range b.count + 1 {
		if !resumed {
			clientTLS.RemoveServer(server.ID) // deletes the TLS session, so that the handshake is full
		}
		conn, err := dialTLSEcho(clientTLS, server)
		if err != nil {
			return err
		}
		_ = conn.Close()
	}
	name, asClient, asServer := "full", clientTLS.Stats().Full, terminator.Stats().Full
	if resumed {
		name, asClient, asServer = "resumed", clientTLS.Stats().Resumed, terminator.Stats().Resumed
	}
	mean := meanDuration(asClient.TotalTime, asClient.Count)
	fmt.Printf("  %-9s %-8s %6.0f  %8v  %8v  %8v   (%d of %d)\n",
		key, name, float64(time.Second)/float64(mean), mean,
		meanDuration(asClient.ComputeTime, asClient.Count), meanDuration(asServer.ComputeTime, asServer.Count),
		asClient.Count, b.count+1)
	return nil
}

func meanDuration(total time.Duration, count uint64) time.Duration {
	return (total / time.Duration(count)).Round(time.Microsecond)
}
