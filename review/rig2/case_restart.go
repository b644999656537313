package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drained-restart"] = drainedRestart }

// text appends s to out as MessagePack text.
func text(out *bytes.Buffer, s string) {
	out.WriteByte(0xd9)
	out.WriteByte(byte(len(s)))
	out.WriteString(s)
}

// callMessage returns a call of the class search as a message of docs/msgpack-rpc.md.
func callMessage(msgid uint32, id string, wait time.Duration) []byte {
	out := new(bytes.Buffer)
	out.Write([]byte{0x94, 0x00, 0xce})
	_ = binary.Write(out, binary.BigEndian, msgid)
	text(out, "call")
	out.Write([]byte{0x91, 0x85})
	for _, field := range [][2]string{{"id", id}, {"class", "search"}, {"tenant", "desk"}, {"target", "/api"}} {
		text(out, field[0])
		text(out, field[1])
	}
	text(out, "wait_ms")
	out.WriteByte(0xcd)
	_ = binary.Write(out, binary.BigEndian, uint16(wait.Milliseconds()))
	return out.Bytes()
}

// callOnce makes one call on a new connection, and says what came of it. written is whether the whole call was written to
// a connection that the node's machine had accepted, and answered whether anything came back, or the connection ended.
func callOnce(addr, id string, wait, patience time.Duration) (what string, written, answered bool) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "not connected: " + err.Error(), false, false
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(callMessage(1, id, wait)); err != nil {
		return "not written: " + err.Error(), false, false
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	switch {
	case n > 0:
		return fmt.Sprintf("answered: %q", buf[:n]), true, true
	case err == io.EOF:
		return "the connection ended without an answer", true, false
	}
	return fmt.Sprintf("no answer within %v: %v", patience, err), true, false
}

// calls makes several calls at once, and returns how many were written whole and how many of these were answered.
func (w *world) calls(phase, addr string, count int, wait, patience time.Duration) (written, answered int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			id := newID(fmt.Sprintf("%s-%d", strings.ReplaceAll(phase, " ", "-"), i))
			what, whole, got := callOnce(addr, id, wait, patience)
			mu.Lock()
			defer mu.Unlock()
			w.note("%s, call %s: %s", phase, id, what)
			if whole {
				written++
			}
			if got {
				answered++
			}
		})
	}
	all.Wait()
	w.note("%s: %d calls written whole, %d of them answered", phase, written, answered)
	return written, answered
}

// Eight nodes are patched one after the other, in three rounds.
const (
	patchedNodes = 8
	patchRounds  = 3
)

// drainedRestart: nodes are patched by the run-book of docs/drain.md: each is drained, stopped, started and put back to
// work. Clients call it by MessagePack-RPC. The case ends with the first node that leaves calls without an answer.
func drainedRestart(w *world) verdict {
	s1 := w.newAppServer("s1", "127.0.0.2", 20*time.Millisecond)
	for i := range patchedNodes * patchRounds {
		if lost := w.patchNode(fmt.Sprintf("n%d-%d", i%patchedNodes+1, i/patchedNodes+1), s1); lost > 0 {
			w.note("%d calls were written whole and never answered", lost)
			return broken
		}
	}
	w.note("all calls that were written whole were answered")
	return held
}

// patchNode patches a node, and returns the number of calls that were lost.
func (w *world) patchNode(name string, s1 *appServer) (lost int) {
	const wait, patience = 1500 * time.Millisecond, 4 * time.Second
	rpc, door := w.freeAddr("127.0.0.1"), filepath.Join(w.dir, name+".sock")
	config := nodeConfig{
		program: "wayhold", cores: "4.0", listen: w.freeAddr("127.0.0.1"), discovery: "127.0.0.1:9",
		known: []member{up("s1", s1.addr)},
		own: fmt.Sprintf("[door]\nsocket = %q\n[drain]\nremember = %q\n[msgpack]\nlisten = %q\n",
			door, filepath.Join(w.dir, name+".drained"), rpc),
	}
	ctl := func(args ...string) bool {
		cmd := exec.Command(filepath.Join(w.root, "bin", "wayhold"), append(append([]string{"ctl"}, args...), "--door", door)...)
		out, err := cmd.CombinedOutput()
		last := strings.TrimSpace(string(out))
		if at := strings.LastIndex(last, "\n"); args[0] == "drain" && at >= 0 {
			last = last[at+1:]
		}
		w.note("%s: ctl %s: %s (error: %v)", name, args[0], last, err)
		return err == nil
	}
	node := w.startNode(name, config)
	defer func() { node.kill() }()
	if written, answered := w.calls(name+" before", rpc, 2, wait, patience); written != 2 || answered != 2 {
		w.fail("calls are not answered before the drain")
	}
	if w.trouble && !ctl("drain", "--deadline", "2s", "--reason", "kernel", "--wait") {
		w.fail("the drain failed")
	}
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	w.await(name+" ends", 10*time.Second, node.ended)
	w.note("%s has ended after SIGTERM: %s", name, node.state)
	node = w.startNodeUnready(name+" again", config)
	w.await("the node's door", 10*time.Second, func() bool {
		return exec.Command(filepath.Join(w.root, "bin", "wayhold"), "ctl", "status", "--door", door).Run() == nil
	})
	time.Sleep(300 * time.Millisecond)
	written, answered := w.calls(name+" started again", rpc, 3, wait, patience)
	lost = written - answered
	if w.trouble {
		ctl("undrain")
	}
	time.Sleep(300 * time.Millisecond)
	written, answered = w.calls(name+" back at work", rpc, 3, wait, patience)
	lost += written - answered
	if lost > 0 {
		ctl("status")
	}
	return lost
}
