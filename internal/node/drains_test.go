package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/drain"
	"cobaltward/emulator/checker"
	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/adminapi"
	"cobaltward/policy"
	"cobaltward/router"
)

// testNode is a node with its door among emulated servers, and clients that never stop.
type testNode struct {
	t              *testing.T
	addr           string
	adminSocket    string
	operationsAddr string
	memoryMB       int64
	initialList    registry.List
	settings       policy.Settings
	state          StateConfig

	mu            sync.Mutex
	checker       *checker.Judge
	executed      map[string]bool
	startedAt     time.Time
	failingServer atomic.Int64 // which server fails its requests, from 1; 0: none

	served, rejected, failed, conflicts, retriedAfterClose, unanswered atomic.Int64
	inFlight                                                           atomic.Int64
}

const ms = time.Millisecond

func drainSettings() policy.Settings {
	return policy.Settings{
		Nodes: 1, Classes: []policy.Class{
			{Name: "hladanie", LatencyObjective: 300 * ms, Deadline: 1500 * ms, Idempotency: policy.Idempotent, PriorityWeight: 1},
			{Name: "rezervacia", LatencyObjective: 300 * ms, Deadline: 1200 * ms, Idempotency: policy.NonIdempotent, PriorityWeight: 1},
			{Name: "zrusenie", LatencyObjective: 300 * ms, Deadline: 1500 * ms, Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll, DedupWindow: 4 * time.Second, PriorityWeight: 1},
		},
		Capabilities: policy.Capabilities{Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: time.Second, ConnIdleTimeout: 10 * time.Second},
		Rules:        policy.Rules{DrainGrace: 500 * ms, AnswerGrace: 50 * ms, SlowStartShare: 1, OverloadFactor: 3, OverloadDuration: time.Second},
	}
}

func newTestNode(t *testing.T, servers int) *testNode {
	w := &testNode{t: t, executed: make(map[string]bool), startedAt: time.Now(), adminSocket: filepath.Join(t.TempDir(), "door.sock")}
	w.settings = drainSettings()
	set := w.settings
	book := checker.Rulebook{Classes: make(map[string]checker.Class), AnswerGrace: set.Rules.AnswerGrace, DrainGrace: set.Rules.DrainGrace, Slack: 150 * ms}
	for _, c := range set.Classes {
		book.Classes[c.Name] = checker.Class{Repeat: c.Idempotency, Group: c.DedupScope, Window: c.DedupWindow}
	}
	w.checker = checker.New(book)
	group := servermodel.NewGroup(4 * time.Second)
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprintf("s%d", i)
		h := servermodel.StartWatched(model.Config{Cores: 8, Slots: 16, Queue: 32, Cancel: model.CancelAll}, group, func(e model.Execution) {
			w.locked(func(now time.Duration) { w.executed[e.ID] = true; w.checker.Ran(now, id, e.ID, e.Discarded) })
		})
		work := model.Work{Dist: model.Lognormal, Mean: 0.06, CV: 1.5}
		f := serverprotocol.TreatHTTP1(ln, h, serverprotocol.Options{
			Treat: func(_, id string) serverprotocol.Treatment {
				var n int
				w.locked(func(now time.Duration) {
					n = w.checker.Attempts(id)
					w.checker.Sent(now, "n", id, n, fmt.Sprintf("s%d", i))
				})
				x := serverprotocol.Treatment{Work: work.Draw(1, id)}
				if w.failingServer.Load() == int64(i+1) {
					x.Fail, x.Reset = model.Uniform(2, id) < 0.3, model.Uniform(3, id) < 0.2
				}
				return x
			},
			Turned: func(id string) {
				w.locked(func(time.Duration) { w.checker.Proved("n", id, w.checker.Attempts(id)-1) })
			},
		})
		t.Cleanup(func() { h.Stop(); f.Close() })
		w.initialList.Endpoints = append(w.initialList.Endpoints, router.Endpoint{ID: id, Addr: f.Addr, Zone: "a", Kind: "k", Weight: 1})
	}
	w.initialList.Revision, w.initialList.Full = 1, true
	return w
}

