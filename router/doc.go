// Package router is the engine of wayhold as a library: it takes requests, has one policy.Balancer
// decide what becomes of each, makes the attempts that the balancer orders, and gives every request
// exactly one final answer in time.
//
// A Router has three ports. Fronts hand requests in through Do (package middleware does so for
// net/http). A Transport makes one attempt at one server and says how it ended, in policy.Codes
// (package transport/http1 speaks the protocol's HTTP/1.1). A Membership tells of the servers (package
// discovery/registry asks wayhold's own discovery; Static holds a fixed list). Data flows one way:
// front, engine, module, engine, transport; and membership, engine.
//
// One goroutine owns the module, the open requests and the timers. The package knows no HTTP, opens
// no listener and touches nothing of the process: no signals, no globals, no default logger. Routers
// in one process share nothing.
//
// # What holds
//
// Every request that Do takes gets one answer before its time is over. A request of a class that must
// never run twice is attempted again only when every earlier attempt is known not to have run. An id
// counts as used for 10 s at least, over reloads too. Nothing new goes to a server from the moment
// that the router handles the news that it drains; what was decided before and is not yet written by
// half of the grace is not written at all. Where the host keeps the router from running, these times
// count from when it runs again; Stats shows the lag.
package router
