// Command simhost hosts instances of the policy module for the simulator: it reads batches of its protocol from
// standard input, delivers events to instances, and writes their actions to standard output.
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

// bufferSize of standard input and output, in bytes; batches can run to megabytes.
const bufferSize = 1 << 20

// gcPercent trades memory for CPU: the live heap is small and CPU per request is tight.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds the instances of one process.
type host struct {
	decoder simprotocol.Decoder
	nodes   map[int]*policy.Balancer
	now     policy.Time
	inBatch bool
	reply   []byte // to the current batch, so far
}

// serve runs until the end of input. Errors name the line.
func serve(in io.Reader, out io.Writer) error {
	instances := host{nodes: make(map[int]*policy.Balancer)}
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	var long []byte
	for n := 1; ; n++ {
		line, err := readLine(r, &long)
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

// readLine returns the next line without its end; long holds lines that outgrow the buffer.
func readLine(r *bufio.Reader, long *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*long = append((*long)[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.ReadSlice('\n')
			*long = append(*long, line...)
		}
		line = *long
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// handleLine executes one line and reports whether it ended a batch.
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
		// Events of a node that was shut down are dropped.
		if balancer := h.nodes[message.Node]; balancer != nil {
			h.deliver(message.Node, balancer, message.Event)
		}
	}
	return false, nil
}

// deliver passes one event to an instance. An instance that panics is reported and removed, without effect on the
// others.
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
