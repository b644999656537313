package router_test

import (
	"context"
	"fmt"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// echo is a transport that answers in place of the server. Package transport/http1 has a real transport.
type echo struct{}

func (echo) Attempt(_ context.Context, server string, r *router.Request) router.Result {
	return router.Result{Code: policy.OK, Answer: router.Answer{Body: []byte(server + " did " + r.Target)}}
}

func (echo) Configure(policy.Settings)    {}
func (echo) Update(router.EndpointUpdate) {}
func (echo) CloseIdle(string)             {}
func (echo) Close()                       {}

// bookingConfig returns a configuration with one class and no servers.
func bookingConfig() router.Config {
	return router.Config{Settings: policy.Settings{
		Nodes:   1,
		Classes: []policy.Class{{Name: "booking", Deadline: time.Second}},
	}}
}

// closeRouter closes a router at the end of an example.
func closeRouter(r *router.Router) {
	if err := r.Close(); err != nil {
		fmt.Println(err)
	}
}

// This example starts a router, routes a request and a duplicate of it, and closes the router.
func Example() {
	config := router.Config{
		Settings: policy.Settings{
			Nodes: 1,
			Classes: []policy.Class{{
				Name:             "booking",
				LatencyObjective: 500 * time.Millisecond,
				Deadline:         1500 * time.Millisecond,
			}},
			Tenants:      []policy.Tenant{{Name: "stol-nitra", Quota: 50}},
			Capabilities: policy.Capabilities{MaxAttempts: 3, RetryAfter: true},
			Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
		},
		Endpoints: []router.Endpoint{{ID: "one", Addr: "10.0.0.1:9000", Weight: 1}},
	}
	r, err := router.New(config, router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer closeRouter(r)
	request := router.Request{ID: "r1", Class: "booking", Tenant: "stol-nitra", Target: "/rooms/7"}
	answer, err := r.Do(context.Background(), request)
	if err != nil {
		fmt.Println(err) // the request was not accepted, or the context has ended
		return
	}
	fmt.Println(answer.Outcome, string(answer.Body))

	// A second request with the same ID is a duplicate: it does not run.
	answer, err = r.Do(context.Background(), request)
	fmt.Println(answer.Outcome, err)
	// Output:
	// served one did /rooms/7
	// conflict <nil>
}

// The error names the field of an invalid request.
func ExampleRouter_Do_invalid() {
	r, err := router.New(bookingConfig(), router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer closeRouter(r)
	_, err = r.Do(context.Background(), router.Request{ID: "r1", Class: "boking"})
	fmt.Println(err)
	// Output:
	// router: request: Class: unknown
}

// A reload of an invalid configuration changes nothing.
func ExampleRouter_Reload() {
	config := bookingConfig()
	r, err := router.New(config, router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer closeRouter(r)
	config.Settings.Classes = []policy.Class{{Name: "booking", Deadline: -time.Second}}
	fmt.Println(r.Reload(config))
	config.Settings.Classes = []policy.Class{{Name: "booking", Deadline: 2 * time.Second}}
	fmt.Println(r.Reload(config))
	class, _ := r.Class("booking")
	fmt.Println(class.Deadline)
	// Output:
	// router: reload: Settings: class "booking": deadline: missing or negative
	// <nil>
	// 2s
}
