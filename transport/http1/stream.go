package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/router"
)

const (
	// holdBack is how long the beginning of an answer of unknown length is kept: while nothing of it has gone on,
	// an answer that breaks off leaves the module a choice.
	holdBack = 250 * time.Millisecond
	// stallFor is how long a server may be silent in the midst of a long answer.
	stallFor = 15 * time.Second
	// streamBuffer bounds what the system holds of a long answer that nobody reads.
	streamBuffer = 64 << 10
	pumpChunk    = 16 << 10
)

// stream is a long answer on its way: it is read from the server's connection as its reader wants it, so that a
// slow client holds the server up and not the memory.
type stream struct {
	u      *Transport
	c      *conn
	server string
	in     *bufio.Reader
	body   io.Reader
	length int64
	closes bool

	ended atomic.Bool // all of it was read
	once  sync.Once
}

var _ router.Stream = (*stream)(nil)

// Length is that of the whole answer; -1 where the server doesn't say.
func (s *stream) Length() int64 { return s.length }

// Read waits for the server where it has to.
func (s *stream) Read(p []byte) (int, error) {
	_ = s.c.SetReadDeadline(time.Now().Add(stallFor))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

// Close ends the stream, wherever it is. It may be called while another goroutine reads, and twice.
func (s *stream) Close() error {
	s.once.Do(func() {
		whole := s.ended.Load()
		if whole {
			_ = s.c.SetReadDeadline(time.Time{})
			s.closes = s.closes || s.in.Buffered() > 0
			s.in.Reset(nil)
			s.u.readers.Put(s.in)
		}
		s.u.release(s.c, s.server, whole && !s.closes)
	})
	return nil
}

// exactly is a body of a told length: an end before that is none.
type exactly struct {
	in   io.Reader
	left int64
}

func (e *exactly) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > e.left {
		p = p[:e.left]
	}
	n, err := e.in.Read(p)
	if e.left -= int64(n); e.left == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// pump reads a body of unknown length ahead of its reader, as far as a bound allows: so the beginning of the answer
// can be held back for a moment, and not for longer.
type pump struct {
	body io.Reader

	mu     sync.Mutex
	moved  sync.Cond
	held   []byte
	err    error // how the body ended; nil while it goes on
	enough chan struct{}
	told   bool // enough is closed
	bound  int  // of held
	ended  bool // nobody reads any more
}

func newPump(body io.Reader) *pump {
	p := &pump{body: body, enough: make(chan struct{}), bound: maxBody}
	p.moved.L = &p.mu
	return p
}

// run reads until the body ends, or its connection does. Whoever makes a pump sees to the end of either.
func (p *pump) run() {
	buf := make([]byte, pumpChunk)
	for {
		n, err := p.body.Read(buf)
		p.mu.Lock()
		for len(p.held) >= p.bound && !p.ended {
			p.moved.Wait()
		}
		p.held = append(p.held, buf[:n]...)
		if err != nil {
			p.err = err
		}
		if (err != nil || len(p.held) >= p.bound) && !p.told {
			p.told = true
			close(p.enough)
		}
		p.moved.Broadcast()
		over := err != nil || p.ended
		p.mu.Unlock()
		if over {
			return
		}
	}
}

// Read gives what was read ahead.
func (p *pump) Read(to []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.held) == 0 && p.err == nil && !p.ended {
		p.moved.Wait()
	}
	switch {
	case len(p.held) > 0:
		n := copy(to, p.held)
		if p.held = p.held[n:]; len(p.held) == 0 {
			p.held = nil
		}
		p.moved.Broadcast()
		return n, nil
	case p.err != nil:
		return 0, p.err
	}
	return 0, io.ErrClosedPipe
}

// whole returns the body if it has ended by now, within the bound.
func (p *pump) whole() (body []byte, err error, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil || errors.Is(p.err, io.EOF) && len(p.held) > maxBody {
		return nil, nil, false
	}
	if errors.Is(p.err, io.EOF) {
		return p.held, nil, true
	}
	return nil, p.err, true
}

// end lets go of whoever waits.
func (p *pump) end() {
	p.mu.Lock()
	p.ended = true
	p.moved.Broadcast()
	p.mu.Unlock()
}

// pumped is the stream of a pump: it ends with it.
type pumped struct {
	*stream
	p    *pump
	over chan struct{} // closed when the pump has ended
}

// Read leaves time-outs to the pump's side of the connection.
func (s *pumped) Read(p []byte) (int, error) {
	n, err := s.p.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

func (s *pumped) Close() error {
	s.p.end()
	if s.ended.Load() {
		<-s.over
	}
	return s.stream.Close()
}

// stalling gives each read of a connection the time that a server may be silent.
type stalling struct{ *conn }

func (s stalling) Read(p []byte) (int, error) {
	_ = s.SetReadDeadline(time.Now().Add(stallFor))
	return s.conn.Read(p)
}

// long takes an answer that is passed on as it comes. in holds what came behind the head; limit is under it.
func (u *Transport) long(in *bufio.Reader, limit *io.LimitedReader, c *conn, server string, h head) (*stream, error) {
	limit.N = math.MaxInt64
	if _, err := in.Peek(1); err != nil { // not a byte of it has come: there is still a choice
		return nil, spoilt(err, false)
	}
	_ = c.tcp.SetReadBuffer(streamBuffer) // else the system takes in megabytes for who reads slowly
	return &stream{u: u, c: c, server: server, in: in, body: &exactly{in, int64(h.length)}, length: int64(h.length), closes: h.closes}, nil
}

// unknown takes an answer whose length nobody has told, or that net/http has to judge. It comes whole where it ends
// soon, and else as a stream.
func (u *Transport) unknown(in *bufio.Reader, limit *io.LimitedReader, c *conn, server string, resp *http.Response) (body []byte, s router.Stream, err error) {
	limit.N, limit.R = math.MaxInt64, stalling{c}
	p := newPump(resp.Body)
	over := make(chan struct{})
	go func() {
		defer close(over)
		p.run()
	}()
	timer := time.NewTimer(holdBack)
	defer timer.Stop()
	select {
	case <-p.enough:
	case <-timer.C:
	}
	body, err, ended := p.whole()
	if ended {
		<-over
		_ = c.SetReadDeadline(time.Time{})
		return body, nil, err
	}
	p.mu.Lock()
	begun := len(p.held) > 0
	p.bound = pumpChunk // nothing is held back from now on, so there is no more to hold
	p.mu.Unlock()
	if !begun { // nothing of it has come: there is still a choice
		if err := p.first(); err != nil {
			<-over
			return nil, nil, err
		}
	}
	_ = c.tcp.SetReadBuffer(streamBuffer)
	return nil, &pumped{stream: &stream{u: u, c: c, server: server, in: in, body: p, length: resp.ContentLength, closes: resp.Close}, p: p, over: over}, nil
}

// first waits for the first byte, or for the end of a body without one.
func (p *pump) first() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.held) == 0 && p.err == nil {
		p.moved.Wait()
	}
	if len(p.held) > 0 || errors.Is(p.err, io.EOF) {
		return nil
	}
	return p.err
}
