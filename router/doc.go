// Package router is the request-routing engine of wayhold, usable as a library. It accepts requests,
// asks a policy.Balancer what to do with each, makes the attempts that the balancer orders, and gives
// every accepted request exactly one final answer before its deadline.
//
// A Router has three interfaces to its surroundings. Callers submit requests with Do (package middleware does so for
// net/http). A Transport makes one attempt at one server and reports how it ended as a policy.Code (package
// transport/http1 implements HTTP/1.1). An EndpointSource reports the servers (package discovery/registry polls
// wayhold's own discovery service; StaticEndpoints holds a fixed list). A request passes from the caller to the
// engine, which asks the balancer and calls the transport; endpoint updates pass from the endpoint source to the
// engine.
//
// One goroutine, the event loop, owns the balancer, the open requests and the timers. All other goroutines send it
// typed events. The package does not depend on HTTP, opens no listener and uses no process-wide state: no signals, no
// global variables, no default logger. Routers in one process share nothing.
//
// # Guarantees
//
// Every request that Do accepts gets one answer before its deadline. A request of a non-idempotent class is retried
// only when every earlier attempt is known not to have run. A request ID counts as used for at least 10 s, also
// across reloads. Once the router has handled the update that a server is draining, it sends no new attempt to that
// server; an attempt that was decided before, and is not written by half of the drain grace, is not written at all.
// If the host does not run the process for a while, these times count from when it runs again; Stats.Lag shows the
// delay.
//
// # Where to read
//
//   - do.go: how a caller's request enters the loop and waits for its answer
//   - loop.go, event.go: the event loop and its events
//   - admission.go: which requests are admitted
//   - action.go, attempt.go: the balancer's actions and the attempts
//   - reply.go: the one answer of each request
//   - endpoint_update.go: how changes of the endpoint list take effect
//   - drain.go, drain_run.go: graceful shutdown
package router
