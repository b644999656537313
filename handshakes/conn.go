package handshakes

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

)

// MaxHandshakeBytes is what a peer may send before its handshake is over: a chain of certificates that no honest one needs
// must cost no memory, nor the time to look through it.
const MaxHandshakeBytes = 64 << 10

// What a Wire says beside the errors of its connection.
var (
	ErrHandshakeTooLarge = errors.New("more than 64 KiB came before the handshake was over")
	errWouldBlock = wouldBlockError{}
)

// wouldBlockError is the error of a read that would wait. To crypto/tls it is one that passes.
type wouldBlockError struct{}

func (wouldBlockError) Error() string   { return "nothing has come" }
func (wouldBlockError) Timeout() bool   { return true }
func (wouldBlockError) Temporary() bool { return true }

// RemoteAlert is what the other side broke a handshake off with; empty where it did not say.
func RemoteAlert(err error) string {
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "remote error" { // crypto/tls has no type for it that others see
		return op.Err.Error()
	}
	return ""
}

// Conn is a TCP connection under TLS. While its handshake goes on, what the other side sends is worked on only in
// turn: each piece of arithmetic, from a read to the next, has the core to itself. The rest of the time it adds
// nothing to its connection.
type Conn struct {
	net.Conn // methods below take precedence
	TCP      *net.TCPConn
	AbortIfPeerCloses   bool // the other side may give up waiting: what it said is worth nothing once it has closed

	cpu    *CPUScheduler
	task   Task
	deadline      time.Time       // the end of the handshake, at the latest
	cancelled    <-chan struct{} // nobody wants it any more
	inHandshake bool
	holdsCPU  bool // it has the core
	taskStart   time.Time
	handshakeBytes    int
	readsNonBlocking  bool // reads do not wait
	writesNonBlocking   atomic.Bool
	received   atomic.Bool
	computing atomic.Bool               // arithmetic waits for the core, or has it
	lastComputed  atomic.Pointer[time.Time] // when it had it last; nil: never
	computeTime  time.Duration
}

// NewConn returns the wire of a connection whose handshake begins. urgent says that a request waits for it.
func NewConn(tcp *net.TCPConn, core *CPUScheduler, urgent bool, by time.Time, done <-chan struct{}) *Conn {
	return &Conn{Conn: tcp, TCP: tcp, cpu: core, task: Task{Urgent: urgent}, deadline: by, cancelled: done, inHandshake: true}
}

// EndHandshake ends the handshake's part. It returns the time that its arithmetic took.
func (w *Conn) EndHandshake() time.Duration {
	w.releaseCPU()
	w.inHandshake, w.cancelled = false, nil
	return w.computeTime
}

// HasReceived tells whether anything has come in the handshake.
func (w *Conn) HasReceived() bool { return w.received.Load() }

// IsComputing tells whether arithmetic of the handshake waits for the core, or has it, or had it just now: who is near
// answers at once.
func (w *Conn) IsComputing() bool {
	if w.computing.Load() {
		return true
	}
	rested := w.lastComputed.Load()
	return rested != nil && time.Since(*rested) < SilentAfter
}

// BeginCompute has the core for what comes before the first read: a client computes its key then.
func (w *Conn) BeginCompute() error {
	if err := w.cpu.acquire(&w.task, w.deadline, w.cancelled); err != nil {
		return err
	}
	w.holdsCPU, w.taskStart = true, time.Now()
	return nil
}

// releaseCPU gives the core back.
func (w *Conn) releaseCPU() {
	w.computing.Store(false)
	if w.holdsCPU {
		w.holdsCPU = false
		now := time.Now()
		w.lastComputed.Store(&now)
		w.computeTime += time.Since(w.taskStart)
		w.cpu.release(&w.task, w.taskStart)
	}
}

// Read reads from the connection.
func (w *Conn) Read(p []byte) (int, error) {
	switch {
	case w.readsNonBlocking:
		return w.readNonBlocking(p)
	case !w.inHandshake:
		return w.TCP.Read(p)
	}
	w.releaseCPU()
	n, err := w.TCP.Read(p)
	w.received.Store(true)
	if w.handshakeBytes += n; w.handshakeBytes > MaxHandshakeBytes {
		return 0, ErrHandshakeTooLarge
	}
	if err != nil {
		return n, err
	}
	w.computing.Store(true)
	if err := w.cpu.acquire(&w.task, w.deadline, w.cancelled); err != nil {
		return 0, err
	}
	w.holdsCPU, w.taskStart = true, time.Now()
	if w.AbortIfPeerCloses && w.peerClosed() { // arithmetic for it helps nobody
		return 0, net.ErrClosed
	}
	return n, nil
}

// Write writes to the connection.
func (w *Conn) Write(p []byte) (int, error) {
	if w.writesNonBlocking.Load() {
		return w.writeNonBlocking(p)
	}
	return w.TCP.Write(p)
}

// DropBlockingWrites has what is written from now on be dropped where it would have to wait: a farewell is worth no time.
func (w *Conn) DropBlockingWrites() { w.writesNonBlocking.Store(true) }

// ReadAvailable has f read without waiting, and tells whether it ended for want of anything to read.
func (w *Conn) ReadAvailable(f func() error) (nothingCame bool) {
	w.readsNonBlocking = true
	err := f()
	w.readsNonBlocking = false
	return errors.Is(err, errWouldBlock)
}

// readNonBlocking reads what is there.
func (w *Conn) readNonBlocking(p []byte) (n int, err error) {
	raw, err := w.TCP.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(failed, syscall.EAGAIN):
		return 0, errWouldBlock
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// writeNonBlocking writes what there is room for.
func (w *Conn) writeNonBlocking(p []byte) (n int, err error) {
	raw, err := w.TCP.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		_, failed = syscall.SendmsgN(int(fd), p, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
	if err = errors.Join(err, failed); err != nil {
		return 0, err
	}
	return len(p), nil
}

// peerClosed tells whether the other side has closed, or the connection is closed here.
func (w *Conn) peerClosed() bool {
	raw, err := w.TCP.SyscallConn()
	if err != nil {
		return true
	}
	over := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		over = err == nil && n == 0 || err != nil && err != syscall.EAGAIN
	})
	return over || err != nil
}
