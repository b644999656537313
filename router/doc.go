// Package router is the request-routing engine of wayhold, usable as a library. It accepts requests,
// asks a policy.Balancer what to do with each, makes the attempts that the balancer orders, and gives
// every accepted request exactly one final answer before its deadline.
//
// A Router has three ports. Callers submit requests with Do (package middleware does so for net/http).
// A Transport makes one attempt at one server and reports how it ended as a policy.Code (package
// transport/http1 speaks HTTP/1.1). An EndpointSource reports the servers (package discovery/registry
// polls wayhold's own discovery; StaticEndpoints holds a fixed list). Data flows one way: caller, engine,
// balancer, engine, transport; and endpoint source, engine.
//
// One goroutine, the event loop, owns the balancer, the open requests and the timers. Everything else
// sends it typed events. The package knows no HTTP, opens no listener and touches no process state: no
// signals, no globals, no default logger. Routers in one process share nothing.
//
// # Guarantees
//
// Every request that Do accepts gets one answer before its deadline. A request of a non-idempotent class
// is retried only when every earlier attempt is known not to have run. A request ID counts as used for at
// least 10 s, also across reloads. No new attempt is sent to a server once the router has handled the
// update that it is draining; an attempt decided on before, and not written by half of the drain grace,
// is not written at all. Where the host keeps the router from running, these times count from when it
// runs again; Stats.Lag shows the delay.
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
