package registry

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/internal/jsonconfig"
	"cobaltward/policy"
	"cobaltward/router"
)

// List is the registry's complete list of endpoints, or the changes since an earlier revision.
type List struct {
	Revision  int64
	Full      bool // whether Endpoints is the complete list, not the changes
	Endpoints []router.Endpoint
}

// listJSON is the JSON form of List that the registry sends.
type listJSON struct {
	Revision *int64         `json:"revision"`
	Complete bool           `json:"complete"`
	Members  []endpointJSON `json:"members"`
}

// endpointJSON is the JSON form of one endpoint in a list.
type endpointJSON struct {
	ID       string   `json:"id"`
	HostPort string   `json:"host_port"`
	Locality string   `json:"locality"`
	Flavor   string   `json:"flavor"`
	Cell     *int64   `json:"cell"`
	Phase    string   `json:"phase"`
	Size     *float64 `json:"size"`
	UpSince  *float64 `json:"up_since_ms"` // 0: long ago
}

// availabilities maps the registry's phases to availabilities.
var availabilities = map[string]policy.Availability{
	"up":       policy.Running,
	"draining": policy.Draining,
	"removed":  policy.Removed,
}

// maxUpSince is the exclusive upper bound of a start time, in milliseconds since 1970. Larger numbers are not exact
// as JSON numbers.
const maxUpSince = 1 << 53

// ParseList parses a list in the registry's JSON form. One invalid entry makes the whole list invalid, because a
// skipped entry might be a drain. Errors name the invalid field.
func ParseList(raw []byte) (List, error) {
	var parsed listJSON
	if err := jsonconfig.Unmarshal(raw, &parsed); err != nil {
		return List{}, err
	}
	if parsed.Revision == nil {
		return List{}, errors.New("revision: missing")
	}
	list := List{Revision: *parsed.Revision, Full: parsed.Complete}
	for i := range parsed.Members {
		endpoint, err := parsed.Members[i].endpoint()
		if err != nil {
			return List{}, fmt.Errorf("members[%d].%w", i, err)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// endpoint validates an entry and returns it as an endpoint.
func (e *endpointJSON) endpoint() (router.Endpoint, error) {
	availability, known := availabilities[e.Phase]
	switch {
	case e.ID == "":
		return router.Endpoint{}, errors.New("id: missing")
	case !known:
		return router.Endpoint{}, fmt.Errorf("phase: unknown value %q", e.Phase)
	case e.UpSince != nil && !(*e.UpSince >= 0 && *e.UpSince < maxUpSince): // this form also rejects NaN
		return router.Endpoint{}, errors.New("up_since_ms: out of range")
	}
	if availability != policy.Removed {
		if err := jsonconfig.CheckAddress(e.HostPort); err != nil {
			return router.Endpoint{}, fmt.Errorf("host_port: %w", err)
		}
	}
	endpoint := router.Endpoint{
		ID: e.ID, Addr: e.HostPort, Zone: e.Locality, Kind: e.Flavor, Weight: 1, Availability: availability,
	}
	if e.Cell != nil {
		endpoint.Cell = policy.NewCell(*e.Cell)
	}
	switch {
	case e.UpSince == nil:
		endpoint.StartUnknown = true
	case *e.UpSince > 0:
		endpoint.Started = time.UnixMilli(int64(*e.UpSince))
	}
	if e.Size != nil {
		endpoint.Weight = *e.Size
	}
	return endpoint, nil
}
