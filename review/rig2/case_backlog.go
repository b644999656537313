package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["behind-open-calls"] = behindOpenCalls }

// skipValue reads one MessagePack value, and returns it if it is a number.
func skipValue(in *bufio.Reader) (number uint64, err error) {
	tag, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	size := func(bytes int) uint64 {
		var raw [8]byte
		if _, err = io.ReadFull(in, raw[8-bytes:]); err != nil {
			return 0
		}
		return binary.BigEndian.Uint64(raw[:])
	}
	skip, values := uint64(0), uint64(0)
	switch {
	case tag <= 0x7f:
		return uint64(tag), nil
	case tag <= 0x8f:
		values = 2 * uint64(tag&0x0f)
	case tag <= 0x9f:
		values = uint64(tag & 0x0f)
	case tag <= 0xbf:
		skip = uint64(tag & 0x1f)
	case tag == 0xc4 || tag == 0xd9:
		skip = size(1)
	case tag == 0xc5 || tag == 0xda:
		skip = size(2)
	case tag == 0xcc || tag == 0xd0:
		return size(1), err
	case tag == 0xcd || tag == 0xd1:
		return size(2), err
	case tag == 0xce || tag == 0xd2:
		return size(4), err
	case tag == 0xcf || tag == 0xd3:
		return size(8), err
	case tag == 0xde:
		values = 2 * size(2)
	case tag == 0xdc:
		values = size(2)
	case tag >= 0xc0 && tag <= 0xc3, tag >= 0xe0:
	default:
		return 0, fmt.Errorf("unexpected type %x", tag)
	}
	if err == nil && skip > 0 {
		_, err = io.CopyN(io.Discard, in, int64(skip))
	}
	for ; err == nil && values > 0; values-- {
		_, err = skipValue(in)
	}
	return 0, err
}

// nextReply reads one message, and returns the msgid of a response.
func nextReply(in *bufio.Reader) (msgid uint64, isReply bool, err error) {
	head, err := in.ReadByte()
	if err != nil {
		return 0, false, err
	}
	kind, err := skipValue(in)
	if err != nil {
		return 0, false, err
	}
	for i := 1; i < int(head&0x0f); i++ {
		number, err := skipValue(in)
		if err != nil {
			return 0, false, err
		}
		if i == 1 {
			msgid = number
		}
	}
	return msgid, kind == 1, nil
}

// backlogClasses are the classes of ten calls in turn, and how long their callers wait, as at the site: half search, three
// in ten book, two in ten cancel.
var backlogClasses = []struct {
	class string
	wait  time.Duration
}{
	{"search", 3 * time.Second}, {"booking", 1500 * time.Millisecond}, {"search", 3 * time.Second},
	{"cancel", 3 * time.Second}, {"search", 3 * time.Second}, {"booking", 1500 * time.Millisecond},
	{"search", 3 * time.Second}, {"cancel", 3 * time.Second}, {"search", 3 * time.Second},
	{"booking", 1500 * time.Millisecond},
}

const (
	backlogRate    = 362 // calls a second: 2,900 over 8 nodes
	backlogFor     = 9 * time.Second
	backlogServers = 6
	backlogHang    = 5 * time.Second
)