func (w *testNode) locked(f func(now time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(time.Since(w.startedAt))
}

// start runs a node until stop is called; ended gets its error.
func (w *testNode) start() (stop context.CancelFunc, ended chan error) {
	w.t.Helper()
	at := w.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.addr == "" {
		w.addr = ln.Addr().String()
	}
	desk, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.operationsAddr = desk.Addr().String()
	leave, whole := 150*ms, 1200*ms
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() {
		ended <- Run(ctx, Config{
			Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, MemoryMB: w.memoryMB, InitialList: w.initialList, Settings: w.settings, ConnectTimeout: w.connectTimeout(),
			AnnounceFor: &leave, DrainTimeout: &whole, State: w.state, AdminAPI: adminapi.Config{Socket: w.adminSocket}, OperationsListener: desk,
		}, ln, nil, slog.New(slog.DiscardHandler))
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * ms) {
		if resp, err := http.Get("http://" + w.addr + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return stop, ended
			}
		}
	}
	w.t.Fatal("the node never became ready")
	return nil, nil
}

// callAdmin asks the door, and returns the status of its answer and what it says.
func (w *testNode) callAdmin(method, path string, body any) (int, Status) {
	w.t.Helper()
	c, base := adminapi.NewClient(w.adminSocket, "", nil)
	defer c.CloseIdleConnections()
	raw, err := json.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	req, err := http.NewRequest(method, base+path, bytes.NewReader(raw))
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, Status{}
	}
	defer resp.Body.Close()
	var s Status
	_ = json.NewDecoder(resp.Body).Decode(&s) // errors have another form
	return resp.StatusCode, s
}

// startClients send until ctx ends; they keep connections and open more when all are busy.
func (w *testNode) startClients(ctx context.Context, n int) *sync.WaitGroup {
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	for i := range n {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			for k := 0; ctx.Err() == nil; k++ {
				w.request(client, rng, fmt.Sprintf("c%d-%d", i, k))
				time.Sleep(time.Duration(rng.IntN(40)) * ms)
			}
		})
	}
	go func() { <-ctx.Done(); all.Wait(); client.CloseIdleConnections() }()
	return &all
}

func (w *testNode) request(client *http.Client, rng *rand.Rand, id string) {
	class := drainSettings().Classes[rng.IntN(3)]
	status, reused, err := w.send(client, class, id, true)
	if err != nil && reused && !errors.Is(err, context.DeadlineExceeded) {
		// The close of its connection crossed it: a client sends it once more. Where the node had taken it, it
		// says so now: then its answer was lost.
		w.retriedAfterClose.Add(1)
		if status, _, err = w.send(client, class, id, false); status == http.StatusConflict {
			w.locked(func(now time.Duration) {
				w.t.Errorf("%v: %s was taken, and its connection closed without its answer", now, id)
			})
		}
	}
	w.locked(func(now time.Duration) {
		if err == nil {
			w.checker.Answer(now, "n", id, 0, status == 429 || status == 503)
			return
		}
		w.unanswered.Add(1)
		if w.executed[id] && !errors.Is(err, syscall.ECONNREFUSED) || w.executed[id] && reused {
			w.t.Errorf("%v: %s ran, and has no answer: %v", now, id, err)
		}
		w.checker.Left("n", id, 0) // it was never taken
	})
	switch {
	case err != nil:
	case status == 200:
		w.served.Add(1)
	case status == 429 || status == 503:
		w.rejected.Add(1)
	case status == 409:
		w.conflicts.Add(1)
	default:
		w.failed.Add(1)
	}
}

func (w *testNode) send(client *http.Client, class policy.Class, id string, first bool) (status int, reused bool, err error) {
	method := http.MethodPost
	if class.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), class.Deadline+500*ms)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addr+"/api", http.NoBody)
	if err != nil {
		return 0, false, err
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class.Name, "X-Tenant": "t", "X-Deadline-Ms": strconv.FormatInt(class.Deadline.Milliseconds(), 10)} {
		req.Header.Set(k, v)
	}
	if class.Idempotency == policy.IdempotencyKeyed {
		req.Header.Set("Idempotency-Key", "k-"+id)
	}
	if first {
		w.locked(func(now time.Duration) { w.checker.Taken(now, "n", id, class.Name, now+class.Deadline) })
	}
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	resp, err := client.Do(req)
	if err != nil {
		return 0, reused, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode, reused, err
}

