// Package router is the request-routing engine of wayhold, usable as a library. It accepts requests, asks a
// policy.Balancer what to do with each request, and makes the attempts that the balancer orders. Every accepted
// request gets exactly one final answer before its deadline.
//
// A Router has three interfaces to its surroundings. Callers submit requests with Do; package middleware calls Do for
// net/http. A Transport makes one attempt at one server and reports the outcome as a policy.Code; package
// transport/http1 implements HTTP/1.1. An EndpointSource reports the servers; package discovery/registry polls
// wayhold's own discovery service, and StaticEndpoints holds a fixed list.
//
// One goroutine, the event loop, owns the balancer, the open requests and the timers. All other goroutines send it
// typed events. The package does not depend on HTTP, opens no listener and uses no process-wide state: no signals, no
// global variables, no default logger. Routers in one process share nothing.
//
// # Guarantees
//
// Every request that Do accepts gets one answer before its deadline.
//
// A request of a non-idempotent class is retried only when every earlier attempt is known not to have run.
//
// A request ID counts as used for at least 10 s, also across reloads, unless 32,768 other IDs arrive in that time.
//
// Once the router has handled the update that a server is draining, it sends no new attempt to that server. An
// earlier attempt that is still unwritten after half of the drain grace is never written.
//
// If the host pauses the process, these times count from the end of the pause. Stats.Lag shows the delay.
//
// # Where to read
//
//   - do.go: submission of requests and the wait for their answers
//   - loop.go, event.go: the event loop and its events
//   - admission.go: admission of requests
//   - action.go, attempt.go: the balancer's actions and the attempts
//   - reply.go: answers to requests
//   - endpoint_update.go: changes of the endpoint list
//   - drain.go, drain_run.go: graceful shutdown
package router
