package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["slow-message"] = slowMessage }

// slowMessage: a client has a call open, and writes a second one on the same connection: 1.9 s for its first 40 bytes, and
// then a body of 60,000 bytes at 64 kB a second.
func slowMessage(w *world) verdict {
	s1 := w.newAppServer("s1", "127.0.0.2", 2800*time.Millisecond)
	rpc := w.freeAddr("127.0.0.1")
	w.startNode("node", nodeConfig{
		program: "wayhold", listen: w.freeAddr("127.0.0.1"), discovery: "127.0.0.1:9", known: []member{up("s1", s1.addr)},
		own: fmt.Sprintf("[msgpack]\nlisten = %q\n", rpc),
	})
	lost := 0
	for round := range 3 {
		conn, err := net.Dial("tcp", rpc)
		if err != nil {
			w.fail("%v", err)
		}
		if _, err := conn.Write(callMessage(1, newID(fmt.Sprintf("open-%d", round)), 3000*time.Millisecond)); err != nil {
			w.fail("%v", err)
		}
		go func() { // fails when the node ends the connection
			second := bodyMessage(2, newID(fmt.Sprintf("slow-%d", round)), 60_000)
			if w.trouble {
				_, _ = conn.Write(second[:40])
				time.Sleep(1900 * time.Millisecond)
				for rest := second[40:]; len(rest) > 0; time.Sleep(50 * time.Millisecond) {
					n := min(3200, len(rest))
					if _, err := conn.Write(rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
				return
			}
			_, _ = conn.Write(second)
		}()
		began, answered := time.Now(), false
		_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		var got []byte
		buf := make([]byte, 4096)
		for !answered {
			n, err := conn.Read(buf)
			got = append(got, buf[:n]...)
			answered = bytes.Contains(got, []byte{0x94, 0x01, 0x01})
			if err != nil {
				if err == io.EOF {
					w.note("round %d: the connection ended after %v", round, time.Since(began).Round(time.Millisecond))
				}
				break
			}
		}
		ran, _ := s1.after(began)
		w.note("round %d: the open call was answered: %v, after %v, %d requests at the server", round, answered,
			time.Since(began).Round(time.Millisecond), ran)
		if !answered {
			lost++
		}
		_ = conn.Close()
	}
	if lost > 0 {
		return broken
	}
	return held
}

// bodyMessage returns a call of the class booking with a body of size bytes.
func bodyMessage(msgid uint32, id string, size int) []byte {
	out := new(bytes.Buffer)
	out.Write([]byte{0x94, 0x00, 0xce})
	_ = binary.Write(out, binary.BigEndian, msgid)
	text(out, "call")
	out.Write([]byte{0x91, 0x86})
	for _, field := range [][2]string{{"id", id}, {"class", "booking"}, {"tenant", "desk"}, {"target", "/api"}} {
		text(out, field[0])
		text(out, field[1])
	}
	text(out, "wait_ms")
	out.WriteByte(0xcd)
	_ = binary.Write(out, binary.BigEndian, uint16(1500))
	text(out, "body")
	out.WriteByte(0xc5)
	_ = binary.Write(out, binary.BigEndian, uint16(size))
	out.Write(make([]byte, size))
	return out.Bytes()
}
