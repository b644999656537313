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
	// watchTimeout is how long a registry that runs on the node's own machine may hold a call while nothing changes. It
	// is short, so that one which has fallen silent is noticed soon.
	watchTimeout = 5 * time.Second
	// silenceTimeout is how long after watchTimeout a call counts as silent and is repeated. The site holds a node to a
	// drain from 2 s after its watch should have ended, whether or not the node heard of it, and the next call needs
	// part of that.
	silenceTimeout = time.Second
	// sharedWatchTimeout is the longest wait at a registry that serves all nodes; each call draws its own from half of
	// it on. Nodes that start together would otherwise call together for ever, and overload the registry.
	sharedWatchTimeout = 20 * time.Second
	// sharedSilenceTimeout is how long the whole list is waited for there. The registry works through calls in turn,
	// and one that is given up early has cost it as much. The site holds a node to what such a call misses from 6 s
	// after it fell silent, so that the next one follows at once.
	sharedSilenceTimeout = 5 * time.Second

	maxListSize = 8 << 20 // bytes of one answer
	watchPath   = "/registry/instances"
)

// errWatchSilent says that a call brought neither an answer nor its end.
var errWatchSilent = errors.New("the watch fell silent")

// call is one call of the registry.
type call struct {
	wait  time.Duration // that the registry may hold it; 0: it is to answer at once
	grace time.Duration // after wait
	query url.Values
}

// nextCall asks for the complete list, or for the changes after the present revision.
func (s *Source) nextCall() call {
	next := call{wait: watchTimeout, grace: silenceTimeout, query: url.Values{}}
	if s.subscribe {
		next.wait = sharedWatchTimeout/2 + rand.N(sharedWatchTimeout/2)
	}
	if s.fullRequested {
		next.wait = 0
		if s.subscribe {
			next.grace = sharedSilenceTimeout
		}
		return next
	}
	next.query.Set("index", strconv.FormatInt(s.revision, 10))
	next.query.Set("wait", strconv.FormatInt(next.wait.Milliseconds(), 10))
	return next
}

// watch makes one call. Its error is errWatchSilent where the registry may still be there and only this call has got
// no answer in time.
func (s *Source) watch(ctx context.Context) (List, error) {
	next := s.nextCall()
	callCtx, cancel := context.WithTimeout(ctx, next.wait+next.grace)
	defer cancel()
	list, err := s.get(callCtx, next.query)
	timedOut := err != nil && callCtx.Err() != nil && ctx.Err() == nil
	if timedOut && (next.wait > 0 || s.subscribe) {
		return List{}, errWatchSilent
	}
	return list, err
}

// get makes one HTTP request and reads the list that it brings.
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
	defer func() { _ = response.Body.Close() }() // it was only read
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("answered %s", response.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxListSize+1))
	if err != nil {
		return List{}, err
	}
	if len(raw) > maxListSize {
		return List{}, fmt.Errorf("the list is over %d bytes", maxListSize)
	}
	list, err := ParseList(raw)
	if err != nil {
		return List{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	if s.fullRequested && !list.Full {
		return List{}, errors.New("asked for the whole list, got a part")
	}
	return list, nil
}