// behindOpenCalls: half of the servers hang for 5 s, while a client makes the calls of one node on one connection.
func behindOpenCalls(w *world) verdict {
	var mu sync.Mutex
	hangUntil := time.Time{}
	ran := make(map[string]bool)
	var known []member
	for i := range backlogServers {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+2))
		if err != nil {
			w.fail("%v", err)
		}
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				mu.Lock()
				until := hangUntil
				ran[req.Header.Get("X-Request-Id")] = true
				mu.Unlock()
				if i%2 == 0 && time.Now().Before(until) {
					select {
					case <-time.After(time.Until(until)):
					case <-req.Context().Done():
					}
				}
				work := 130 * time.Millisecond // search
				switch {
				case req.Header.Get("Idempotency-Key") != "":
					work = 200 * time.Millisecond // cancel
				case req.Method == http.MethodPost:
					work = 100 * time.Millisecond // booking
				}
				time.Sleep(work)
				_, _ = io.WriteString(out, "done")
			}))
		}()
		known = append(known, up(fmt.Sprintf("s%d", i+1), listener.Addr().String()))
	}
	rpc := w.freeAddr("127.0.0.1")
	w.startNode("node", nodeConfig{
		program: "wayhold", listen: w.freeAddr("127.0.0.1"), discovery: "127.0.0.1:9", known: known,
		own: fmt.Sprintf("[msgpack]\nlisten = %q\n", rpc),
	})
	conn, err := net.Dial("tcp", rpc)
	if err != nil {
		w.fail("%v", err)
	}
	defer func() { _ = conn.Close() }()
	type call struct {
		id             string
		wait           time.Duration
		sent, answered time.Time
	}
	calls := make(map[uint64]*call)
	go func() {
		in := bufio.NewReader(conn)
		for {
			msgid, isReply, err := nextReply(in)
			if err != nil {
				return
			}
			mu.Lock()
			if c := calls[msgid]; isReply && c != nil {
				c.answered = time.Now()
			}
			mu.Unlock()
		}
	}()
	began := time.Now()
	for i := 0; time.Since(began) < backlogFor; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / backlogRate)))
		if i == 2*backlogRate && w.trouble {
			mu.Lock()
			hangUntil = time.Now().Add(backlogHang)
			mu.Unlock()
			w.note("%d of %d servers hang for %v", backlogServers/2, backlogServers, backlogHang)
		}
		kind := backlogClasses[i%len(backlogClasses)]
		c := &call{id: newID(fmt.Sprintf("r%d", i)), wait: kind.wait}
		message := classMessage(uint32(i+1), c.id, kind.class, kind.wait)
		mu.Lock()
		calls[uint64(i+1)] = c
		mu.Unlock()
		if _, err := conn.Write(message); err != nil {
			w.note("writing ends: %v", err)
			break
		}
		mu.Lock()
		c.sent = time.Now()
		mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	var late []time.Duration
	written, missing, missingRan := 0, 0, 0
	for _, msgid := range slices.Sorted(maps.Keys(calls)) {
		c := calls[msgid]
		if c.sent.IsZero() {
			continue
		}
		answer := "no answer"
		if !c.answered.IsZero() {
			answer = fmt.Sprintf("answered at %.1f", w.at(c.answered))
		}
		w.note("call %s: waits %v, sent at %.1f, %s, ran: %v", c.id, c.wait, w.at(c.sent), answer, ran[c.id])
		written++
		switch over := c.answered.Sub(c.sent) - c.wait; {
		case c.answered.IsZero():
			missing++
			if ran[c.id] {
				missingRan++
			}
		case over > 500*time.Millisecond:
			late = append(late, over)
		}
	}
	slices.Sort(late)
	w.note("%d calls written whole, %d never answered (%d of them ran), %d answered more than 0.5 s after their time",
		written, missing, missingRan, len(late))
	if len(late) > 0 {
		w.note("the latest came %v after its time", late[len(late)-1].Round(time.Millisecond))
	}
	if missing+len(late) > 0 {
		return broken
	}
	return held
}

// classMessage returns a call of a class, with a key where the class needs one.
func classMessage(msgid uint32, id, class string, wait time.Duration) []byte {
	out := new(bytes.Buffer)
	out.Write([]byte{0x94, 0x00, 0xce})
	_ = binary.Write(out, binary.BigEndian, msgid)
	text(out, "call")
	fields := [][2]string{{"id", id}, {"class", class}, {"tenant", "desk"}, {"target", "/api"}}
	if class == "cancel" {
		fields = append(fields, [2]string{"idempotency_key", "key-" + id})
	}
	out.Write([]byte{0x91, byte(0x80 + len(fields) + 1)})
	for _, field := range fields {
		text(out, field[0])
		text(out, field[1])
	}
	text(out, "wait_ms")
	out.WriteByte(0xcd)
	_ = binary.Write(out, binary.BigEndian, uint16(wait.Milliseconds()))
	return out.Bytes()
}
