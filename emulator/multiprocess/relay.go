package multiprocess

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// weather is what a link does to the messages on it.
type weather struct {
	lostAsks, lostAnswers bool
	loss, repeat          float64
	delay                 time.Duration // mean
	stall, reset          bool
	flap                  time.Duration // cut every other such time
}

// relay is one link in one direction: who asks, and who is asked. It knows messages: an ask and its answer.
type relay struct {
	from, to string
	rig      *Rig
	addr     string
	server   *http.Server
	client   *http.Client

	mu      sync.Mutex
	weather map[int]weather // by fault
	rnd     *rand.Rand
}

// Counts are the messages on all links (Bytes are those of their bodies, both ways), and those that met a fault.
type Counts struct {
	Asks, Bytes, LostAsks, LostAnswers, Delayed, Repeated, Stalled, Reset atomic.Int64
}

const mostRelayed = 64 << 20

func newRelay(g *Rig, from, to string, seed uint64) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		from: from, to: to, rig: g, addr: ln.Addr().String(), weather: make(map[int]weather), rnd: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 2 * time.Second, DisableCompression: true}},
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(ln) }() // ends with close
	return r, nil
}

func (r *relay) close() {
	_ = r.server.Close()
	r.client.CloseIdleConnections()
}

func (r *relay) set(fault int, w weather) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weather[fault] = w
}

func (r *relay) lift(fault int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.weather, fault)
}

// now is what all faults together come to, and draws for one message.
func (r *relay) now() (w weather, lose, loseAnswer, repeat bool, delay, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.weather {
		cut := f.flap > 0 && (r.rig.since()/f.flap)%2 == 0
		w.lostAsks, w.lostAnswers = w.lostAsks || f.lostAsks || cut, w.lostAnswers || f.lostAnswers || cut
		w.loss, w.repeat, w.delay = max(w.loss, f.loss), max(w.repeat, f.repeat), max(w.delay, f.delay)
		w.stall, w.reset = w.stall || f.stall, w.reset || f.reset
	}
	lose, loseAnswer, repeat = r.rnd.Float64() < w.loss, r.rnd.Float64() < w.loss, r.rnd.Float64() < w.repeat
	delay = time.Duration(r.rnd.ExpFloat64() * float64(w.delay))
	late = time.Duration(r.rnd.Float64() * float64(3*time.Second))
	return w, lose || w.lostAsks, loseAnswer || w.lostAnswers, repeat, min(delay, 3*time.Second), late
}

// ServeHTTP carries one message.
func (r *relay) ServeHTTP(w http.ResponseWriter, ask *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, ask.Body, mostRelayed))
	if err != nil {
		return
	}
	c := &r.rig.Counts
	c.Asks.Add(1)
	c.Bytes.Add(int64(len(body)))
	state, lose, _, repeat, delay, late := r.now()
	switch {
	case state.reset:
		c.Reset.Add(1)
		r.cut(w)
		return
	case state.stall, lose:
		if lose {
			c.LostAsks.Add(1)
		} else {
			c.Stalled.Add(1)
		}
		<-ask.Context().Done() // nothing comes back: who asks gives up
		return
	}
	if delay > 0 {
		c.Delayed.Add(1)
		time.Sleep(delay)
	}
	if repeat {
		c.Repeated.Add(1)
		r.rig.parts.Go(func() { // later, once more, whatever became of the first
			select {
			case <-time.After(late):
			case <-r.rig.quit:
				return
			}
			ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
			defer stop()
			if resp, err := r.send(ctx, ask, body); err == nil {
				resp.Body.Close()
			}
		})
	}
	resp, err := r.send(ask.Context(), ask, body)
	if err != nil {
		r.cut(w)
		return
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostRelayed))
	resp.Body.Close()
	if err != nil {
		r.cut(w)
		return
	}
	c.Bytes.Add(int64(len(answer)))
	state, _, lose, _, delay, _ = r.now()
	if delay > 0 {
		time.Sleep(delay)
	}
	if lose || state.stall {
		c.LostAnswers.Add(1)
		<-ask.Context().Done()
		return
	}
	for k, v := range resp.Header {
		if k != "Connection" {
			w.Header()[k] = v
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer) // who asked may have left
}

func (r *relay) send(ctx context.Context, ask *http.Request, body []byte) (*http.Response, error) {
	to := r.rig.where(r.to)
	if to == "" {
		return nil, io.ErrUnexpectedEOF
	}
	req, err := http.NewRequestWithContext(ctx, ask.Method, "http://"+to+ask.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = ask.Header.Clone()
	return r.client.Do(req)
}

// cut resets the connection.
func (r *relay) cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// begin puts a fault of links on the relays that it meets.
func (g *Rig) begin(i int, f Fault) {
	with := f.With
	if len(with) == 0 {
		for _, n := range g.s.Names() {
			if !slices.Contains(f.On, n) {
				with = append(with, n)
			}
		}
	}
	for _, r := range g.relays {
		forth := slices.Contains(f.On, r.from) && slices.Contains(with, r.to)
		back := slices.Contains(f.On, r.to) && slices.Contains(with, r.from)
		if !forth && !back {
			continue
		}
		var w weather
		switch f.Kind {
		case "cut":
			w.lostAsks, w.lostAnswers = true, true
		case "one_way": // what On says is not heard by With
			w.lostAsks, w.lostAnswers = forth, back
		case "answers":
			w.lostAnswers = true
		case "loss":
			w.loss = f.Value
		case "repeat":
			w.repeat = f.Value
		case "delay":
			w.delay = time.Duration(f.Value * float64(time.Second))
		case "stall":
			w.stall = true
		case "reset":
			w.reset = true
		case "flap":
			w.flap = time.Duration(f.Value * float64(time.Second))
		}
		r.set(i, w)
	}
}

func (g *Rig) lift(i int) {
	for _, r := range g.relays {
		r.lift(i)
	}
}
