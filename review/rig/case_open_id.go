package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["open-id"] = openID }

const (
	longBookings  = 4
	longAnswer    = 24 << 20 // bytes; the pages allow 32 MB
	answerPiece   = 16 << 10
	pieceInterval = 20 * time.Millisecond // so that a long answer takes about 31 s
	// The bad client sends a request with the id of a long booking at these two times after it. The answer to the
	// booking is on its way at both.
	firstCopyAfter = 3 * time.Second
	lastCopyAfter  = 25 * time.Second
)

// booking is a request of a usual client whose answer is long.
type booking struct {
	id       string
	sent     time.Time
	answered time.Time // when the last byte of the answer came, or the connection ended; zero: open
	status   int
	length   int
	err      error
}

// openID has usual clients make bookings whose answers take half a minute to arrive. With trouble, a bad client sends
// requests with the ids of these bookings while they are open: their answers have not come to the last byte.
func openID(w *world) (verdict, error) {
	var members []object
	var mu sync.Mutex
	ran := make(map[string][]string) // servers that have run each id
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return verdict{}, err
		}
		id := fmt.Sprintf("s-%d", i+1)
		startServer(ln, func(conn net.Conn, r arrival) {
			time.Sleep(30 * time.Millisecond)
			mu.Lock()
			ran[r.id] = append(ran[r.id], id)
			times := len(ran[r.id])
			mu.Unlock()
			if !strings.HasPrefix(r.id, "long") || times > 1 {
				if times > 1 {
					w.rec.printf("%s ran %s (time %d)", id, r.id, times)
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.id), r.id)
				return
			}
			w.rec.printf("%s ran %s (time 1) and begins an answer of %d bytes", id, r.id, longAnswer)
			answer := answerTo(r.id, longAnswer)
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answer)); err != nil {
				return
			}
			for len(answer) > 0 {
				piece := answer[:min(answerPiece, len(answer))]
				if _, err := conn.Write(piece); err != nil {
					w.rec.printf("%s: the node ended the connection with %d bytes of %s to go", id, len(answer), r.id)
					return
				}
				answer = answer[len(piece):]
				time.Sleep(pieceInterval)
			}
		})
		members = append(members, member(id, ln.Addr().String()))
	}
	platform, err := startAgent(members)
	if err != nil {
		return verdict{}, err
	}
	n, err := startNode(w.root, w.dir, platform.addr(), platform.list(), "")
	if err != nil {
		return verdict{}, err
	}

	var result verdict
	var usual, all sync.WaitGroup
	done := make(chan struct{})
	searches, searchesServed := 0, 0
	usual.Go(func() { // other clients go on as usual
		c := newClient(n.listen)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			got := c.send(request{id: fmt.Sprintf("search-%04d-%08x", i, i*104729), class: "hladanie", deadline: 3 * time.Second})
			searches++
			if got.err == nil && got.status == 200 {
				searchesServed++
			}
		}
	})
	copies, badAnswers := 0, make(map[string]int)
	served := make(map[string]bool) // bookings whose copy was served while they were open
	for i := range longBookings {
		b := &booking{id: fmt.Sprintf("long-%d-%08x", i, i*7919+104729), sent: time.Now()}
		all.Go(func() {
			w.rec.printf("client %d: sends rezervacia %s", i, b.id)
			b.receive(n.listen)
			mu.Lock()
			b.answered = time.Now()
			mu.Unlock()
			w.rec.printf("client %d: rezervacia %s: status %d, %d bytes after %v, error %v", i, b.id, b.status, b.length,
				b.answered.Sub(b.sent).Round(time.Millisecond), b.err)
		})
		for _, after := range []time.Duration{firstCopyAfter, lastCopyAfter} {
			if !w.trouble {
				continue
			}
			all.Go(func() {
				time.Sleep(time.Until(b.sent.Add(after)))
				w.rec.printf("bad client: sends a rezervacia with the id of the open %s", b.id)
				answer := badRequest(n.listen, b.id)
				at := time.Now()
				w.rec.printf("bad client: %s: %s", b.id, answer)
				mu.Lock()
				defer mu.Unlock()
				badAnswers[answer]++
				if !b.answered.IsZero() {
					return // the booking was no longer open
				}
				copies++
				if strings.HasPrefix(answer, "HTTP/1.1 200") {
					served[b.id] = true
					result.broken = append(result.broken, fmt.Sprintf(
						"the bad client that sent the id of the open %s, %v after it, was served", b.id, at.Sub(b.sent).Round(time.Millisecond)))
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	close(done)
	usual.Wait()
	if err := n.running(); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	if w.trouble && copies < 2*longBookings {
		return verdict{}, fmt.Errorf("only %d of the bad client's %d requests came while the booking was open", copies, 2*longBookings)
	}
	twice := 0
	for id, servers := range ran {
		if served[id] && len(servers) > 1 {
			twice++
			result.broken = append(result.broken, fmt.Sprintf("rezervacia %s was run %d times, by %v", id, len(servers), servers))
		}
	}
	result.summary = fmt.Sprintf("%d long bookings, %d run more than once; the bad client's requests: %v; %d of %d searches served",
		longBookings, twice, badAnswers, searchesServed, searches)
	return result, nil
}

// receive makes the booking and reads its answer to the end.
func (b *booking) receive(listen string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listen+"/api", strings.NewReader("{}"))
	if err != nil {
		b.err = err
		return
	}
	req.Header.Set("X-Request-Id", b.id)
	req.Header.Set("X-Class", "rezervacia")
	req.Header.Set("X-Tenant", "dielna-bystrica")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(classes[1].deadline))
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		b.err = err
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	b.status, b.length, b.err = resp.StatusCode, len(raw), err
	if err == nil && resp.StatusCode == 200 && !bytes.Equal(raw, answerTo(b.id, longAnswer)) {
		b.err = fmt.Errorf("not the server's answer")
	}
}

// badRequest sends a rezervacia with the id of another client's request, and returns the status line of the answer.
func badRequest(listen, id string) string {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: rezervacia\r\n"+
		"X-Tenant: dielna-bystrica\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, classes[1].deadline)
	if err != nil {
		return err.Error()
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}
