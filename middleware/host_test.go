package middleware_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
)

// TestServeHTTP_HostOverloaded checks that each request gets one answer that agrees with how often the request ran.
// It also checks that the event loop's lag is measured. Goroutines of the host keep all threads busy and cause
// garbage collection.
func TestServeHTTP_HostOverloaded(t *testing.T) {
	var mu sync.Mutex
	executions := make(map[string]int)
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		executions[r.Header.Get("X-Request-Id")]++
		mu.Unlock()
	})
	engine := newRouter(t, addr, addr, addr)
	url := serve(t, middleware.New(engine))
	end := time.Now().Add(1200 * time.Millisecond)
	var busy, clients sync.WaitGroup
	for range 2 * runtime.GOMAXPROCS(0) {
		busy.Go(func() { keepBusyUntil(end) })
	}
	var codes [600]atomic.Int32
	for i := range 8 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprint("r", i, "-", n)
				status, _ := send(t, request(t, url, "POST", "pay", id, "sum", "X-Deadline-Ms", "150"))
				codes[status].Add(1)
				mu.Lock()
				ran := executions[id]
				mu.Unlock()
				if ran > 1 || status == 200 && ran != 1 || (status == 429 || status == 503) && ran != 0 {
					t.Errorf("%s: status %d does not agree with %d executions", id, status, ran)
				}
			}
		})
	}
	clients.Wait()
	busy.Wait()
	if s := engine.Stats(); s.Lag.Max <= 0 || s.Retained != 0 || len(s.OpenByClass) != 0 {
		t.Errorf("want a measured lag and no open or retained request, got %+v", s)
	}
	if codes[200].Load() == 0 {
		t.Error("no request was served")
	}
}

// lastBuffer holds the latest buffer of keepBusyUntil. Storing the buffers in lastBuffer forces them onto the heap.
var lastBuffer atomic.Pointer[[]byte]

// keepBusyUntil occupies a thread until end, and allocates garbage.
func keepBusyUntil(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		buf := make([]byte, 32<<10)
		for i := range buf {
			buf[i] = byte(n * i)
		}
		lastBuffer.Store(&buf)
	}
}

// TestReload_LeaksNothing checks that reloads leak no descriptors and no goroutines, and that the last endpoint list
// is in effect. The test reloads the settings and a changing set of servers over real sockets. The environment
// variable RELOADS sets the number of reloads.
func TestReload_LeaksNothing(t *testing.T) {
	reloads := 30
	if n, err := strconv.Atoi(os.Getenv("RELOADS")); err == nil && n > 0 {
		reloads = n
	}
	var served atomic.Int32
	var addrs []string
	for range 4 {
		addrs = append(addrs, newEchoServer(t, &served))
	}
	config := func(i int) router.Config {
		config := router.Config{Settings: settings(), Endpoints: endpoints(addrs[:2+i%3])}
		config.Settings.Classes[i%3].Deadline += time.Duration(i) * time.Millisecond
		return config
	}
	before := countDescriptors(t)
	engine, err := router.New(config(0), router.WithTransport(newTransport()))
	if err != nil {
		t.Fatal(err)
	}
	stopClients := sendUntilStopped(t, middleware.New(engine))
	for i := 1; i <= reloads; i++ {
		if err := engine.Reload(config(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	stopClients()
	stats := engine.Stats()
	running := stats.EndpointsByAvailability[policy.Running]
	if stats.Reloads != uint64(reloads) || running != 2+reloads%3 || stats.Retained != 0 {
		t.Errorf("statistics do not match the last reload: %+v", stats)
	}
	if err := engine.Close(); err != nil {
		t.Error(err)
	}
	testkit.Await(t, "the descriptors to be closed", func() bool { return countDescriptors(t) <= before })
}

func countDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("/proc/self/fd is not readable")
	}
	return len(all)
}

// sendUntilStopped sends requests from four clients until stop is called. Each answer must have status 200 or 503.
func sendUntilStopped(t *testing.T, handler http.Handler) (stop func()) {
	t.Helper()
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for c := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				rec := httptest.NewRecorder()
				handler.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", fmt.Sprint(c, "-", i), "sum"))
				if rec.Code != 200 && rec.Code != 503 {
					t.Errorf("status %d, want 200 or 503", rec.Code)
				}
			}
		})
	}
	return func() {
		close(stopped)
		clients.Wait()
	}
}
