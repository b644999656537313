package router_test

import (
	"context"
	"fmt"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// echo is a transport that answers in the server's place; package transport/http1 has the real one.
type echo struct{}

func (echo) Attempt(_ context.Context, server string, r *router.Request) router.Result {
	return router.Result{Code: policy.OK, Answer: router.Answer{Body: []byte(server + " did " + r.Target)}}
}

func (echo) Configure(policy.Settings)    {}
func (echo) Update(router.EndpointUpdate) {}
func (echo) CloseIdle(string)             {}
func (echo) Close()                       {}

// A router from its start to its end.
func Example() {
	r, err := router.New(router.Config{
		Settings: policy.Settings{
			Nodes:        1,
			Classes:      []policy.Class{{Name: "booking", LatencyObjective: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond}},
			Tenants:      []policy.Tenant{{Name: "stol-nitra", Quota: 50}},
			Capabilities: policy.Capabilities{MaxAttempts: 3, RetryAfter: true},
			Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
		},
		Endpoints: []router.Endpoint{{ID: "one", Addr: "10.0.0.1:9000", Weight: 1}},
	}, router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()
	a, err := r.Do(context.Background(), router.Request{ID: "r1", Class: "booking", Tenant: "stol-nitra", Target: "/rooms/7"})
	if err != nil {
		fmt.Println(err) // it was not taken, or the caller's context has ended
		return
	}
	fmt.Println(a.Outcome, string(a.Body))

	// The same id again is somebody's retry: it does not run a second time.
	a, _ = r.Do(context.Background(), router.Request{ID: "r1", Class: "booking", Tenant: "stol-nitra", Target: "/rooms/7"})
	fmt.Println(a.Outcome)
	// Output:
	// served one did /rooms/7
	// conflict
}

// What is not taken is an error that names the field.
func ExampleRouter_Do_invalid() {
	r, err := router.New(router.Config{Settings: policy.Settings{
		Nodes:   1,
		Classes: []policy.Class{{Name: "booking", Deadline: time.Second}},
	}}, router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()
	_, err = r.Do(context.Background(), router.Request{ID: "r1", Class: "boking"})
	fmt.Println(err)
	// Output:
	// router: request: Class: unknown
}

// A reload that makes no sense changes nothing.
func ExampleRouter_Reload() {
	c := router.Config{Settings: policy.Settings{Nodes: 1, Classes: []policy.Class{{Name: "booking", Deadline: time.Second}}}}
	r, err := router.New(c, router.WithTransport(echo{}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()
	c.Settings.Classes = []policy.Class{{Name: "booking", Deadline: -time.Second}}
	fmt.Println(r.Reload(c))
	c.Settings.Classes = []policy.Class{{Name: "booking", Deadline: 2 * time.Second}}
	fmt.Println(r.Reload(c))
	class, _ := r.Class("booking")
	fmt.Println(class.Deadline)
	// Output:
	// router: reload: Settings: class "booking": deadline: missing or negative
	// <nil>
	// 2s
}
