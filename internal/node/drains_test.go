package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"cobaltward/drain"
)

// drainScript drains a node under load repeatedly. A seeded random generator decides how.
type drainScript struct {
	*testNode
	rng      *rand.Rand
	stop     context.CancelFunc
	ended    chan error
	outcomes map[string]int
}

// sleep sleeps for a random time of at least minMillis and less than endMillis milliseconds.
func (s *drainScript) sleep(minMillis, endMillis int) {
	time.Sleep(time.Duration(minMillis+s.rng.IntN(endMillis-minMillis)) * ms)
}

// run performs one drain or standby. It may disable a server before that.
func (s *drainScript) run(number int) {
	s.t.Helper()
	s.sleep(20, 200)
	s.failingServer.Store(int64(s.rng.IntN(8))) // 0 and from 5 on: no server fails
	if s.rng.IntN(3) == 0 {
		s.disableServer()
	}
	if s.rng.IntN(3) == 0 {
		s.standbyAndBack()
		return
	}
	s.startDrain(number)
	s.sleep(0, 700)
	s.checkOpenRequests()
	outcome := s.intervene()
	if outcome != "cancelled" {
		outcome = s.restart(number, outcome)
	}
	s.outcomes[outcome]++
}

// disableServer disables a random server and may enable it again at once.
func (s *drainScript) disableServer() {
	s.t.Helper()
	path := "/servers/" + s.initialList.Endpoints[s.rng.IntN(4)].ID + "/drain"
	s.callAdmin(http.MethodPost, path, nil)
	s.t.Cleanup(func() { s.callAdmin(http.MethodDelete, path, nil) })
	if s.rng.IntN(2) == 0 {
		s.callAdmin(http.MethodDelete, path, nil)
	}
}

// standbyAndBack starts a drain through the operations endpoint. It cancels the drain after a random time, in any
// state.
func (s *drainScript) standbyAndBack() {
	s.t.Helper()
	if code := s.callOperations("/standby"); code != http.StatusOK {
		s.t.Errorf("standby: got status %d", code)
	}
	s.sleep(0, 2000)
	outcome := "standby and back from " + s.drainState()
	if code := s.callOperations("/active"); code != http.StatusOK || !s.isReady() {
		s.t.Errorf("%s: status %d, or the node is not ready", outcome, code)
	}
	s.outcomes[outcome]++
}

// startDrain starts a drain through the admin API and checks that a second order is rejected.
func (s *drainScript) startDrain(number int) {
	s.t.Helper()
	request := DrainRequest{
		Timeout: []string{"400ms", "1s", "3s"}[s.rng.IntN(3)], RequestedBy: "a", Reason: fmt.Sprint(number),
	}
	code, status := s.callAdmin(http.MethodPost, "/drain", request)
	if code != http.StatusAccepted || status.Drain.State == drain.Serving {
		s.t.Fatalf("drain %d: got status %d, %+v", number, code, status)
	}
	code, _ = s.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "300ms", RequestedBy: "b"})
	if code != http.StatusConflict {
		s.t.Errorf("a second order during a drain: got status %d", code)
	}
}

// checkOpenRequests checks that the node counts at most as many open requests as the clients may have sent.
func (s *drainScript) checkOpenRequests() {
	s.t.Helper()
	const clients = 24 // one request of each client may begin or end during the call
	before := s.inFlight.Load()
	code, status := s.callAdmin(http.MethodGet, "/status", nil)
	if code != http.StatusOK {
		return
	}
	if limit := max(before, s.inFlight.Load()) + clients; int64(status.Requests.Open) > limit {
		s.t.Errorf("the node counts %d open requests, the clients have sent at most %d", status.Requests.Open, limit)
	}
}

// intervene cancels the drain, shortens it, stops the node as SIGTERM does, or does nothing.
func (s *drainScript) intervene() (outcome string) {
	s.t.Helper()
	switch s.rng.IntN(4) {
	case 0:
		return s.cancelDrain()
	case 1:
		s.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "50ms", RequestedBy: "b", Force: true})
		return "shortened"
	case 2:
		s.stop()
		return "SIGTERM"
	default:
		return "left alone"
	}
}

func (s *drainScript) cancelDrain() (outcome string) {
	s.t.Helper()
	code, status := s.callAdmin(http.MethodDelete, "/drain", DrainRequest{RequestedBy: "a"})
	if code == http.StatusConflict {
		return "too late to cancel"
	}
	if code != http.StatusOK || status.Drain.State != drain.Serving {
		s.t.Errorf("cancel: got status %d, %+v", code, status.Drain)
		return "cancelled"
	}
	resp, err := http.Get("http://" + s.addr + readyPath)
	if err != nil {
		s.t.Errorf("not ready at once after a cancel: %v", err)
		return "cancelled"
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Errorf("not ready at once after a cancel: status %d", resp.StatusCode)
	}
	return "cancelled"
}

// restart waits for the end of the drain, unless the node is already shutting down. Then it starts the node again.
func (s *drainScript) restart(number int, outcome string) string {
	s.t.Helper()
	if outcome != "SIGTERM" {
		outcome += ", " + s.awaitDrainEnd().String()
	}
	s.stop()
	if err := <-s.ended; err != nil {
		s.t.Fatalf("drain %d, %s: the node ended: %v", number, outcome, err)
	}
	s.stop, s.ended = s.start()
	return outcome
}

func (s *drainScript) awaitDrainEnd() drain.State {
	s.t.Helper()
	for {
		if state := s.status().Drain.State; state.Done() {
			return state
		}
		time.Sleep(10 * ms)
	}
}

// TestDrainsUnderLoad checks that no request is lost, answered twice or executed twice if the node drains under load.
// Cancellations, shortened deadlines and SIGTERM come at random moments, while servers fail or are disabled. The
// admin API must not count more open requests than the clients. DRAINS=300 gives the long run.
func TestDrainsUnderLoad(t *testing.T) {
	drains := 12
	if n, err := strconv.Atoi(os.Getenv("DRAINS")); err == nil {
		drains = n
	}
	script := &drainScript{
		testNode: newTestNode(t, 4),
		rng:      rand.New(rand.NewPCG(11, 12)),
		outcomes: make(map[string]int),
	}
	script.stop, script.ended = script.start()
	ctx, stopClients := context.WithCancel(t.Context())
	defer stopClients()
	clients := script.startClients(ctx, 24)
	for number := range drains {
		script.run(number)
	}
	script.sleep(200, 400)
	stopClients()
	clients.Wait()
	script.stop()
	if err := <-script.ended; err != nil {
		t.Error(err)
	}
	script.checkResults(drains)
}

func (s *drainScript) checkResults(drains int) {
	s.t.Helper()
	s.mu.Lock()
	verdict := s.checker.Finish()
	s.mu.Unlock()
	s.t.Logf("%d drains: %v; %d served, %d rejected, %d failed, %d retried after a close, %d unanswered; checks %v",
		drains, s.outcomes, s.served.Load(), s.rejected.Load(), s.failed.Load(), s.retriedAfterClose.Load(),
		s.unanswered.Load(), verdict.Checked)
	if !verdict.Passed() {
		s.t.Errorf("violations: %v %+v", verdict.Count, verdict.Violations[:min(5, len(verdict.Violations))])
	}
	if s.served.Load() == 0 || s.conflicts.Load() > 0 {
		s.t.Errorf("%d served, %d conflicts", s.served.Load(), s.conflicts.Load())
	}
}
