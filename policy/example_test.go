package policy_test

import (
	"fmt"
	"time"

	"cobaltward/policy"
)

// The example passes settings, the endpoint list, a request with its outcomes, and timers to a Balancer. A Balancer
// holds no resources, so it needs no Close.
func Example() {
	const ms = time.Millisecond
	b, err := policy.New(policy.Settings{
		Nodes: 1,
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 200 * ms, Deadline: time.Second, Idempotency: policy.Idempotent},
		},
		Tenants:      []policy.Tenant{{Name: "acme", Quota: 50}},
		Capabilities: policy.Capabilities{MaxAttempts: 2},
	}, 0, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The host carries out the actions in order. Here it only prints the actions that concern a request.
	carryOut := func(acts []policy.Action) {
		for _, a := range acts {
			switch a.Kind {
			case policy.Send:
				fmt.Println("send", a.ID, "to", a.Server, "until", a.Until)
			case policy.Reject:
				fmt.Println("reject", a.ID, "for", a.Wait)
			case policy.SetTimer: // a host passes policy.Timer{Token: a.Token} to Handle after a.Wait
			}
		}
	}
	carryOut(b.Handle(0, policy.EndpointList{Endpoints: []policy.Endpoint{{Server: "one"}, {Server: "two"}}}))
	now := time.Second
	carryOut(b.Handle(now, policy.Request{ID: "r1", Class: "read", Tenant: "acme", ExpiresIn: time.Second}))
	now += 100 * ms
	carryOut(b.Handle(now, policy.Outcome{ID: "r1", Server: "one", Code: policy.ConnectFailed, Latency: 100 * ms}))
	now += 20 * ms
	carryOut(b.Handle(now, policy.Outcome{
		ID: "r1", Attempt: 1, Server: "two", Code: policy.OK, Latency: 20 * ms, Answered: true,
	}))

	// With no server in service, a request is queued. It is rejected while its client is still waiting.
	carryOut(b.Handle(now, policy.EndpointList{Kind: policy.ListReplace}))
	carryOut(b.Handle(now, policy.Request{ID: "r2", Class: "read", Tenant: "acme", ExpiresIn: time.Second}))
	for range 6 {
		now += 20 * ms
		carryOut(b.Handle(now, policy.Timer{Token: 1}))
	}
	// Output:
	// send r1 to one until 1.2s
	// send r1 to two until 1.2s
	// reject r2 for 0s
}
