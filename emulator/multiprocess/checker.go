package multiprocess

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cobaltward/drain"
)

// effectKind is a kind of effect on a node.
type effectKind string

const (
	effectDrain       effectKind = "drain"
	effectResume      effectKind = "resume"
	effectPatchBegin  effectKind = "patch begin"
	effectPatchCommit effectKind = "patch commit"
)

// effect is one drain, resume or patch of a node. The node's stand-in or the patch command reported the effect.
type effect struct {
	at    time.Duration
	node  string
	kind  effectKind
	token uint64
	key   string // idempotency key; set for patches only
}

func (e effect) String() string {
	return fmt.Sprintf("%8.3fs %s %s token %d %s", e.at.Seconds(), e.node, e.kind, e.token, e.key)
}

// effectChecker records the effects that the admin APIs of the node stand-ins and the patch commands report. It
// checks four invariants. A node never sees an older fencing token after a newer token. As many nodes stay available
// as the script requires. Only drained nodes are patched. Each patch is applied once.
type effectChecker struct {
	harness  *Harness
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	effects    []effect
	nodes      map[string]*nodeStandIn
	patches    map[string]int // number of times each patch was applied, by idempotency key
	violations []string
}

func newEffectChecker(h *Harness) (*effectChecker, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for reports of effects: %w", err)
	}
	checker := &effectChecker{
		harness: h, listener: listener, nodes: make(map[string]*nodeStandIn), patches: make(map[string]int),
	}
	mux := http.NewServeMux()
	for path, handle := range map[string]func(*http.Request) (status int){
		patchBeginPath:  checker.handleBegin,
		patchApplyPath:  checker.handleApply,
		patchCommitPath: checker.handleCommit,
		patchVerifyPath: checker.handleVerify,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(handle(r)) })
	}
	checker.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = checker.server.Serve(listener) }() // returns after close
	return checker, nil
}

func (c *effectChecker) close() {
	_ = c.server.Close()
	for _, node := range c.nodes {
		if node.admin != nil {
			node.admin.Close()
		}
	}
}

var tokenSuffix = regexp.MustCompile(`token (\d+)$`)

// record records an effect and checks the invariants. text is the reason or the requester of the effect, followed by
// the fencing token. The caller holds the mutex.
func (c *effectChecker) record(node *nodeStandIn, kind effectKind, text, key string) {
	received := effect{at: c.harness.elapsed(), node: node.name, kind: kind, key: key}
	if match := tokenSuffix.FindStringSubmatch(text); match != nil {
		received.token, _ = strconv.ParseUint(match[1], 10, 64) // digits only; a token out of range becomes the maximum
	}
	c.effects = append(c.effects, received)
	fail := func(format string, args ...any) {
		c.violations = append(c.violations, fmt.Sprintf(format, args...)+": "+received.String())
	}
	if received.token < node.highestToken {
		fail("token order violated: the node has already seen token %d", node.highestToken)
	}
	node.highestToken = max(node.highestToken, received.token)
	switch kind {
	case effectDrain:
		node.drainActive = true
		c.checkAvailability(fail)
	case effectResume:
		node.drainActive = false
	case effectPatchBegin, effectPatchCommit:
		if node.finishDrain(); node.admin != nil && node.state != drain.Drained {
			fail("a node is patched while not drained (%v)", node.state)
		}
		if kind == effectPatchCommit {
			c.patches[key]++
			if times := c.patches[key]; times > 1 {
				fail("a patch was applied %d times", times)
			}
		}
	}
}

// checkAvailability checks that no more nodes are drained, and no fewer nodes serve, than the script allows. The
// caller holds the mutex.
func (c *effectChecker) checkAvailability(fail func(format string, args ...any)) {
	script, drained := c.harness.script, 0
	for _, node := range c.nodes {
		if node.drainActive {
			drained++
		}
	}
	if drained > script.MaxUnavailable {
		fail("%d nodes are drained, but at most %d may be", drained, script.MaxUnavailable)
	}
	if serving := len(c.nodes) - drained; float64(serving) < script.MinCapacity {
		fail("%d nodes serve, but at least %.0f must", serving, script.MinCapacity)
	}
}

// recordReport records the effect that a patch command reports. It returns the HTTP status of the response.
func (c *effectChecker) recordReport(r *http.Request, kind effectKind) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node := c.nodes[r.FormValue("node")]
	if node == nil {
		return http.StatusBadRequest
	}
	c.record(node, kind, "token "+r.FormValue("token"), r.FormValue("key"))
	return http.StatusOK
}

func (c *effectChecker) handleBegin(r *http.Request) (status int) {
	if traffic := c.harness.traffic; traffic != nil && !traffic.isDrained(r.FormValue("node")) {
		c.harness.fail(r.FormValue("node") + " is patched while not drained")
	}
	return c.recordReport(r, effectPatchBegin)
}

// handleApply restarts the node of the request if the nodes are real processes. Otherwise it does nothing.
func (c *effectChecker) handleApply(r *http.Request) (status int) {
	if traffic := c.harness.traffic; traffic != nil {
		if err := traffic.restartNode(r.FormValue("node")); err != nil {
			c.harness.fail(err.Error())
		}
	}
	return http.StatusOK
}

func (c *effectChecker) handleCommit(r *http.Request) (status int) {
	return c.recordReport(r, effectPatchCommit)
}

// handleVerify returns 200 if the patch with the request's key was applied, and 404 otherwise.
func (c *effectChecker) handleVerify(r *http.Request) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.patches[r.FormValue("key")] > 0 {
		return http.StatusOK
	}
	return http.StatusNotFound
}

// patchedNodeCount returns the number of nodes that a job has patched.
func (c *effectChecker) patchedNodeCount(job string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, times := range c.patches {
		if times > 0 && strings.HasPrefix(key, job+"/") && strings.HasSuffix(key, "/patch") {
			count++
		}
	}
	return count
}

// countNodesDisabling returns the number of nodes at which a server is disabled.
func (c *effectChecker) countNodesDisabling(server string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range c.nodes {
		if node.disabledServers[server] {
			count++
		}
	}
	return count
}

func (c *effectChecker) recordedEffects() []effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.effects)
}

// addTo adds the violations and the counts to result. An effect is counted as late if its token is older than the
// token of an effect recorded before. A late effect breaks no invariant if the earlier effect was at another node.
func (c *effectChecker) addTo(result *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result.Violations, result.Effects = slices.Clone(c.violations), len(c.effects)
	highest := uint64(0)
	tokens := make(map[uint64]bool)
	for _, received := range c.effects {
		if received.token < highest {
			result.LateEffects++
		}
		highest = max(highest, received.token)
		tokens[received.token] = true
	}
	result.Tokens = len(tokens)
	for _, times := range c.patches {
		result.Patches += times
	}
}
