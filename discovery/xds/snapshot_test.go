package xds

import (
	"testing"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/policy"
	"cobaltward/router"
)

// TestSnapshot_ClustersOfOneServer guards against keyed requests that run in two cells or zones: clusters that list the
// same server may leave out its attributes, contradict each other or describe an earlier process.
func TestSnapshot_ClustersOfOneServer(t *testing.T) {
	const addr = "10.0.0.1:1"
	early, late := time.UnixMilli(1_700_000_000_000), time.UnixMilli(1_700_000_060_000)
	for _, test := range []struct {
		name          string
		first, second resource.Endpoint
		want          router.Endpoint
	}{
		{
			"each tells a part",
			resource.Endpoint{Started: early},
			resource.Endpoint{Zone: "a", Kind: "k", Cell: 1},
			router.Endpoint{Zone: "a", Kind: "k", Cell: policy.NewCell(1), Started: early},
		},
		{
			"contradicting",
			resource.Endpoint{Zone: "a", Kind: "k", Cell: 1},
			resource.Endpoint{Zone: "b", Kind: "l", ZeroCell: true},
			router.Endpoint{Zone: "a", ZoneUncertain: true, Kind: "k", Cell: policy.ConflictingCell},
		},
		{
			"earlier process first",
			resource.Endpoint{Zone: "a", Kind: "k", Cell: 1, Started: early},
			resource.Endpoint{Started: late},
			router.Endpoint{Zone: "a", ZoneUncertain: true, Kind: "k", Started: late},
		},
		{
			"earlier process second",
			resource.Endpoint{Zone: "a", Cell: 1, Started: late},
			resource.Endpoint{Zone: "b", Cell: 2, Started: early},
			router.Endpoint{Zone: "a", Cell: policy.NewCell(1), Started: late},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			applied := make(map[string]ads.AppliedCluster)
			for name, endpoint := range map[string]resource.Endpoint{"one": test.first, "two": test.second} {
				endpoint.Addr, endpoint.Weight = addr, 1
				assignment := &resource.Assignment{Name: name, Overprovisioning: 1, Endpoints: []resource.Endpoint{endpoint}}
				applied[name] = ads.AppliedCluster{Assignment: assignment}
			}
			changed := newSnapshot().apply(applied)
			if len(changed) != 1 {
				t.Fatalf("changed %+v, want one server", changed)
			}
			got, want := changed[0], test.want
			if got.Zone != want.Zone || got.ZoneUncertain != want.ZoneUncertain || got.Kind != want.Kind ||
				got.Cell != want.Cell || !got.Started.Equal(want.Started) || got.StartUnknown != want.Started.IsZero() ||
				len(got.Pools) != 2 {
				t.Errorf("got %+v, want %+v in two pools", got, want)
			}
		})
	}
}
