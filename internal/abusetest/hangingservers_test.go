package abusetest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/msgpackrpc"
)

var hangSeed = flag.Uint64("abuse.seed", 1, "seed of the calls of TestCalls_ServersHang")

const (
	callRate     = 362 // calls per second on one connection
	callsFor     = 5 * time.Second
	hangTime     = 1500 * time.Millisecond
	hangInterval = 2500 * time.Millisecond // from the begin of a hang to that of the next
	// goneAfter is the time after a cancel or a disconnect from which no attempt may begin.
	goneAfter = 100 * time.Millisecond
	// arrivalSlack is the time by which a busy stand-in may read a request late.
	arrivalSlack = 100 * time.Millisecond
)

// caller is a client that makes many calls on one connection.
type caller struct {
	conn   net.Conn
	random *rand.Rand

	mu      sync.Mutex
	calls   map[uint32]*callRecord
	drained bool // whether a drain was announced
	ended   chan struct{}
}

// callRecord is a call with its times; a zero time means that the event has not happened.
type callRecord struct {
	id                           string
	timeout                      time.Duration
	written, cancelled, answered time.Time
	answers                      int
}

// receive records the answers until the connection ends.
func (c *caller) receive() {
	defer close(c.ended)
	in := msgpackrpc.NewReader(c.conn)
	for {
		frame, err := in.Next()
		if err != nil {
			return
		}
		message, err := msgpackrpc.Parse(frame)
		if err != nil {
			return
		}
		c.mu.Lock()
		switch call := c.calls[message.ID]; {
		case message.Kind == msgpackrpc.Notification:
			c.drained = c.drained || message.Method == msgpackrpc.MethodDrain
		case call != nil:
			call.answered = time.Now()
			call.answers++
		}
		c.mu.Unlock()
	}
}

// call writes the call with the given number, and reports whether more may be written.
func (c *caller) call(number uint32) bool {
	class, timeout := searchClass, 3*time.Second
	switch number % 10 {
	case 1, 5, 9:
		class, timeout = bookingClass, 1500*time.Millisecond
	case 3, 7:
		class, timeout = cancelClass, 3*time.Second
	}
	id := fmt.Sprintf("c-%d", number)
	frame := msgpackrpc.AppendCall(nil, number, &msgpackrpc.Call{
		ID: id, Class: class, Tenant: "t", IdempotencyKey: "k-" + id, Timeout: timeout,
	})
	record := &callRecord{id: id, timeout: timeout}
	c.mu.Lock()
	drained := c.drained
	c.calls[number] = record
	c.mu.Unlock()
	if drained {
		return false
	}
	if _, err := c.conn.Write(frame); err != nil {
		return false
	}
	c.mu.Lock()
	record.written = time.Now()
	c.mu.Unlock()
	return true
}

// cancelSome cancels, sometimes, one of the latest calls.
func (c *caller) cancelSome(number uint32) {
	victim := number - min(number, uint32(c.random.IntN(100)))
	if c.random.IntN(5) > 0 {
		return
	}
	c.mu.Lock()
	call := c.calls[victim]
	skip := call.answers > 0 || !call.cancelled.IsZero()
	c.mu.Unlock()
	if skip {
		return
	}
	if _, err := c.conn.Write(msgpackrpc.AppendCancel(nil, victim)); err == nil {
		c.mu.Lock()
		call.cancelled = time.Now()
		c.mu.Unlock()
	}
}

// check reports calls without exactly one answer in time, and attempts for calls that were cancelled before.
func (c *caller) check(t *testing.T, servers []*server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written, cancelled, late, missing := 0, 0, 0, 0
	for _, call := range c.calls {
		if call.written.IsZero() {
			continue
		}
		written++
		switch {
		case !call.cancelled.IsZero():
			cancelled++
			for _, s := range servers {
				if began := s.lastArrival(call.id).Sub(call.cancelled); began > goneAfter+arrivalSlack {
					t.Errorf("an attempt for %s arrived %v after its cancel", call.id, began)
				}
			}
		case call.answers == 0:
			missing++
		case call.answers > 1:
			t.Errorf("%d answers to %s", call.answers, call.id)
		case call.answered.Sub(call.written) > call.timeout+lateAfter:
			late++
		}
	}
	t.Logf("%d calls written, %d cancelled, %d without an answer, %d late", written, cancelled, missing, late)
	if missing+late > 0 || written < callRate {
		t.Errorf("%d calls without an answer, %d answered over %v after their time", missing, late, lateAfter)
	}
}

// TestCalls_ServersHang guards against calls that are answered late or never while servers hang again and again under
// the calls of one MessagePack-RPC connection. Some calls are cancelled; in some cases the node gets SIGTERM.
func TestCalls_ServersHang(t *testing.T) {
	for _, play := range []struct {
		name        string
		tls         bool
		hanging     int           // number of the six servers that hang
		terminateAt time.Duration // time of SIGTERM; 0: none
	}{
		{name: "half of the servers", hanging: 3},
		{name: "half of the servers, TLS", hanging: 3, tls: true},
		{name: "all servers", hanging: 6},
		{name: "half of the servers, SIGTERM", hanging: 3, terminateAt: 3 * time.Second},
		{name: "half of the servers, TLS, SIGTERM", hanging: 3, tls: true, terminateAt: 3 * time.Second},
	} {
		t.Run(play.name, func(t *testing.T) {
			runParallel(t)
			began := time.Now()
			hang := func() {
				if phase := time.Since(began) % hangInterval; phase < hangTime && time.Since(began) < callsFor {
					time.Sleep(hangTime - phase)
				}
			}
			servers := make([]*server, 6)
			addrs := make([]string, len(servers))
			for i := range servers {
				servers[i] = startServer(t, func(s *server) {
					s.serviceTime = 130 * time.Millisecond
					if i < play.hanging {
						s.hang = hang
					}
				})
				addrs[i] = servers[i].addr
			}
			n := startNode(t, nodeConfig{
				memoryMB: 192, descriptors: maxDescriptors, servers: addrs, deadline: defaultDeadline, tls: play.tls, msgpack: true,
			})
			conn, err := n.dialAddr(n.msgpackAddr, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			client := &caller{
				conn: conn, random: rand.New(rand.NewPCG(*hangSeed, 0)), calls: make(map[uint32]*callRecord),
				ended: make(chan struct{}),
			}
			go client.receive()
			if play.terminateAt > 0 {
				time.AfterFunc(play.terminateAt, func() { _ = n.command.Process.Signal(syscall.SIGTERM) })
			}
			start := time.Now()
			for number := uint32(0); time.Since(start) < callsFor; number++ {
				time.Sleep(time.Until(start.Add(time.Duration(number) * time.Second / callRate)))
				if !client.call(number) {
					break
				}
				client.cancelSome(number)
			}
			time.Sleep(defaultDeadline + lateAfter)
			client.check(t, servers)
		})
	}
}
