package handshakes

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
)

// MaxHandshakeBytes is the maximum number of bytes that a peer may send during its handshake. It keeps excessive
// certificate chains from taking memory and CPU time.
const MaxHandshakeBytes = 64 << 10

// ErrHandshakeTooLarge is returned by Read if the peer has sent more than MaxHandshakeBytes.
var ErrHandshakeTooLarge = errors.New("peer sent more than 64 KiB during the handshake")

// Conn is the TCP connection under a TLS connection. During the handshake, the computations between its reads run
// under a CPUScheduler. After EndHandshake, Conn only passes on reads and writes. As with crypto/tls, one goroutine
// may read while another goroutine writes. HasReceived, WithinRecord, IsComputing, PeerWait and DropBlockingWrites may
// be called at any time by any goroutine.
type Conn struct {
	net.Conn // provides the methods that Conn does not define
	TCP      *net.TCPConn
	reader   *sockets.DeadlineReader
	// AbortIfPeerCloses makes a read of the handshake fail if the peer has closed the connection. The data of that
	// read is then not processed.
	AbortIfPeerCloses bool
	// TrackRecords makes blocking reads track TLS records, for WithinRecord.
	TrackRecords bool
	// OnReceive is called after each blocking read that returned bytes. It is not called during the handshake, and may
	// be nil.
	OnReceive func()

	cpu            *CPUScheduler
	task           Task
	deadline       time.Time       // time at which the handshake fails
	cancelled      <-chan struct{} // closed when the handshake is no longer wanted
	inHandshake    bool
	holdsCPU       bool
	taskStart      time.Time // valid while holdsCPU is true
	handshakeBytes int       // bytes received during the handshake
	computeTime    time.Duration

	records           recordTracker // used only by the reading goroutine
	withinRecord      atomic.Bool
	bufferedRecords   atomic.Int32 // complete records that crypto/tls has read and not returned
	lastReadFull      bool         // whether the last read filled its buffer; used only by the reading goroutine
	bytesRead         uint64       // number of bytes read after the handshake; used only by the reading goroutine
	readsNonBlocking  bool
	writesNonBlocking atomic.Bool
	received          atomic.Bool
	computing         atomic.Bool               // whether a handshake computation is queued or running
	lastComputed      atomic.Pointer[time.Time] // end of the last computation; nil: none yet
	peerWait          peerWait
}

// NewConn returns the connection of a handshake that starts now. urgent reports whether a request is waiting for the
// handshake. The handshake fails at the deadline, or when cancelled is closed.
func NewConn(tcp *net.TCPConn, cpu *CPUScheduler, urgent bool, deadline time.Time, cancelled <-chan struct{}) *Conn {
	return &Conn{
		Conn:        tcp,
		TCP:         tcp,
		reader:      sockets.NewDeadlineReader(tcp),
		cpu:         cpu,
		task:        Task{Urgent: urgent},
		deadline:    deadline,
		cancelled:   cancelled,
		inHandshake: true,
	}
}

// EndHandshake ends the handshake and the scheduling of its computations. It returns the total time of the
// computations.
func (c *Conn) EndHandshake() (computeTime time.Duration) {
	c.releaseCPU()
	c.inHandshake, c.cancelled = false, nil
	c.AllRecordsReturned() // the handshake has processed its records
	return c.computeTime
}

// HasReceived reports whether a read of the handshake has returned. A failed read counts as well.
func (c *Conn) HasReceived() bool { return c.received.Load() }

// IsComputing reports whether a computation of the handshake is queued or running, or ended less than SilentAfter
// ago. A nearby peer may take up to SilentAfter to reply.
func (c *Conn) IsComputing() bool {
	if c.computing.Load() {
		return true
	}
	lastComputed := c.lastComputed.Load()
	return lastComputed != nil && time.Since(*lastComputed) < SilentAfter
}

// PeerWait returns how long the handshake has waited for its peer in total. It does not count the time during which
// the handshake computes or waits for the CPU.
func (c *Conn) PeerWait() time.Duration { return c.peerWait.total() }

// BeginCompute waits until a computation of the handshake may run. A TLS client calls BeginCompute before its first
// read, because the client generates its key share before that read.
func (c *Conn) BeginCompute() error {
	if err := c.cpu.acquire(&c.task, c.deadline, c.cancelled); err != nil {
		return err
	}
	c.holdsCPU, c.taskStart = true, time.Now()
	return nil
}

