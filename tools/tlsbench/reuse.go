package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// measureReuse counts the node's full and resumed handshakes with servers that close connections regularly.
func (b *bench) measureReuse() error {
	subject, err := b.startNode(12, 10)
	if err != nil {
		return err
	}
	defer subject.stop()
	ctx, cancel := context.WithTimeout(context.Background(), b.loadDuration)
	defer cancel()
	var requests, failed atomic.Int64
	b.startLoad(ctx, subject.addr, 32, 2*time.Millisecond, func(o outcome) {
		requests.Add(1)
		if !o.ok {
			failed.Add(1)
		}
	}).Wait()
	status, err := subject.tlsStatus()
	if err != nil {
		return err
	}
	servers := status.Servers
	fmt.Printf("reuse: %d requests (%d not 200), servers close the connection of every tenth request: "+
		"%d full handshakes, %d resumed: %.1f%% of the full ones saved\n",
		requests.Load(), failed.Load(), servers.Full.Count, servers.Resumed.Count, 100*servers.ResumptionRate())
	return nil
}
