package standalone

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"cobaltward/internal/stricttoml"
	"cobaltward/policy"
	"cobaltward/router"
)

// Server is a table [[server]], which defines an app server.
type Server struct {
	ID       string   `toml:"id"` // default: Address
	Address  string   `toml:"address" need:"1"`
	Zone     string   `toml:"zone"`
	Kind     string   `toml:"kind"`
	Cell     *int64   `toml:"cell"`               // default: unknown
	Weight   float64  `toml:"weight" min:"0.001"` // default: 1
	Pools    []string `toml:"pools"`
	Draining bool     `toml:"drain"`
}

// ServerSource configures an additional source of servers.
type ServerSource struct {
	File string `toml:"file"` // TOML file with [[server]]; read again when it changes
}

// Endpoints returns the servers in this file and in the additional file of servers, if one is configured. It returns
// an error if two servers have the same ID.
func (f *File) Endpoints() ([]router.Endpoint, error) {
	endpoints, err := toEndpoints(f.lines, f.Servers)
	if err != nil || f.ServerSource.File == "" {
		return endpoints, err
	}
	further, err := ReadServers(f.ServersPath())
	if err != nil {
		return nil, f.lines.Errorf("servers.file", "%s", err)
	}
	for _, endpoint := range further {
		if hasID(endpoints, endpoint.ID) {
			return nil, f.lines.Errorf("servers.file", "server %q is defined in this file as well", endpoint.ID)
		}
	}
	return append(endpoints, further...), nil
}

// ServersPath returns the path of the file of servers, or an empty string if no such file is configured.
func (f *File) ServersPath() string { return f.resolvePath(f.ServerSource.File) }

// ReadServers returns the servers in a file of [[server]] tables. An error in the file's contents is a single-line
// message with the file name, line number and key.
func ReadServers(path string) ([]router.Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var document struct {
		Servers []Server `toml:"server"`
	}
	lines, err := stricttoml.Decode(text, &document)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	endpoints, err := toEndpoints(lines, document.Servers)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return endpoints, nil
}

func toEndpoints(lines stricttoml.Lines, servers []Server) ([]router.Endpoint, error) {
	var endpoints []router.Endpoint
	for i, server := range servers {
		endpoint := router.Endpoint{
			ID:           cmp.Or(server.ID, server.Address),
			Addr:         server.Address,
			Zone:         server.Zone,
			Kind:         server.Kind,
			Weight:       cmp.Or(server.Weight, 1),
			Pools:        server.Pools,
			StartUnknown: true,
		}
		if server.Cell != nil {
			endpoint.Cell = policy.NewCell(*server.Cell)
		}
		if server.Draining {
			endpoint.Availability = policy.Draining
		}
		if hasID(endpoints, endpoint.ID) {
			return nil, lines.Errorf(fmt.Sprintf("server[%d]", i), "duplicate server %q", endpoint.ID)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func hasID(endpoints []router.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(endpoint router.Endpoint) bool { return endpoint.ID == id })
}