func (c *Conn) releaseCPU() {
	c.computing.Store(false)
	if !c.holdsCPU {
		return
	}
	c.holdsCPU = false
	now := time.Now()
	c.lastComputed.Store(&now)
	c.computeTime += time.Since(c.taskStart)
	c.cpu.release(&c.task, c.taskStart)
}

// Read reads from the connection. During the handshake it returns data only when the CPU is available for the next
// computation.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.readsNonBlocking:
		return c.readNonBlocking(p)
	case c.inHandshake:
		return c.readHandshake(p)
	}
	c.AllRecordsReturned() // crypto/tls reads only when it has no complete record
	n, err := c.reader.Read(p)
	c.trackRecords(p[:n])
	c.lastReadFull = n == len(p)
	c.bytesRead += uint64(n)
	if n > 0 && c.OnReceive != nil {
		c.OnReceive()
	}
	return n, err
}

// WithinRecord reports whether a TLS record has been read only in part. It is always false without TrackRecords.
func (c *Conn) WithinRecord() bool { return c.withinRecord.Load() }

// HasBufferedRecord reports whether a complete TLS record was read from the connection and not returned by the TLS
// connection. It is always false without TrackRecords.
func (c *Conn) HasBufferedRecord() bool { return c.bufferedRecords.Load() > 0 }

// RecordReturned records that the TLS connection has returned the end of a record.
func (c *Conn) RecordReturned() {
	if c.bufferedRecords.Load() > 0 {
		c.bufferedRecords.Add(-1)
	}
}

// AllRecordsReturned records that the TLS connection has no complete record left. It returns none after an error.
func (c *Conn) AllRecordsReturned() { c.bufferedRecords.Store(0) }

// MayHaveMore reports whether the peer may have sent more than the TLS connection has returned, apart from an
// incomplete record. The reading goroutine calls it after a read.
func (c *Conn) MayHaveMore() bool { return c.lastReadFull || c.HasBufferedRecord() }

// BytesRead returns the number of bytes read since the handshake. Only the reading goroutine may call it.
func (c *Conn) BytesRead() uint64 { return c.bytesRead }

// trackRecords tracks the records in received.
func (c *Conn) trackRecords(received []byte) {
	if c.TrackRecords && len(received) > 0 {
		completed, within := c.records.advance(received)
		c.withinRecord.Store(within)
		c.bufferedRecords.Store(int32(completed))
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.TCP.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. Data received before the deadline can still be read after it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.reader.SetReadDeadline(t) }

func (c *Conn) readHandshake(p []byte) (int, error) {
	c.releaseCPU()
	n, err := c.readFromPeer(p)
	c.trackRecords(p[:n])
	c.received.Store(true)
	c.handshakeBytes += n
	if c.handshakeBytes > MaxHandshakeBytes {
		return 0, ErrHandshakeTooLarge
	}
	if err != nil {
		return n, err
	}
	c.computing.Store(true)
	if err := c.BeginCompute(); err != nil {
		return 0, err
	}
	if c.AbortIfPeerCloses && c.peerClosed() {
		return 0, net.ErrClosed
	}
	return n, nil
}

// readFromPeer reads from the connection, and counts the time for which the read waited for the peer.
func (c *Conn) readFromPeer(p []byte) (int, error) {
	began := time.Now()
	c.peerWait.begin(began)
	n, err := c.reader.Read(p)
	returned := time.Now()
	newestAt, known := sockets.NewestArrival(c.TCP, began, returned)
	if !known {
		newestAt = returned
	}
	c.peerWait.end(newestAt)
	return n, err
}

// Write writes to the connection. After DropBlockingWrites it never blocks.
func (c *Conn) Write(p []byte) (int, error) {
	if c.writesNonBlocking.Load() {
		return c.writeNonBlocking(p)
	}
	return c.TCP.Write(p)
}

// DropBlockingWrites makes all further writes drop the data that can't be written without blocking. The alert that
// closes a TLS connection then can't block.
func (c *Conn) DropBlockingWrites() { c.writesNonBlocking.Store(true) }

// ReadAvailable calls read while reads of c are non-blocking. It reports whether read failed because no data was
// available.
func (c *Conn) ReadAvailable(read func() error) (wouldBlock bool) {
	c.readsNonBlocking = true
	err := read()
	c.readsNonBlocking = false
	return errors.Is(err, errWouldBlock)
}

// RemoteAlert returns the text of the TLS alert with which the peer ended the handshake. It returns "" if err is not
// caused by an alert.
func RemoteAlert(err error) string {
	// crypto/tls wraps a received alert in a net.OpError. It does not export the type of the alert.
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "remote error" {
		return opErr.Err.Error()
	}
	return ""
}
