package racetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
)

// notifiedBy returns the time by which the operators' rules require a node to know of a change that its watch missed.
// silentSince is the time of the last data on the watch. The result is 6 s after silentSince or 2 s after the end of
// call.wait, whichever is later.
func notifiedBy(call pollCall, silentSince time.Time) time.Time {
	bySilence := silentSince.Add(6 * time.Second)
	if byWait := call.at.Add(call.wait + 2*time.Second); byWait.After(bySilence) {
		return byWait
	}
	return bySilence
}

// socketSlack is the tolerance for socket delays that the operators' rules add to configured times.
const socketSlack = 50 * time.Millisecond

// watchFailures maps the name of a failure to a function that causes it. A failed watch does not deliver a drain, or
// delivers the drain in unusual formatting. Each function publishes the drain and mishandles one call. The stub
// answers later calls correctly. A function returns true if it handled the call.
var watchFailures = map[string]func(env *harness, conn net.Conn) bool{
	"no answer": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		return holdSilent(conn)
	},
	"stalled after the status line": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		return holdSilent(conn)
	},
	"stalled in the body": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		list := env.discovery.listText()
		writeTruncated(conn, list, len(list)/2)
		return holdSilent(conn)
	},
	"closed before the last bytes": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		list := env.discovery.listText()
		writeTruncated(conn, list, len(list)-2)
		_ = conn.Close()
		return true
	},
	"closed early without Content-Length": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		list := env.discovery.listText()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list[:len(list)-2])
		_ = conn.Close()
		return true
	},
	"reset": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return true
	},
	"503": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		_, err := io.WriteString(conn, "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	},
	"invalid JSON": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		return writeJSON(conn, `{"revision":`)
	},
	"indented JSON": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		indent := strings.NewReplacer(",", ",\n\t\t", ":{", " : {\n", "[", "[\n   ")
		return writeJSON(conn, indent.Replace(env.discovery.listText()))
	},
	"revisions restarted": func(env *harness, conn net.Conn) bool {
		env.publishDrain()
		env.discovery.restartRevisions()
		return writeJSON(conn, `{"revision":1,"complete":false,"members":[]}`)
	},
}

// writeTruncated sends a response with the Content-Length of the whole list but only the first n bytes of the list.
func writeTruncated(conn net.Conn, list string, n int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list[:n])
}

// holdSilent waits until the peer closes the connection, without sending data, and returns true.
func holdSilent(conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn)
	return true
}

// publishDrain publishes a list in which the old server is draining and the new server is running.
func (env *harness) publishDrain() {
	env.discovery.publish(listEntry("s0", env.oldServer, "draining"), listEntry("s1", env.newServer, "up"))
}

// newDrainHarness returns a harness with an old and a new server. The node's initial list contains only the old
// server.
func newDrainHarness(t *testing.T, subscribe bool) *harness {
	t.Helper()
	env := newHarness(t, func(c *node.Config) {
		c.Settings.Subscribe = subscribe
		c.Settings.Rules.MaxPollInterval = 500 * time.Millisecond
	})
	env.oldServer, env.newServer = env.startServer("s0", nil), env.startServer("s1", nil)
	env.addEndpoints(endpoint("s0", env.oldServer))
	return env
}

// oneDraining is a condition for awaitStatus: exactly one server is draining.
func oneDraining(s node.Status) bool { return s.Servers["draining"] == 1 }

// TestWatch_MissedDrainIsNoticedInTime checks that the node learns of a drain of s0 that a failed watch missed. The
// node must send no request to s0 later than the drain grace after the required notification time (notifiedBy). The
// test sends requests until one second after the first request that reached only s1. The test uses discovery by
// polling and by subscription.
func TestWatch_MissedDrainIsNoticedInTime(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		for name, fail := range watchFailures {
			t.Run(fmt.Sprint(name, "/subscribe ", subscribe), func(t *testing.T) {
				t.Parallel()
				testMissedDrain(t, subscribe, fail)
			})
		}
	}
}

func testMissedDrain(t *testing.T, subscribe bool, fail func(env *harness, conn net.Conn) bool) {
	t.Helper()
	env := newDrainHarness(t, subscribe)
	env.config.InitialList.Revision, env.discovery.revision = 5, 5
	env.discovery.entries = []string{listEntry("s0", env.oldServer, "up")}
	var failedCall pollCall
	var silentSince time.Time
	callFailed := make(chan struct{})
	env.discovery.setIntercept(func(call pollCall, conn net.Conn) bool {
		if call.seq > 0 {
			return false
		}
		env.expectServed("before") // served by s0, which is running in the node's list
		failedCall, silentSince = call, time.Now()
		close(callFailed)
		return fail(env, conn)
	})
	env.start()
	testkit.Receive(t, "the first call to discovery", callFailed)
	notified := notifiedBy(failedCall, silentSince)
	env.requestUntilMoved(notified)
	late := env.forwardedAfter("s0", notified.Add(env.config.Settings.Rules.DrainGrace+socketSlack))
	if len(late) > 0 {
		t.Errorf("%d requests went to s0 after the grace, the last %v after the node had to know of the drain",
			len(late), late[len(late)-1].at.Sub(notified))
	}
}

