package router

import (
	"fmt"
	"testing"
	"testing/synctest"

	"cobaltward/policy"
)

// TestEndpointUpdate_LargeUpdateInBatches checks that a large update is applied in batches, so that the update does
// not delay requests. Running servers must come before draining and removed servers.
func TestEndpointUpdate_LargeUpdateInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{attempt: serveAtOnce}
		source := &fakeSource{updates: make(chan EndpointUpdate)}
		r, _ := newTestRouter(t, transport, noActions, WithEndpointSource(source))
		var endpoints []Endpoint
		for i := range 100 {
			endpoints = append(endpoints, Endpoint{
				ID:           fmt.Sprint("n", i),
				Addr:         fmt.Sprint("10.0.0.1:", i+1),
				Availability: policy.Availability(i % 3),
			})
		}
		source.updates <- EndpointUpdate{Kind: policy.ListUpdate, Endpoints: endpoints}
		synctest.Wait()
		wantBatches(t, transport.updates[1:], len(endpoints))
		counts := r.Stats().EndpointsByAvailability
		if counts[policy.Running] != 34+1 || counts[policy.Draining] != 33 {
			t.Errorf("endpoints by availability: %v, want 35 running and 33 draining", counts)
		}
	})
}

// wantBatches checks the sizes and the order of batches. The batches must contain the given number of entries
// together.
func wantBatches(t *testing.T, batches []EndpointUpdate, entries int) {
	t.Helper()
	last, n := policy.Running, 0
	for _, batch := range batches {
		if len(batch.Endpoints) > updateBatchSize {
			t.Errorf("a batch has %d entries", len(batch.Endpoints))
		}
		for _, endpoint := range batch.Endpoints {
			if endpoint.Availability < last {
				t.Errorf("%s comes after an endpoint that is draining or removed", endpoint.ID)
			}
			last = endpoint.Availability
			n++
		}
	}
	if n != entries {
		t.Errorf("%d entries, want %d", n, entries)
	}
}
