package conformance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// Sizes of the script. The part of a request ID after the dash names the reaction to the first attempt of the
// request. The reaction is therefore the same at every server.
const (
	scriptLength  = 2000
	scriptServers = 6
	scriptClients = 8 // each sends every eighth request of the script, in order
)

// scriptedCluster consists of the servers of a script and a discovery service. The service lists the last server
// as draining when half of the script has been sent.
type scriptedCluster struct {
	t     *testing.T
	addrs []string

	mu                 sync.Mutex
	executions         map[string]int // number of complete attempts that were not rejected, by request ID
	attempts           map[string]int // number of complete attempts, by request ID
	drainedAt          time.Time      // time at which discovery sent the drain of the last server
	attemptsAfterGrace int            // number of attempts at the draining server after the grace
}

func newScriptedCluster(t *testing.T) *scriptedCluster {
	t.Helper()
	cluster := &scriptedCluster{t: t, executions: make(map[string]int), attempts: make(map[string]int)}
	for i := range scriptServers {
		cluster.addrs = append(cluster.addrs, testkit.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err = io.Copy(io.Discard, req.Body); err != nil || !cluster.serve(i, conn, req) {
					return
				}
			}
		}))
	}
	return cluster
}

// count counts an attempt of the request id at a server, and reports whether it is the first attempt of the request.
// reaction is the reaction that the ID names.
func (c *scriptedCluster) count(server int, id, reaction string) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[id]++
	first = c.attempts[id] == 1
	if reaction != "full" || !first {
		c.executions[id]++
	}
	if server == scriptServers-1 && !c.drainedAt.IsZero() && time.Since(c.drainedAt) > 500*time.Millisecond {
		c.attemptsAfterGrace++
	}
	return first
}

