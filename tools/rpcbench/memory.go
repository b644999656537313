package main

import (
	"fmt"
	"net"
	"time"

	"cobaltward/msgpackrpc"
)

const (
	memoryConns = 1000
	memoryCalls = 200 // calls in flight, one per connection; the admission policy would queue more calls

	// memorySettleTime is the time for a node to accept connections and forward calls before its memory is read.
	memorySettleTime = 500 * time.Millisecond
)

// measureMemory prints the memory of a node per connection without a call and per call in flight.
func measureMemory() error {
	servers, err := startServers(serveNothing)
	if err != nil {
		return err
	}
	node, err := startNode(protocolMsgpack, "", servers)
	if err != nil {
		return err
	}
	defer node.stop()
	conns := make([]net.Conn, 0, memoryConns)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	empty, err := settledHeap(node)
	if err != nil {
		return err
	}
	for range memoryConns {
		conn, err := net.Dial("tcp", node.addr)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	idle, err := settledHeap(node)
	if err != nil {
		return err
	}
	for i, conn := range conns[:memoryCalls] {
		call := newCall(fmt.Sprint("m", i), "/", make([]byte, 100))
		if _, err := conn.Write(msgpackrpc.AppendCall(nil, 1, &call)); err != nil {
			return err
		}
	}
	loaded, err := settledHeap(node)
	if err != nil {
		return err
	}
	fmt.Printf("%.1f KB per connection without a call, %.1f KB per call in flight, one per connection\n",
		float64(idle-empty)/memoryConns/1024, float64(loaded-idle)/memoryCalls/1024)
	return nil
}

func settledHeap(node *nodeProcess) (uint64, error) {
	time.Sleep(memorySettleTime)
	reported, err := node.usage()
	return reported.Heap, err
}
