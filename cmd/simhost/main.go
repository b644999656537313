// Command simhost hosts instances of the decision module on the simulator's wire: it reads batches
// on standard input, routes events to instances, and writes their actions on standard output.
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
	dec   simprotocol.Decoder
	nodes map[int]*policy.Balancer
	now   policy.Time
	open  bool // inside a batch
	out   []byte
}

// serve runs until the end of input. Errors name the line.
func serve(in io.Reader, out io.Writer) error {
	h := host{nodes: make(map[int]*policy.Balancer)}
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	var long []byte
	for n := 1; ; n++ {
		line, err := readLine(r, &long)
		if errors.Is(err, io.EOF) {
			if len(line) == 0 && !h.open {
				return nil
			}
			return fmt.Errorf("line %d: input ended inside a batch", n)
		}
		if err != nil {
			return fmt.Errorf("line %d: reading: %w", n, err)
		}
		done, err := h.line(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if !done {
			continue
		}
		if _, err := w.Write(h.out); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		h.out = h.out[:0]
	}
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

// line carries out one line and reports whether it closed a batch.
func (h *host) line(raw []byte) (bool, error) {
	l, err := h.dec.Decode(raw)
	if err != nil {
		return false, err
	}
	if (l.Kind == simprotocol.BatchStart) == h.open {
		return false, fmt.Errorf("message outside of a batch, or a batch inside another")
	}
	switch l.Kind {
	case simprotocol.BatchStart:
		h.now, h.open = l.Now, true
	case simprotocol.BatchEnd:
		h.open, h.out = false, simprotocol.AppendReplyEnd(h.out)
		return true, nil
	case simprotocol.Configure:
		b, err := policy.New(l.Settings, h.now, l.Seed)
		if err != nil {
			return false, fmt.Errorf("configure: conf: %w", err)
		}
		h.nodes[l.Node] = b
	case simprotocol.Shutdown:
		delete(h.nodes, l.Node)
	case simprotocol.Event:
		// Nothing arrives for a node that was shut down; if it does, nobody is there to hear it.
		if b := h.nodes[l.Node]; b != nil {
			h.deliver(l.Node, b, l.Event)
		}
	}
	return false, nil
}

// deliver hands one event to an instance; a panic in it is reported, not passed on.
func (h *host) deliver(node int, b *policy.Balancer, ev policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			fmt.Fprintf(os.Stderr, "instance %d: %s\n%s", node, text, debug.Stack())
			h.out = simprotocol.AppendCrash(h.out, node, text)
			delete(h.nodes, node)
		}
	}()
	for _, a := range b.Handle(h.now, ev) {
		h.out = simprotocol.AppendAction(h.out, node, a)
	}
}