// requestUntilMoved sends requests until one second after the first request that reached only s1. That request must
// be sent at most 5 s after notified.
func (env *harness) requestUntilMoved(notified time.Time) {
	env.t.Helper()
	var first time.Time
	for n := 0; first.IsZero() || time.Since(first) < time.Second; n++ {
		id := fmt.Sprint("r", n)
		env.expectServed(id)
		servers := env.serversReached(id)
		if len(servers) == 1 && servers[0] == "s1" && first.IsZero() {
			first = time.Now()
			env.t.Logf("the first request reached the new server %v before the required notification time",
				time.Until(notified).Round(10*time.Millisecond))
		}
		if time.Now().After(notified.Add(5 * time.Second)) {
			env.t.Error("the node did not apply the drain within 5 s of the required notification time")
			return
		}
	}
}

// TestDiscovery_UnreachableAtStart checks that the node applies a drain within 6 s after discovery becomes reachable.
// Discovery is unreachable when the node starts, and s0 is draining in the first list that discovery sends.
func TestDiscovery_UnreachableAtStart(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		t.Run(fmt.Sprint("subscribe ", subscribe), func(t *testing.T) {
			t.Parallel()
			env := newDrainHarness(t, subscribe)
			env.discovery.setIntercept(func(_ pollCall, conn net.Conn) bool {
				_ = conn.Close()
				return true
			})
			env.start()
			env.expectServed("known")
			testkit.Receive(t, "a failed call to discovery", env.discovery.calls)
			env.publishDrain()
			env.discovery.setIntercept(nil)
			reachableAt := time.Now()
			env.awaitStatus("the drain", oneDraining)
			if took := time.Since(reachableAt); took > 6*time.Second {
				t.Errorf("the drain was applied %v after discovery became reachable, want 6 s or less", took)
			}
			before := time.Now()
			env.expectServed("after")
			if late := env.forwardedAfter("s0", before); len(late) > 0 {
				t.Errorf("requests forwarded to the draining server s0: %v", late)
			}
		})
	}
}

// TestDiscovery_MovesDuringCall checks that SIGHUP can change the address of discovery while a call to the old
// address is in flight. The old address answers later, with a higher revision in which s0 is up. The node must ignore
// this answer. It must apply a drain published at the new address, either before or after the change.
func TestDiscovery_MovesDuringCall(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		for _, when := range []string{"before", "after"} {
			t.Run(fmt.Sprint("subscribe ", subscribe, "/drain ", when), func(t *testing.T) {
				t.Parallel()
				testDiscoveryMove(t, subscribe, when)
			})
		}
	}
}

func testDiscoveryMove(t *testing.T, subscribe bool, drain string) {
	t.Helper()
	env := newDrainHarness(t, subscribe)
	received, answer := make(chan struct{}, 8), make(chan struct{})
	oldDiscovery := env.discovery
	oldDiscovery.setIntercept(func(_ pollCall, conn net.Conn) bool {
		received <- struct{}{}
		<-answer // the old address answers after the new one, with s0 up
		up := listEntry("s0", env.oldServer, "up")
		writeJSON(conn, fmt.Sprintf(`{"revision":90,"complete":true,"members":[%s]}`, up))
		return true
	})
	env.start()
	testkit.Receive(t, "a call at the old address", received)
	env.discovery = newDiscoveryStub(t)
	env.discovery.entries = []string{listEntry("s0", env.oldServer, "up"), listEntry("s1", env.newServer, "up")}
	if drain == "before" {
		env.publishDrain()
	}
	next := env.config
	next.Discovery = env.discovery.addr
	env.reloads <- next
	testkit.Receive(t, "a call at the new address", env.discovery.calls)
	if drain == "after" {
		env.publishDrain()
	}
	env.awaitStatus("the drain", oneDraining)
	close(answer)
	oldDiscovery.setIntercept(nil)
	before := time.Now()
	for i := range 20 {
		env.expectServed(fmt.Sprint("r", i))
	}
	if late := env.forwardedAfter("s0", before); len(late) > 0 {
		t.Errorf("%d requests were forwarded to the draining server s0", len(late))
	}
}

// TestEndpointList_EmptiesWhileRequestsAreQueued checks that a request waits while the endpoint list is empty. The
// next server that is listed must serve the request.
func TestEndpointList_EmptiesWhileRequestsAreQueued(t *testing.T) {
	env := newHarness(t, nil)
	env.oldServer = env.startServer("s0", nil)
	env.addEndpoints(endpoint("s0", env.oldServer))
	env.start()
	env.expectServed("before")
	env.discovery.publish()
	env.awaitStatus("an empty list", func(s node.Status) bool { return s.Servers["running"] == 0 })
	client := env.dial().send(requestText("waits", "pay", ""))
	env.awaitStatus("the queued request", queuedRequests(1))
	env.discovery.publish(listEntry("s0", env.oldServer, "up"))
	client.expectStatus(http.StatusOK)
}
