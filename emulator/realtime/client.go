package realtime

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
)

// generateLoad sends the requests of the plan at their scheduled times, independently of the outcomes of earlier
// requests. It returns after the last outcome.
func (r *rehearsal) generateLoad(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	arrivals := r.plan.Arrivals()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next, ok := arrivals.Next()
		if !ok {
			return
		}
		if d := time.Until(r.observer.startedAt.Add(next.At)); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		lag := r.now() - next.At
		r.sentCount++
		if lag > lateThreshold {
			r.lateCount++
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.observer.invalidate("more than " + strconv.Itoa(maxInFlight) + " requests were in flight")
			return
		}
		request := &request{Request: next, work: r.plan.Work(&next)}
		r.observer.requestArrived(request, lag)
		clients.Go(func() { r.runClient(ctx, request); <-r.inFlight })
	}
}

// attemptOutcome is the outcome of a client's attempt.
type attemptOutcome struct {
	status     result.Status
	mayHaveRun bool
	retryAfter time.Duration // Retry-After of a rejection; 0: none
}

// runClient sends a request and its retries until the request is answered or the client gives up.
func (r *rehearsal) runClient(ctx context.Context, request *request) {
	_, disconnectAfter := r.plan.ClientBehavior(&request.Request)
	for attempts := 1; ; attempts++ {
		outcome := r.attempt(request, attempts-1, disconnectAfter)
		disconnectAfter = 0
		if r.awaitRetry(ctx, request, attempts, outcome) {
			continue
		}
		r.observer.requestDone(request, outcome.status, attempts)
		return
	}
}

// awaitRetry waits until the client's next attempt is due. It returns false if the client doesn't retry or ctx is
// done.
func (r *rehearsal) awaitRetry(ctx context.Context, request *request, attempts int, outcome attemptOutcome) bool {
	switch outcome.status {
	case result.Rejected, result.Unreachable, result.Failed:
	default:
		return false
	}
	delay, retry := r.plan.Retry(&request.Request, attempts, plan.Outcome{
		Rejected: outcome.status == result.Rejected, MayHaveRun: outcome.mayHaveRun,
		RetryAfter: outcome.retryAfter, Elapsed: r.now() - request.At,
	})
	if !retry {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseNode returns the index of the node for an attempt. A fault may direct the first attempt to a node. Otherwise
// the balancer chooses; -1 means that all nodes are down according to the balancer.
func (r *rehearsal) chooseNode(request *request, retry int) int {
	if request.Node >= 0 && retry == 0 {
		return request.Node
	}
	r.balancerMu.Lock()
	defer r.balancerMu.Unlock()
	return r.balancer.Next(request.Zone)
}

// attempt sends a request once. retry is 0 for the first attempt. The client disconnects after the fraction
// disconnectAfter of the attempt's timeout. If disconnectAfter is 0, the client waits for the whole timeout.
func (r *rehearsal) attempt(request *request, retry int, disconnectAfter float64) attemptOutcome {
	index := r.chooseNode(request, retry)
	if index < 0 {
		return attemptOutcome{status: result.Unreachable}
	}
	n := r.nodes[index]
	addr, up, incarnation := n.state()
	if !up {
		time.Sleep(2 * r.plan.Script.Network.ClientDelay)
		return attemptOutcome{status: result.Unreachable}
	}
	id, timeout := request.AttemptID(retry), r.plan.AttemptTimeout(&request.Request, r.now()-request.At)
	ctx, cancel := context.WithTimeout(context.Background(), timeout+r.plan.Script.Rules.AnswerGrace+slack)
	if disconnectAfter > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(disconnectAfter*float64(timeout)))
	}
	defer cancel()
	httpRequest, err := r.newRequest(ctx, request, addr, retry, timeout)
	if err != nil {
		r.fail(err)
		return attemptOutcome{status: result.Failed, mayHaveRun: true}
	}
	r.observer.attemptStarted(request, id, n.spec.Name, r.now()+timeout)
	defer r.observer.attemptFinished(id)
	response, err := r.clients[index].Do(httpRequest)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		clientLeft := disconnectAfter > 0 && ctx.Err() != nil
		return r.noAnswerOutcome(request, index, id, incarnation, clientLeft)
	}
	return r.answeredOutcome(n, id, response)
}

// newRequest returns the HTTP request of an attempt to the node at addr.
func (r *rehearsal) newRequest(
	ctx context.Context, request *request, addr string, retry int, timeout time.Duration,
) (*http.Request, error) {
	class := &r.plan.Script.Classes[request.Class]
	method := http.MethodPost
	if class.Idempotency == script.Idempotent {
		method = http.MethodGet
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", nil)
	if err != nil {
		return nil, err
	}
	header := httpRequest.Header
	header.Set("X-Request-Id", request.AttemptID(retry))
	header.Set("X-Class", class.Name)
	header.Set("X-Tenant", r.plan.Script.Tenants[request.Tenant].Name)
	header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	if retry > 0 {
		header.Set("X-Retry", "1")
	}
	return httpRequest, nil
}

// noAnswerOutcome returns the outcome of an attempt without an answer. incarnation is the node's incarnation at the
// start of the attempt. left reports whether the client has disconnected.
func (r *rehearsal) noAnswerOutcome(request *request, node int, id string, incarnation int, left bool) attemptOutcome {
	n := r.nodes[node]
	_, _, currentIncarnation := n.state()
	if left || currentIncarnation != incarnation {
		r.observer.clientLeft(n.spec.Name, id)
	}
	if left || currentIncarnation == incarnation {
		// The checker reports the missing answer if the client waited for its whole timeout on a running node.
		return attemptOutcome{status: result.ClientLeft, mayHaveRun: true}
	}
	r.addNodeFaults(request, node)
	return attemptOutcome{status: result.Unreachable, mayHaveRun: true}
}

// answeredOutcome records the answer to an attempt and returns the outcome of the attempt.
func (r *rehearsal) answeredOutcome(n *node, id string, response *http.Response) attemptOutcome {
	rejected := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	r.observer.answered(n.spec.Name, id, rejected)
	switch {
	case rejected:
		outcome := attemptOutcome{status: result.Rejected}
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			outcome.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		return outcome
	case response.StatusCode == http.StatusOK:
		return attemptOutcome{status: result.Served}
	}
	return attemptOutcome{status: result.Failed, mayHaveRun: true}
}

// addNodeFaults records in the request the crash faults of a node that are active now or ended less than a second
// ago.
func (r *rehearsal) addNodeFaults(request *request, node int) {
	now := r.now()
	for i := range r.plan.Faults {
		fault := &r.plan.Faults[i]
		for _, index := range fault.Nodes {
			if fault.Kind == script.FaultNodeCrash && index == node && fault.At <= now && now < fault.End()+time.Second {
				r.observer.addFault(request, i)
			}
		}
	}
}
