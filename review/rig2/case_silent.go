package main

import (
	"fmt"
	"time"
)

func init() { cases["silent-stream"] = silentStream }

// silentStream: the connection to the control plane falls silent, as one does whose far end is cut off. New connections
// to the control plane come up at once. Then the control plane drains a server.
func silentStream(w *world) verdict {
	s1, s2 := w.newAppServer("s1", "127.0.0.2", 20*time.Millisecond), w.newAppServer("s2", "127.0.0.3", 20*time.Millisecond)
	plane, addr := w.startControlPlane("", fmt.Sprintf(`cluster rooms
endpoints rooms %s %s
push
expect acks 2 within 30s
wait 5s
endpoints rooms %s/health=DRAINING %s
push
`, s1.addr, s2.addr, s1.addr, s2.addr))
	proxy := w.newProxy(addr)
	listen := w.freeAddr("127.0.0.1")
	node := w.startNode("node", nodeConfig{
		listen: listen, discovery: "127.0.0.1:9", known: []member{up("s1", s1.addr), up("s2", s2.addr)},
		own: fmt.Sprintf("[xds]\nbootstrap = %q\nalone = true\n", w.bootstrap(proxy.addr)),
	})
	clients := w.startTraffic(listen, 12, 10*time.Millisecond)
	defer clients.end(w)
	w.awaitWork(time.Now(), s1)
	w.await("the node is connected", 20*time.Second, func() bool {
		return contains(node.output(), "xds: connected to the control plane")
	})
	time.Sleep(time.Second)
	silent := time.Now()
	if w.trouble {
		silent = proxy.fallSilent()
		w.note("the connection to the control plane falls silent")
	}
	w.await("the drain at the control plane", 20*time.Second, func() bool { return len(plane.pushes()) == 2 })
	pushed := plane.pushes()[1]
	w.note("the control plane drains s1 at %.1f", w.at(pushed))
	told := pushed
	if w.trouble { // 6 s after it fell silent, and 6 s after the control plane had the change: the later one
		told = pushed.Add(6 * time.Second)
		w.note("the drain counts as told at %.1f at the latest", w.at(told))
	}
	for end := told.Add(50 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, last := s1.after(silent); time.Since(last) > 5*time.Second && time.Since(told) > 6*time.Second {
			break
		}
	}
	w.noteOutput(node, "xds:")
	return w.judgeDrain(s1, told)
}
