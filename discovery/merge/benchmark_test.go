package merge

import (
	"fmt"
	"testing"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// BenchmarkSource_OneChange measures a change of one server that two sources list.
func BenchmarkSource_OneChange(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			source := New(router.StaticEndpoints{}, router.StaticEndpoints{})
			discard := func(router.EndpointUpdate) {}
			endpoints := make([]router.Endpoint, count)
			for i := range endpoints {
				addr := fmt.Sprint("10.0.0.1:", i)
				endpoints[i] = router.Endpoint{ID: fmt.Sprint("s", i), Addr: addr, Pools: []string{"rooms"}, Zone: "a"}
			}
			for i := range 2 {
				source.apply(i, router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: endpoints}, discard)
			}
			changed := endpoints[count/2]
			started := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				started = started.Add(time.Second)
				changed.Started = started
				update := router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{changed}}
				source.apply(1, update, discard)
			}
		})
	}
}
