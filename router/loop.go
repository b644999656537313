package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/dropoverload"
	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// eventBuffer is the capacity of the event queue. Callers and attempts can send events while the loop is busy.
	eventBuffer = 1024
	// lagGain is the weight of one event in the moving average of the lag.
	lagGain = 0.05
)

// loop owns the balancer, the open requests and the timers, in one goroutine. All other goroutines send events to the
// loop. The loop waits only for the next event, endpoint update or timer.
type loop struct {
	clock          clock
	log            *slog.Logger
	balancer       safeguards.Policy // a *policy.Balancer, except in tests and rehearsals
	launcher       attemptLauncher
	disabledGuards safeguards.Overrides
	config         Config
	transport      Transport
	endpointSource EndpointSource

	events          chan event
	endpointUpdates chan EndpointUpdate // handled before events: no request delays the drain of a server
	done            chan struct{}       // closed when the loop has ended
	ready           chan struct{}       // closed when the last known endpoint list is in force

	requests          map[string]*request
	ids               *idRegistry
	withheld          map[*withheldAnswer]struct{} // rejections that wait for a write in progress
	drained           atomic.Bool                  // whether admission has ended; false again if the drain is cancelled
	pendingAnswers    int                          // requests without an answer
	openRequests      atomic.Int64                 // copy of pendingAnswers for other goroutines
	timers            timerHeap
	skippedOutcomes   []policy.Outcome // outcomes of skipped attempts; reported after all actions
	attemptGoroutines sync.WaitGroup
	attemptsInFlight  int
	stats             Stats // counted by the loop; other goroutines read it only after done is closed
	counters          counters

	endpoints      map[string]endpointSummary // listed endpoints, for Stats
	starts         startTracker
	drops          dropoverload.Fractions
	endpointBuffer []policy.Endpoint // reused for small updates

	degradation        *degradation // nil: no levels of service
	levelStepScheduled bool         // whether the timer for the next step of the levels is set
}

func newLoop(config Config, opts options, clk clock) (*loop, error) {
	settings := config.Settings
	if change := opts.disabledGuards.Settings; change != nil {
		settings = change(settings)
	}
	balancer, err := policy.New(settings, clk.now(), config.Seed)
	if err != nil {
		return nil, err
	}
	eventLoop := &loop{
		clock:           clk,
		log:             opts.log,
		balancer:        balancer,
		disabledGuards:  opts.disabledGuards,
		config:          config,
		transport:       opts.transport,
		endpointSource:  opts.endpointSource,
		events:          make(chan event, eventBuffer),
		endpointUpdates: make(chan EndpointUpdate, 1),
		done:            make(chan struct{}),
		ready:           make(chan struct{}),
		requests:        make(map[string]*request),
		withheld:        make(map[*withheldAnswer]struct{}),
		ids:             newIDRegistry(clk.now),
		endpoints:       make(map[string]endpointSummary),
	}
	eventLoop.launcher = goroutineLauncher{eventLoop}
	eventLoop.counters.addClasses(config.Settings.Classes)
	if opts.levels != nil {
		if eventLoop.degradation, err = newDegradation(*opts.levels, config.Settings); err != nil {
			return nil, err
		}
	}
	if wrap := opts.disabledGuards.WrapPolicy; wrap != nil {
		eventLoop.balancer = wrap(balancer)
	}
	return eventLoop, nil
}

// enforced reports whether guard is in force. All safeguards are in force outside of tests and rehearsals.
func (l *loop) enforced(guard safeguards.Guards) bool { return l.disabledGuards.Enforces(guard) }

// send queues ev. It returns false if the loop has ended.
func (l *loop) send(ev event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// run handles events until ctx ends. It first applies the last known endpoint list, as the balancer expects. At the
// end it answers the open requests, cancels the attempts in flight and waits until these attempts have ended.
func (l *loop) run(ctx context.Context) {
	defer l.attemptGoroutines.Wait()
	defer l.cancelAllAttempts()
	defer close(l.done)
	l.begin()
	l.publishEndpointCounts()
	close(l.ready)
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for l.next(ctx, wakeup) {
		l.fireTimers()
		l.publishEndpointCounts()
	}
	l.answerOpenRequests()
	l.expireAllWithheld()
	l.stats = l.snapshot()
}

// next waits for an event, an endpoint update or the next timer, and handles an event or update. It returns false if
// ctx has ended.
func (l *loop) next(ctx context.Context, wakeup *time.Timer) bool {
	if len(l.timers) > 0 {
		wakeup.Reset(l.timers[0].due - l.clock.now())
	} else {
		wakeup.Stop()
	}
	select {
	case update := <-l.endpointUpdates:
		l.updateEndpoints(update)
	case ev := <-l.events:
		l.applyPendingUpdate()
		l.handle(ev)
	case <-wakeup.C:
		l.applyPendingUpdate()
	case <-ctx.Done():
		return false
	}
	return true
}

// begin applies the configured endpoint list and schedules the first step of the levels. It runs before any event is
// handled.
func (l *loop) begin() {
	l.updateEndpoints(EndpointUpdate{Kind: policy.ListRestored, Endpoints: l.config.Endpoints})
	if l.degradation != nil {
		l.scheduleLevelStep(l.clock.now())
	}
}

func (l *loop) handle(ev event) {
	switch ev := ev.(type) {
	case requestSubmitted:
		l.admit(ev.call)
	case clientLeft:
		l.handleClientGone(ev.call)
	case bodyReceived:
		l.completeBody(ev)
	case attemptEnded:
		l.finishAttempt(ev.attempt)
	case drainEnded:
		if !ev.run.cancelled.Load() {
			l.answerOpenRequests()
		}
	case command:
		ev.reply <- ev.run(l)
	}
}

// recordLag records a delay with which the loop handles an event or timer.
func (l *loop) recordLag(lag time.Duration) {
	lag = max(0, lag)
	l.stats.Lag.Last = lag
	l.stats.Lag.Max = max(l.stats.Lag.Max, lag)
	l.stats.Lag.Mean += time.Duration(lagGain * float64(lag-l.stats.Lag.Mean))
}
