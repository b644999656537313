package main

import (
	"fmt"
	"net"
	"runtime"
	"time"

	"cobaltward/internal/pki"
	"cobaltward/router"
	"cobaltward/tools/internal/benchkit"
	"cobaltward/transport/secure"
)

// closeSettleTime is the time for both ends to release closed connections.
const closeSettleTime = 200 * time.Millisecond

// heapBytes returns the bytes of heap and stack memory that are in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // the first collection runs finalizers, the second frees their objects
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// measureMemory prints the memory of a connection and of a session. Both ends of each connection are in this process.
func (b *bench) measureMemory() error {
	own, trust, err := b.writeCertificates(pki.P256)
	if err != nil {
		return err
	}
	_, ln, err := listenTLSEcho(own)
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	clientTLS, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}})
	if err != nil {
		return err
	}
	defer clientTLS.Close()
	plain, err := b.plainConnMemory()
	if err != nil {
		return err
	}
	addr := ln.Addr().String()
	encrypted, err := measureConns(b.count, func(int) (net.Conn, error) {
		return dialTLSEcho(clientTLS, router.Endpoint{ID: "s", Addr: addr})
	})
	if err != nil {
		return err
	}
	sessions, err := b.sessionMemory(clientTLS, addr)
	if err != nil {
		return err
	}
	perUnit := func(bytes uint64) float64 { return float64(bytes) / float64(b.count) / 1e3 }
	fmt.Printf("memory: TLS connection, both ends, %.1f KB (%.1f KB without TLS); "+
		"a server with its session %.1f KB (%d kept)\n",
		perUnit(encrypted), perUnit(plain), perUnit(sessions), clientTLS.Stats().Sessions)
	return nil
}

// plainConnMemory returns the memory of b.count connections without TLS, in bytes.
func (b *bench) plainConnMemory() (uint64, error) {
	ln, err := benchkit.ListenLoopback()
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	go benchkit.AcceptLoop(ln, benchkit.EchoConn)
	return measureConns(b.count, func(int) (net.Conn, error) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return nil, err
		}
		return conn, exchange(conn)
	})
}

// sessionMemory returns the memory of b.count servers with one TLS session each, in bytes. The connections to the
// servers are closed before the measurement.
func (b *bench) sessionMemory(clientTLS *secure.ClientTLS, addr string) (uint64, error) {
	before := heapBytes()
	for i := range b.count {
		conn, err := dialTLSEcho(clientTLS, router.Endpoint{ID: fmt.Sprint("s", i), Addr: addr})
		if err != nil {
			return 0, err
		}
		_ = conn.Close()
	}
	time.Sleep(closeSettleTime)
	return heapBytes() - before, nil
}

// measureConns opens count connections with dial, returns the memory of the connections in bytes, and closes them.
func measureConns(count int, dial func(i int) (net.Conn, error)) (uint64, error) {
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
		time.Sleep(closeSettleTime)
	}()
	before := heapBytes()
	for i := range count {
		conn, err := dial(i)
		if err != nil {
			return 0, err
		}
		open = append(open, conn)
	}
	return heapBytes() - before, nil
}
