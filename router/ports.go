package router

import (
	"context"
	"time"

	"cobaltward/drops"
	"cobaltward/policy"
)

// Transport makes attempts at servers. All methods may be called at once from many goroutines; a
// transport may carry many attempts over one connection.
type Transport interface {
	// Attempt sends r once to a server that Update has named, and waits for how it ends until ctx
	// does. It never repeats by itself. Result.Code must not prove more than is known: what had its
	// last byte written may have run unless the server says otherwise. Nothing is written once ctx has
	// ended, its deadline has passed, the server has drained for half of the settings' grace, or the moment
	// has come that ctx tells by SendBy() time.Time, where it has that method and the moment is not zero, or
	// once ctx says by Abandoned() bool, where it has that, that nobody waits for it any more.
	Attempt(ctx context.Context, server string, r *Request) Result
	// Configure tells what is allowed and the names in load reports, at the start and at each reload.
	Configure(s policy.Settings)
	// Update follows the list of servers. It must not wait for anybody.
	Update(c EndpointUpdate)
	// CloseIdle drops the idle connections to a server. It must not wait for anybody.
	CloseIdle(server string)
	// Close ends what the transport holds, once the last Attempt has returned.
	Close()
}

// Result is how an attempt ended.
type Result struct {
	Code       policy.Code
	Answer     Answer    // for policy.OK
	LoadReport []float64 // load report in the order of Settings.Report; nil for none
}

// EndpointSource tells of the servers.
type EndpointSource interface {
	// Run tells what it learns until ctx ends; tell may wait while the router is busy, and returns at
	// once after its end. The router calls Run once, in a goroutine that Close waits for.
	Run(ctx context.Context, tell func(EndpointUpdate))
	// SetPolling passes on the module's wish to be kept told, where lists must be asked for. It must not wait.
	SetPolling(on bool)
}

// EndpointUpdate is news of the servers.
type EndpointUpdate struct {
	Kind      policy.ListKind
	Endpoints []Endpoint // only read by the router
	// Drops, where it is not nil, takes the place of the parts of requests that are to be dropped, by
	// pool: the router refuses them before the module is asked. It is only read.
	Drops drops.Parts
}

// Endpoint is one server.
type Endpoint struct {
	ID           string   // the same across updates, and at every node
	Addr         string   // host:port, or what else the transport takes
	Pools        []string // the clusters that it belongs to; nil where there are none
	Zone         string
	Kind         string
	Cell         int64
	Weight       float64
	Started      time.Time // when its process started; zero: long ago
	Availability policy.Availability
}

// Listener is a way in for requests. One that holds connections is told of a drain.
type Listener interface {
	// Shutdown ends the intake: answers end their connections, and it returns when nothing more can
	// come, or with an error when ctx ends.
	Shutdown(ctx context.Context) error
}

// DrainableListener is a Front whose end can be taken back, as a drain on request needs it. Its methods must not wait for
// clients.
type DrainableListener interface {
	Listener
	// StopAccepting lets nothing new in: listeners are closed, and connections without a request are ended.
	StopAccepting()
	// ResumeAccepting takes that back. An error says that nothing can be let in again.
	ResumeAccepting() error
	// Connections is the number of connections, and of those of them that have a request.
	Connections() (open, busy int)
}

// StaticEndpoints is a Membership whose list never changes by itself; Reload replaces it.
type StaticEndpoints struct{}

// Run waits for the end.
func (StaticEndpoints) Run(ctx context.Context, _ func(EndpointUpdate)) { <-ctx.Done() }

// SetPolling has nothing to ask.
func (StaticEndpoints) SetPolling(bool) {}
