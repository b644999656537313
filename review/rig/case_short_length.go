package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["short-length"] = shortLength }

const (
	shortClients  = 6
	shortRequests = 40 // of each client
	answerSize    = 24_000
	missing       = 1_000 // bytes by which the length of a spoilt answer is too small
	spoiltEvery   = 10    // one of so many answers is spoilt
)

// answerTo returns the answer that belongs to a request: a list of rooms made for that id alone.
func answerTo(id string, size int) []byte {
	sum := sha256.Sum256([]byte(id))
	line := id + " " + hex.EncodeToString(sum[:]) + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// shortLength has servers answer one of ten requests with a Content-Length that is too small. The whole answer goes
// out in one write, so that the bytes beyond the length are at the node when it has read that length.
func shortLength(w *world) (verdict, error) {
	var mu sync.Mutex
	answers, spoilt := 0, make(map[string]int)
	var members []object
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return verdict{}, err
		}
		id := fmt.Sprintf("s-%d", i+1)
		startServer(ln, func(conn net.Conn, r arrival) {
			time.Sleep(5 * time.Millisecond)
			body := answerTo(r.id, answerSize)
			length := len(body)
			mu.Lock()
			answers++
			if w.trouble && answers%spoiltEvery == 0 {
				length -= missing
				spoilt[r.id]++
			}
			mu.Unlock()
			w.rec.printf("%s ran %s and answers %d bytes, Content-Length %d", id, r.id, len(body), length)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", length)
			_, _ = conn.Write(append([]byte(head), body...))
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
	statuses := make(map[string]int)
	var clients sync.WaitGroup
	for i := range shortClients {
		clients.Go(func() {
			c := newClient(n.listen)
			for j := range shortRequests {
				class := classes[j%2].name
				r := request{id: fmt.Sprintf("c%d-%04d-%08x", i, j, i*7919+j*104729), class: class, body: "{}"}
				r.deadline = time.Duration(classes[j%2].deadline) * time.Millisecond
				w.rec.printf("client %d: sends %s %s", i, class, r.id)
				got := c.send(r)
				w.rec.printf("client %d: %s %s: status %d, %d bytes, error %v", i, class, r.id, got.status, len(got.body), got.err)
				mu.Lock()
				statuses[fmt.Sprintf("%d, error %v", got.status, got.err != nil)]++
				if got.err == nil && got.status == 200 && !bytes.Equal(got.body, answerTo(r.id, answerSize)) {
					result.broken = append(result.broken, fmt.Sprintf(
						"%s %s was served whole with %d bytes, the server's answer has %d (%d spoilt answers to this id)",
						class, r.id, len(got.body), answerSize, spoilt[r.id]))
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	if err := n.running(); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	result.summary = fmt.Sprintf("%d requests, answers by status %v; %d server answers, %d spoilt; %d served with another body",
		shortClients*shortRequests, statuses, answers, len(spoilt), len(result.broken))
	return result, nil
}
