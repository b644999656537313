package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// watchTimeout is the time for which a registry on the node's own machine may hold a call while nothing changes.
	// It is short because a registry that no longer answers must be noticed soon.
	watchTimeout = 5 * time.Second
	// responseGrace is the time after watchTimeout at which an unanswered call is given up and repeated. From 2 s
	// after the end of a watch, the site expects the node to respect all drains, even drains that the node has not
	// received. The repeated call needs part of these 2 s.
	responseGrace = time.Second
	// sharedWatchTimeout is the maximum time for which a registry that serves all nodes may hold a call. Each call
	// uses a random time between half of sharedWatchTimeout and all of it. With a fixed time, nodes that start together
	// would keep calling at the same moments and overload the registry.
	sharedWatchTimeout = 20 * time.Second
	// sharedResponseGrace is the maximum time to wait for the complete list from a registry that serves all nodes.
	// Such a registry handles calls one after the other, and an abandoned call costs as much as an answered call. An
	// unanswered call misses changes. The site expects a node to know these changes 6 s after the start of the call,
	// so the next call follows without a pause.
	sharedResponseGrace = 5 * time.Second

	maxListSize = 8 << 20 // maximum size of a response, in bytes
	watchPath   = "/registry/instances"
)

// errWatchTimeout is returned for a call that timed out without an answer. The registry may still be up.
var errWatchTimeout = errors.New("the watch timed out without an answer")

// call describes one call to the registry.
type call struct {
	wait  time.Duration // maximum time for which the registry may hold the call; 0: it must answer immediately
	grace time.Duration // maximum time to wait for the answer after wait has passed
	query url.Values
}

// nextCall returns a call for the complete list or for the changes since the current revision.
func (s *Source) nextCall() call {
	next := call{wait: watchTimeout, grace: responseGrace, query: url.Values{}}
	if s.subscribe {
		next.wait = sharedWatchTimeout/2 + rand.N(sharedWatchTimeout/2)
	}
	if s.fullRequested {
		next.wait = 0
		if s.subscribe {
			next.grace = sharedResponseGrace
		}
		return next
	}
	next.query.Set("index", strconv.FormatInt(s.revision, 10))
	next.query.Set("wait", strconv.FormatInt(next.wait.Milliseconds(), 10))
	return next
}

// watch makes one call and returns the list in the answer. It returns errWatchTimeout if the call times out, except for
// a call that an agent's registry must answer immediately. The timeout of such a call is an ordinary failure.
func (s *Source) watch(ctx context.Context) (List, error) {
	next := s.nextCall()
	callCtx, cancel := context.WithTimeout(ctx, next.wait+next.grace)
	defer cancel()
	list, err := s.get(callCtx, next.query)
	timedOut := err != nil && callCtx.Err() != nil && ctx.Err() == nil
	if timedOut && (next.wait > 0 || s.subscribe) {
		return List{}, errWatchTimeout
	}
	return list, err
}

// get makes one HTTP request and parses the list in its response.
func (s *Source) get(ctx context.Context, query url.Values) (List, error) {
	target := url.URL{Scheme: "http", Host: s.addr, Path: watchPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return List{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = response.Body.Close() }() // closing a response that was only read cannot lose data
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("registry answered %s", response.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxListSize+1))
	if err != nil {
		return List{}, err
	}
	if len(raw) > maxListSize {
		return List{}, fmt.Errorf("the list is larger than %d bytes", maxListSize)
	}
	list, err := ParseList(raw)
	if err != nil {
		return List{}, fmt.Errorf("malformed list: %w", err)
	}
	if s.fullRequested && !list.Full {
		return List{}, errors.New("requested the complete list, got only changes")
	}
	return list, nil
}