// Drains under load from a seeded script: random moments of drain, undrain, a shorter deadline, SIGTERM, servers
// drained by hand and sick ones. Nothing is lost, nothing is answered twice, nothing runs twice, and what the
// door counts lies between what the clients count before and after. DRAINS=300 for the long form.
func TestDrainsUnderLoad(t *testing.T) {
	drains := 12
	if n, err := strconv.Atoi(os.Getenv("DRAINS")); err == nil {
		drains = n
	}
	w := newTestNode(t, 4)
	stop, ended := w.start()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	all := w.startClients(ctx, 24)
	rng := rand.New(rand.NewPCG(11, 12))
	nap := func(least, most int) { time.Sleep(time.Duration(least+rng.IntN(most-least)) * ms) }
	ends := make(map[string]int)
	for n := range drains {
		nap(20, 200)
		w.failingServer.Store(int64(rng.IntN(8))) // from 5 on: none
		if rng.IntN(3) == 0 {
			id := w.initialList.Endpoints[rng.IntN(4)].ID
			w.callAdmin(http.MethodPost, "/servers/"+id+"/drain", nil)
			defer w.callAdmin(http.MethodDelete, "/servers/"+id+"/drain", nil)
			if rng.IntN(2) == 0 {
				w.callAdmin(http.MethodDelete, "/servers/"+id+"/drain", nil)
			}
		}
		if rng.IntN(3) == 0 { // by the console, and back from wherever it has come
			if code := w.callOperations("/standby"); code != http.StatusOK {
				t.Errorf("standby: %d", code)
			}
			nap(0, 2000)
			how := "standby and back from " + w.drainState()
			if code := w.callOperations("/active"); code != http.StatusOK || !w.isReady() {
				t.Errorf("%s: %d, or not ready", how, code)
			}
			ends[how]++
			continue
		}
		deadline := []string{"400ms", "1s", "3s"}[rng.IntN(3)]
		if code, s := w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: deadline, RequestedBy: "a", Reason: fmt.Sprint(n)}); code != http.StatusAccepted || s.Drain.State == drain.Serving {
			t.Fatalf("drain %d: %d %+v", n, code, s)
		}
		if code, _ := w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "300ms", RequestedBy: "b"}); code != http.StatusConflict {
			t.Errorf("a second operator was not told of the first: %d", code)
		}
		nap(0, 700)
		before := w.inFlight.Load()
		if code, s := w.callAdmin(http.MethodGet, "/status", nil); code == http.StatusOK {
			if most := max(before, w.inFlight.Load()) + 24; int64(s.Requests.Open) > most { // each of 24 may have begun another
				t.Errorf("%d in flight, %d at the clients", s.Requests.Open, most)
			}
		}
		how := ""
		switch rng.IntN(4) {
		case 0:
			code, s := w.callAdmin(http.MethodDelete, "/drain", DrainRequest{RequestedBy: "a"})
			if how = "cancelled"; code == http.StatusConflict {
				how = "too late to cancel"
			} else if code != http.StatusOK || s.Drain.State != drain.Serving {
				t.Errorf("cancel: %d %+v", code, s.Drain)
			} else if resp, err := http.Get("http://" + w.addr + "/health/ready"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("not ready at once after a cancel: %v", err)
			} else {
				resp.Body.Close()
			}
		case 1:
			how = "shortened"
			w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "50ms", RequestedBy: "b", Force: true})
		case 2:
			how = "SIGTERM"
			stop()
		default:
			how = "left alone"
		}
		if how != "cancelled" {
			for how != "SIGTERM" {
				_, s := w.callAdmin(http.MethodGet, "/status", nil)
				if s.Drain.State.Done() {
					how += ", " + s.Drain.State.String()
					break
				}
				time.Sleep(10 * ms)
			}
			stop()
			if err := <-ended; err != nil {
				t.Fatalf("drain %d, %s: the node ended: %v", n, how, err)
			}
			stop, ended = w.start()
		}
		ends[how]++
	}
	nap(200, 400)
	end()
	all.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	w.mu.Lock()
	v := w.checker.End()
	w.mu.Unlock()
	t.Logf("%d drains: %v; %d served, %d refused, %d failed, %d crossed a close, %d found nobody; facts %v", drains, ends,
		w.served.Load(), w.rejected.Load(), w.failed.Load(), w.retriedAfterClose.Load(), w.unanswered.Load(), v.Checked)
	if !v.Kept() {
		t.Errorf("broken: %v %+v", v.Count, v.Breaches[:min(5, len(v.Breaches))])
	}
	if w.served.Load() == 0 || w.conflicts.Load() > 0 {
		t.Errorf("%d served, %d conflicts", w.served.Load(), w.conflicts.Load())
	}
}

// connectTimeout is the time for a connection, which a busy machine may need more of.
func (w *testNode) connectTimeout() time.Duration {
	if w.memoryMB > 0 {
		return 10 * time.Second
	}
	return 250 * ms
}
