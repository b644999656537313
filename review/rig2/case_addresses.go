package main

import (
	"fmt"
	"time"
)

func init() { cases["reused-address"] = reusedAddress }

// reusedAddress: servers are replaced. One gets the address that another one had, which later comes back elsewhere.
func reusedAddress(w *world) verdict {
	s1, s2 := w.newAppServer("a and b", "127.0.0.2", 20*time.Millisecond), w.newAppServer("c", "127.0.0.3", 20*time.Millisecond)
	s3 := w.newAppServer("a again", "127.0.0.4", 20*time.Millisecond)
	discovery := w.newRegistry(up("a", s1.addr), up("c", s2.addr))
	plane, addr := w.startControlPlane("", fmt.Sprintf("cluster rooms\nendpoints rooms %s\npush\n", s2.addr))
	listen := w.freeAddr("127.0.0.1")
	node := w.startNode("node", nodeConfig{
		listen: listen, discovery: discovery.addr, known: []member{up("a", s1.addr), up("c", s2.addr)},
		own: fmt.Sprintf("[xds]\nbootstrap = %q\n", w.bootstrap(addr)),
	})
	clients := w.startTraffic(listen, 6, 20*time.Millisecond)
	defer clients.end(w)
	w.await("requests are served", 10*time.Second, func() bool { return clients.served() >= 20 })
	time.Sleep(2 * time.Second)
	if w.trouble {
		now := plane.wallMillis()
		b, a := up("b", s1.addr), up("a", s3.addr)
		b.UpSince, a.UpSince = now, now+3000
		discovery.change(b, up("a", s1.addr).in("removed"))
		time.Sleep(3 * time.Second)
		discovery.change(a)
	}
	time.Sleep(4 * time.Second)
	if node.ended() {
		w.note("the node has ended by itself: %s", node.state)
		w.noteOutput(node, "panic:", "discovery/merge")
		return broken
	}
	w.note("the node runs")
	return held
}
