// Command simhost runs instances of package policy for the simulator. It reads batches of messages of the simulator's
// protocol from standard input and delivers their events to the instances. The resulting actions go to standard
// output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"cobaltward/internal/simprotocol"
	"cobaltward/policy"
)

// bufferSize is the size in bytes of the buffers of standard input and output. A batch can have several megabytes.
const bufferSize = 1 << 20

// gcPercent trades memory for CPU time. The live heap is small, and CPU time per request is scarce.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds the policy instances of this process.
type host struct {
	decoder simprotocol.Decoder
	nodes   map[int]*policy.Balancer
	now     policy.Time
	inBatch bool
	reply   []byte // reply to the current batch so far
}

// serve handles messages until the input ends. Errors name the number of the input line.
func serve(in io.Reader, out io.Writer) error {
	instances := host{nodes: make(map[int]*policy.Balancer)}
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	var longLine []byte
	for n := 1; ; n++ {
		line, err := readLine(r, &longLine)
		if errors.Is(err, io.EOF) {
			if len(line) == 0 && !instances.inBatch {
				return nil
			}
			return fmt.Errorf("line %d: input ended inside a batch", n)
		}
		if err != nil {
			return fmt.Errorf("line %d: reading: %w", n, err)
		}
		batchEnded, err := instances.handleLine(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if !batchEnded {
			continue
		}
		if err := instances.writeReply(w); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (h *host) writeReply(w *bufio.Writer) error {
	if _, err := w.Write(h.reply); err != nil {
		return err
	}
	h.reply = h.reply[:0]
	return w.Flush()
}

// readLine returns the next line without its line ending. longLine is the buffer for lines that exceed the reader's
// buffer.
func readLine(r *bufio.Reader, longLine *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*longLine = append((*longLine)[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.ReadSlice('\n')
			*longLine = append(*longLine, line...)
		}
		line = *longLine
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// handleLine handles one line, and reports whether it ended a batch.
func (h *host) handleLine(raw []byte) (batchEnded bool, err error) {
	message, err := h.decoder.Decode(raw)
	if err != nil {
		return false, err
	}
	if (message.Kind == simprotocol.BatchStart) == h.inBatch {
		return false, errors.New("message outside of a batch, or a batch inside another")
	}
	switch message.Kind {
	case simprotocol.BatchStart:
		h.now, h.inBatch = message.Now, true
	case simprotocol.BatchEnd:
		h.inBatch, h.reply = false, simprotocol.AppendReplyEnd(h.reply)
		return true, nil
	case simprotocol.Configure:
		balancer, err := policy.New(message.Settings, h.now, message.Seed)
		if err != nil {
			return false, fmt.Errorf("configure: conf: %w", err)
		}
		h.nodes[message.Node] = balancer
	case simprotocol.Shutdown:
		delete(h.nodes, message.Node)
	case simprotocol.Event:
		// Events for an instance that was shut down are dropped.
		if balancer := h.nodes[message.Node]; balancer != nil {
			h.deliver(message.Node, balancer, message.Event)
		}
	}
	return false, nil
}

// deliver passes one event to an instance and appends the resulting actions to the reply. An instance that panics is
// reported and removed. Other instances are not affected.
func (h *host) deliver(node int, balancer *policy.Balancer, event policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			fmt.Fprintf(os.Stderr, "instance %d: %s\n%s", node, text, debug.Stack())
			h.reply = simprotocol.AppendCrash(h.reply, node, text)
			delete(h.nodes, node)
		}
	}()
	for _, action := range balancer.Handle(h.now, event) {
		h.reply = simprotocol.AppendAction(h.reply, node, action)
	}
}
