package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/internal/standalone"

	"github.com/spf13/cobra"
)

const defaultPeer = "192.0.2.1" // address in a range reserved for documentation

// routeCommand returns the parent of the commands that inspect routes.
func routeCommand(configPath *string) *cobra.Command {
	command := &cobra.Command{Use: "route", Short: "Inspect the routes of a configuration"}
	command.AddCommand(explainCommand(configPath))
	return command
}

// explainCommand returns the command that shows how a request is routed.
func explainCommand(configPath *string) *cobra.Command {
	var headers []string
	var peer, path string
	command := &cobra.Command{
		Use:   "explain METHOD URL",
		Short: "Print the route, class and tenant of a request, and the line that decides",
		Args:  cobra.ExactArgs(2),
		RunE: func(explain *cobra.Command, args []string) error {
			if path == "" {
				path = *configPath
			}
			file, err := standalone.Load(path)
			if err != nil {
				return err
			}
			if !file.Standalone() {
				return errors.New("route explain: --config or --file must name a configuration with a listener")
			}
			request, err := parseRequest(args[0], args[1], peer, headers)
			if err != nil {
				return err
			}
			return explainRequest(explain.OutOrStdout(), file, request)
		},
	}
	flags := command.Flags()
	flags.StringArrayVarP(&headers, "header", "H", nil,
		"a header of the request, as in \"Name: value\"; may be given again")
	flags.StringVar(&peer, "from", defaultPeer, "the address of the connection")
	flags.StringVar(&path, "file", "", "the configuration, in place of --config")
	return command
}

// explainedRequest is the request on the command line whose routing is explained.
type explainedRequest struct {
	method string
	url    *url.URL
	peer   netip.Addr
	header http.Header
}

func parseRequest(method, target, peer string, headers []string) (explainedRequest, error) {
	request := explainedRequest{method: strings.ToUpper(method), header: make(http.Header)}
	var err error
	if request.url, err = url.Parse(target); err != nil {
		return request, fmt.Errorf("route explain: %w", err)
	}
	if request.peer, err = netip.ParseAddr(peer); err != nil {
		return request, fmt.Errorf("--from: %w", err)
	}
	for _, header := range headers {
		name, value, ok := strings.Cut(header, ":")
		if !ok {
			return request, fmt.Errorf("--header: want NAME: VALUE, got %q", header)
		}
		request.header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return request, nil
}

// explainRequest prints the tenant, client and route of a request, or the reason for its rejection.
func explainRequest(out io.Writer, file *standalone.File, request explainedRequest) error {
	routeTable, err := file.RouteTable()
	if err != nil {
		return err
	}
	finder, err := file.IdentityResolver()
	if err != nil {
		return err
	}
	path := request.url.EscapedPath()
	if path == "" {
		path = "/"
	}
	table := newTable(out)
	if err := routes.CheckPath(path); err != nil {
		table.printf("path\t%s\trejected with 400: %v\n", path, err)
		return table.flush()
	}
	found := finder.Resolve(&identity.Request{Peer: request.peer, Header: request.header})
	tenant := found.Tenant
	if found.Layer >= 0 {
		table.printf("tenant\t%s\tby layer %d, %v\n", tenant, found.Layer+1, found.Kind)
	} else {
		tenant = identity.SharedTenant
		table.printf("tenant\tanonymous\tby its address, %s\n", found.Network)
	}
	table.printf("client\t%s\t\n", found.Client)
	index := routeTable.Match(&routes.Request{
		Host:   strings.ToLower(request.url.Hostname()),
		Method: request.method,
		Path:   path,
		Query:  request.url.RawQuery,
		Header: request.header,
		Tenant: tenant,
		Key:    request.header.Get("X-Key"),
		ID:     "explain",
	})
	if index < 0 {
		table.printf("route\tnone\trejected with 404\n")
		return table.flush()
	}
	printRoute(table, file, routeTable.Route(index), index)
	return table.flush()
}

func printRoute(table *table, file *standalone.File, route *routes.Route, index int) {
	table.printf("route\t%d\tline %d\n", index+1, route.Line)
	if route.Fraction < 1 {
		table.printf("share\t%.4g\tthis request is in it\n", route.Fraction)
	}
	for _, class := range file.Settings().Classes {
		if class.Name == route.Class {
			table.printf("class\t%s\taim %v, deadline %v, sent again: %s\n",
				class.Name, class.LatencyObjective, class.Deadline, describeRetries(class))
		}
	}
}
