package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["tls-second-copy"] = tlsSecondCopy }

const (
	tlsClients    = 8
	tlsRequests   = 150 // of each client
	tlsService    = 15 * time.Millisecond
	turnAwayEvery = 10                   // a server turns away one of so many requests, unrun
	copyDelay     = 5 * time.Millisecond // how late the second copy of such an answer comes
)

// serverKeys makes an authority, writes its certificate to a file, and returns a certificate for 127.0.0.1.
func serverKeys(dir string) (authority string, server tls.Certificate, err error) {
	newCert := func(serial int64, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) ([]byte, *ecdsa.PrivateKey, error) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, nil, err
		}
		template.SerialNumber = big.NewInt(serial)
		template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(24*time.Hour)
		if parent == nil {
			parent, parentKey = template, key
		}
		raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
		return raw, key, err
	}
	ca := &x509.Certificate{
		Subject: pkix.Name{CommonName: "review"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caRaw, caKey, err := newCert(1, ca, nil, nil)
	if err != nil {
		return "", server, err
	}
	leaf := &x509.Certificate{
		Subject: pkix.Name{CommonName: "app server"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	leafRaw, leafKey, err := newCert(2, leaf, ca, caKey)
	if err != nil {
		return "", server, err
	}
	authority = filepath.Join(dir, "ca.pem")
	err = os.WriteFile(authority, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: caRaw}), 0o600)
	return authority, tls.Certificate{Certificate: [][]byte{leafRaw}, PrivateKey: leafKey}, err
}

// tlsSecondCopy plays the case with TLS; with PLAIN=1 in the environment, for comparison, without.
//
// It has servers that speak TLS turn away some bookings. With trouble, the answer that says so comes a
// second time, 5 ms after the first.
func tlsSecondCopy(w *world) (verdict, error) {
	plain := os.Getenv("PLAIN") == "1"
	authority, certificate, err := serverKeys(w.dir)
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var members []object
	ran := make(map[string][]string) // servers that have run each id
	received, turnedAway, copies := 0, 0, 0
	underway := make(map[net.Conn]chan struct{}) // closed when the second copy on a connection has arrived
	awaitCopy := func(conn net.Conn) {
		mu.Lock()
		arrived := underway[conn]
		mu.Unlock()
		if arrived != nil {
			<-arrived
		}
	}
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return verdict{}, err
		}
		member := member(fmt.Sprintf("s-%d", i+1), ln.Addr().String())
		if !plain {
			ln = tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{certificate}})
		}
		id := fmt.Sprintf("s-%d", i+1)
		startServer(ln, func(conn net.Conn, r arrival) {
			mu.Lock()
			received++
			turnAway := received%turnAwayEvery == 0
			if turnAway {
				turnedAway++
			}
			mu.Unlock()
			if turnAway {
				awaitCopy(conn)
				w.rec.printf("%s turns away %s, unrun", id, r.id)
				answer := []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				_, _ = conn.Write(answer)
				if w.trouble {
					// The copy belongs right behind the answer, when nothing else waits on the connection, and is late by
					// copyDelay on its way. As on any connection, it stays ahead of every later answer.
					arrived := make(chan struct{})
					mu.Lock()
					copies++
					underway[conn] = arrived
					mu.Unlock()
					time.AfterFunc(copyDelay, func() {
						w.rec.printf("%s: the second copy of that answer, to %s, arrives", id, r.id)
						_, _ = conn.Write(answer)
						close(arrived)
					})
				}
				return
			}
			time.Sleep(tlsService)
			awaitCopy(conn)
			mu.Lock()
			ran[r.id] = append(ran[r.id], id)
			mu.Unlock()
			w.rec.printf("%s ran %s", id, r.id)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.id), r.id)
		})
		members = append(members, member)
	}
	platform, err := startAgent(members)
	if err != nil {
		return verdict{}, err
	}
	own := filepath.Join(w.dir, "wayhold.toml")
	text := fmt.Sprintf("[tls]\n[[tls.servers]]\nzones = [\"bystrica\"]\ntrust = %q\n", authority)
	if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
		return verdict{}, err
	}
	if plain {
		own = ""
	}
	n, err := startNode(w.root, w.dir, platform.addr(), platform.list(), own)
	if err != nil {
		return verdict{}, err
	}

	var result verdict
	statuses := make(map[string]int)
	foreign := 0
	var clients sync.WaitGroup
	for i := range tlsClients {
		clients.Go(func() {
			c := newClient(n.listen)
			for j := range tlsRequests {
				r := request{
					id: fmt.Sprintf("c%d-%04d-%08x", i, j, i*7919+j*104729), class: "rezervacia", body: "{}",
					deadline: 1500 * time.Millisecond,
				}
				w.rec.printf("client %d: sends rezervacia %s", i, r.id)
				got := c.send(r)
				w.rec.printf("client %d: %s: status %d, body %q, error %v", i, r.id, got.status, got.body, got.err)
				mu.Lock()
				statuses[fmt.Sprintf("%d, error %v", got.status, got.err != nil)]++
				if got.status == 200 && got.err == nil && string(got.body) != r.id {
					foreign++
				}
				mu.Unlock()
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	if err := n.running(); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	for id, servers := range ran {
		if len(servers) > 1 {
			result.broken = append(result.broken, fmt.Sprintf("rezervacia %s was run %d times, by %v", id, len(servers), servers))
		}
	}
	result.summary = fmt.Sprintf(
		"%d bookings, answers by status %v; %d turned away unrun, %d second copies; %d bookings run more than once, %d served with another's answer",
		tlsClients*tlsRequests, statuses, turnedAway, copies, len(result.broken), foreign)
	return result, nil
}