// serve answers one attempt with the reaction that the request ID names. It returns false to close the connection.
func (c *scriptedCluster) serve(server int, conn net.Conn, req *http.Request) (open bool) {
	id := req.Header.Get("X-Request-Id")
	_, reaction, _ := strings.Cut(id, "-")
	if c.count(server, id, reaction) {
		switch reaction {
		case "error":
			_, err := io.WriteString(conn, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case "full":
			_, err := io.WriteString(conn, "HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case "reset":
			return false
		case "half":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		case "slow":
			time.Sleep(100 * time.Millisecond)
		}
	}
	if reaction == "hang" {
		_, _ = conn.Read(make([]byte, 1)) // returns when the attempt is cancelled
		return false
	}
	body := "done " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// discovery runs a discovery service. After drain is closed, the service answers watches with an update in which the
// last server is draining.
func (c *scriptedCluster) discovery(drain <-chan struct{}) (addr string) {
	const update = `{"revision":8,"complete":false,"members":[{"id":"s%d","host_port":%q,"locality":"a","flavor":"k",` +
		`"cell":1,"phase":"draining","up_since_ms":0}]}`
	return testkit.HTTPServer(c.t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "7" {
			<-r.Context().Done()
			return
		}
		select {
		case <-drain:
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, update, scriptServers-1, c.addrs[scriptServers-1])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drainedAt = time.Now()
	})
}

// scriptedRequest is a request of the script and its expected outcome.
type scriptedRequest struct {
	id, class, tenant string
	deadline          int // in ms
	want              string
}

// script returns the requests of the script. Most requests are served normally. For one request in ten, the server
// that gets the first attempt injects a fault.
func script() (requests []scriptedRequest) {
	reactions := []string{"error", "full", "reset", "half", "slow"}
	classes := []string{"read", "pay", "undo"}
	tinyTenantRequests := 0
	for i := range scriptLength {
		req := scriptedRequest{class: classes[i%3], tenant: "t", deadline: 8000, want: "served"}
		reaction := "plain"
		switch {
		case i%400 == 399: // reuses the ID of an earlier request of the same client
			before := requests[i-scriptClients*2]
			req.id, req.class, req.want = before.id, before.class, "conflict"
			requests = append(requests, req)
			continue
		case i%200 == 199:
			req.class, req.want = "other", "malformed"
		case i%200 == 96 && tinyTenantRequests < 8: // one client sends all these requests, so their order is fixed
			req.tenant, req.class = "tiny", "read"
			if tinyTenantRequests++; tinyTenantRequests > 3 {
				req.want = "refused"
			}
		case i%100 == 51:
			req.class, req.deadline, req.want, reaction = "pay", 150, "failed", "hang"
		case i%10 == 5:
			reaction = reactions[i/10%len(reactions)]
			if req.class == "pay" && (reaction == "error" || reaction == "reset" || reaction == "half") {
				req.want = "failed"
			}
		}
		req.id = fmt.Sprintf("r%d-%s", i, reaction)
		requests = append(requests, req)
	}
	return requests
}

// outcome returns the outcome of a response in the terms of the protocol, or a description of an invalid response. id
// is the ID of the request.
func outcome(resp *http.Response, body, id string) string {
	switch status := resp.StatusCode; {
	case status == 200 && body == "done "+id:
		return "served"
	case status == 200:
		return "served with an unexpected body"
	case status == 429 || status == 503:
		if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait < 1 {
			return "refused without a valid Retry-After"
		}
		return "refused"
	case status == 409:
		return "conflict"
	case status >= 400 && status < 500:
		return "malformed"
	}
	return "failed"
}

// run sends the script to addr, and returns the outcome of each request by index. It closes drain when half of the
// script has been sent.
func (c *scriptedCluster) run(addr string, drain chan<- struct{}) map[int]string {
	requests, outcomes := script(), make(map[int]string)
	var clients sync.WaitGroup
	var mu sync.Mutex
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: scriptClients}}
	defer client.CloseIdleConnections()
	for first := range scriptClients {
		clients.Go(func() {
			for i := first; i < len(requests); i += scriptClients {
				if i == scriptLength/2 {
					close(drain)
				}
				got := c.send(client, addr, requests[i])
				mu.Lock()
				outcomes[i] = got
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return outcomes
}

// send sends a request to addr, and returns its outcome.
func (c *scriptedCluster) send(client *http.Client, addr string, scripted scriptedRequest) string {
	method, body := "POST", "sum"
	if scripted.class == "read" {
		method, body = "GET", ""
	}
	req := clientRequest(c.t, addr, method, scripted.class, scripted.id, body,
		"X-Tenant", scripted.tenant, "X-Deadline-Ms", strconv.Itoa(scripted.deadline))
	resp, err := client.Do(req)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "no answer"
	}
	return outcome(resp, string(raw), scripted.id)
}

// TestScript_SameOutcomesOnAllBuilds checks that the same 2,000 requests have the same outcomes on all builds. The
// servers fail, respond slowly, reset connections or drain. No booking may run twice, and no attempt may go to a
// draining server after the grace.
func TestScript_SameOutcomesOnAllBuilds(t *testing.T) {
	results := make([]map[int]string, len(builds))
	t.Run("builds", func(t *testing.T) {
		for n, b := range builds {
			t.Run(b.name, func(t *testing.T) {
				t.Parallel()
				results[n] = testScript(t, b)
			})
		}
	})
	for n := 1; n < len(builds); n++ {
		for i := range scriptLength {
			if results[n][i] != results[0][i] {
				t.Errorf("request %d: outcome %s on %s, but %s on %s",
					i, results[n][i], builds[n].name, results[0][i], builds[0].name)
			}
		}
	}
	counts := make(map[string]int)
	for _, outcome := range results[0] {
		counts[outcome]++
	}
	table, _ := json.Marshal(counts) // encoding a map of strings to integers cannot fail
	t.Logf("outcomes of %d requests on each build: %s", scriptLength, table)
}

// testScript sends the script through a build, checks the outcomes and returns them.
func testScript(t *testing.T, b build) map[int]string {
	t.Helper()
	testkit.LogPausesOnFailure(t)
	cluster, drain := newScriptedCluster(t), make(chan struct{})
	config := testConfig(t, knownList(cluster.addrs...))
	config.Discovery = cluster.discovery(drain)
	config.Settings.Tenants[0].Quota = 1e6
	addr, _ := b.start(t, config)
	outcomes := cluster.run(addr, drain)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for i, req := range script() {
		if got := outcomes[i]; got != req.want {
			t.Errorf("request %d, ID %s, class %s: outcome %s, want %s; %d attempts, %d executions",
				i, req.id, req.class, got, req.want, cluster.attempts[req.id], cluster.executions[req.id])
		}
		if n := cluster.executions[req.id]; req.class == "pay" && n > 1 {
			t.Errorf("booking %s ran %d times", req.id, n)
		}
	}
	if cluster.drainedAt.IsZero() || cluster.attemptsAfterGrace > 0 {
		t.Errorf("the last server was drained at %v and got %d attempts after the grace, want none",
			cluster.drainedAt, cluster.attemptsAfterGrace)
	}
	return outcomes
}
