package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// put makes one call to the console.
func (w *site) put(path string) int {
	r, _ := http.NewRequest(http.MethodPut, "http://"+w.console+path, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// figures reads the console's page.
func (w *site) figures() map[string]int {
	resp, err := http.Get("http://" + w.console + "/status/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	all := make(map[string]int)
	for {
		var name string
		var n int
		if _, err := fmt.Fscanf(resp.Body, "%s\n", &name); err != nil {
			return all
		}
		for i := range name {
			if name[i] == '=' {
				fmt.Sscan(name[i+1:], &n)
				all[name[:i]] = n
				break
			}
		}
	}
}

func (w *site) drainState() string {
	_, s := w.order(http.MethodGet, "/status", nil)
	return s.Drain.State.String()
}

func (w *site) ready() bool {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", readyPath)
	var version string
	var status int
	fmt.Fscan(c, &version, &status)
	return status == http.StatusOK
}

// A request that came before the drain and is answered after connections were parted from: its connection ends with
// it. The node stays, says no, and serves again at once when it is told, however often.
func TestStandby(t *testing.T) {
	g := new(gate)
	w := newSite(t, 0)
	w.known.Members = []router.Member{{ID: "s0", Addr: testkit.HTTPServer(t, g.ServeHTTP), Zone: "a", Kind: "k", Weight: 1}}
	w.patient()
	stop, ended := w.start()
	for round := range 2 {
		var closed bool
		kept := make(chan int, 1)
		go func() {
			dialer := net.Dialer{}
			var conn net.Conn
			client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				conn = c
				return c, err
			}}}
			status, _, _ := w.send(client, w.set.Classes[0], fmt.Sprint("open", round), false)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			for _, err := conn.Read(make([]byte, 1)); err == nil; {
			}
			closed = true
			client.CloseIdleConnections()
			kept <- status
		}()
		testkit.Await(t, "the request at the server", func() bool { return g.held() == 1 })
		if w.put("/standby") != http.StatusOK || w.put("/standby") != http.StatusOK {
			t.Fatal("standby is refused")
		}
		if w.ready() {
			t.Error("ready in standby")
		}
		testkit.Await(t, "connections parted from", func() bool { return w.drainState() == "closing" })
		if f := w.figures(); f["inflight"] != 1 || f["hosts_listed"] != 1 {
			t.Errorf("figures %v", f)
		}
		g.release()
		if status := <-kept; status != http.StatusOK || !closed {
			t.Errorf("round %d: the request that was open: %d, connection closed %v", round, status, closed)
		}
		testkit.Await(t, "the node empty", func() bool { return w.drainState() == "drained" })
		if w.put("/active") != http.StatusOK || w.put("/active") != http.StatusOK || !w.ready() {
			t.Error("not back to work")
		}
		again := make(chan int, 1)
		go func() {
			status, _, _ := w.send(http.DefaultClient, w.set.Classes[0], fmt.Sprint("again", round), false)
			again <- status
		}()
		testkit.Await(t, "a new request at the server", func() bool { return g.held() == 1 })
		g.release()
		if status := <-again; status != http.StatusOK {
			t.Errorf("after standby: %d", status)
		}
	}
	f := w.figures()
	if name := w.set.Classes[0].Name; f["success."+name] != 4 || f["backend_calls"] != 4 || f["inflight"] != 0 || f["busy."+name] != 0 {
		t.Errorf("figures %v", f)
	}
	for _, c := range w.set.Classes {
		if _, ok := f["failure."+c.Name]; !ok {
			t.Errorf("class %s is not counted", c.Name)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
