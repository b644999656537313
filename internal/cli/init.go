package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/internal/standalone"
	"cobaltward/policy"

	"github.com/spf13/cobra"
)

// initCommand writes a configuration to begin with.
func initCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init [FILE]",
		Short: "Write a commented configuration with which a node stands alone",
		Long: `Write a commented configuration to FILE (wayhold.toml if none is named), with which "wayhold serve --config FILE"
serves two servers on loopback. A file that is there is left as it is.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := "wayhold.toml"
			if len(args) > 0 {
				path = args[0]
			}
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
			if err != nil {
				return err
			}
			_, err = f.WriteString(standalone.Example)
			if err := errors.Join(err, f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s is written; serve by it: wayhold serve --config %s\n", path, path)
			return err
		},
	}
}

// describe prints what a configuration says, in tables.
func describe(out io.Writer, f *standalone.File) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "listens on %s\n\nclass\taim\tdeadline\tmay be sent again\n", f.Listen[0].Address)
	for _, c := range f.Settings().Classes {
		fmt.Fprintf(t, "%s\t%v\t%v\t%s\n", c.Name, c.LatencyObjective, c.Deadline, repeats(c))
	}
	members, err := f.Endpoints()
	if err != nil {
		return err
	}
	fmt.Fprintf(t, "\nserver\taddress\tzone\tstate\n")
	for _, m := range members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.ID, m.Addr, m.Zone, [...]string{"running", "draining", "removed"}[m.Availability])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return describeLevels(out, f, f.Settings().Classes)
}

// describeLevels prints the ladder of levels as a table.
func describeLevels(out io.Writer, f *standalone.File, classes []policy.Class) error {
	c, err := f.LevelsConfig(classes)
	if err != nil {
		return fmt.Errorf("%s:%w", f.Path(), err)
	}
	if c == nil {
		return nil
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nlevel\tname\tentered above\tleft below\tmeasures\n")
	for i, l := range c.Levels {
		var measures []string
		for _, m := range l.Measures {
			what := m.Class
			if m.Shed > 0 {
				what += fmt.Sprintf(" shed %.4g", m.Shed)
			}
			if m.NoHedging {
				what += " no copies"
			}
			if m.MaxAttempts > 0 {
				what += fmt.Sprintf(" %d attempts", m.MaxAttempts)
			}
			if m.WithinQuota {
				what += " in share"
			}
			measures = append(measures, what)
		}
		fmt.Fprintf(t, "%d\t%s\t%v\t%v\t%s\n", i+1, l.Name, l.Enter, l.Exit, strings.Join(measures, ", "))
	}
	return t.Flush()
}

// routeCommand explains what becomes of a request.
func routeCommand(own *string) *cobra.Command {
	var headers []string
	var peer, file string
	explain := &cobra.Command{
		Use:   "explain METHOD URL",
		Short: "Tell which route, class and tenant a request comes to, and by which line",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			path := *own
			if file != "" {
				path = file
			}
			f, err := standalone.Load(path)
			if err != nil {
				return err
			}
			if !f.Standalone() {
				return errors.New("route explain: name a configuration with a listener by --config")
			}
			u, err := url.Parse(args[1])
			if err != nil {
				return fmt.Errorf("route explain: %w", err)
			}
			at, err := netip.ParseAddr(peer)
			if err != nil {
				return fmt.Errorf("--from: %w", err)
			}
			h := make(http.Header)
			for _, line := range headers {
				k, v, ok := strings.Cut(line, ":")
				if !ok {
					return fmt.Errorf("--header: want NAME: VALUE, got %q", line)
				}
				h.Add(strings.TrimSpace(k), strings.TrimSpace(v))
			}
			return explainRequest(c.OutOrStdout(), f, strings.ToUpper(args[0]), u, h, at)
		},
	}
	explain.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header of the request, as in \"Name: value\"; may be given again")
	explain.Flags().StringVar(&peer, "from", "192.0.2.1", "the address of the connection")
	explain.Flags().StringVar(&file, "file", "", "the configuration, in place of --config")
	c := &cobra.Command{Use: "route", Short: "Look at the routes of a configuration"}
	c.AddCommand(explain)
	return c
}

func explainRequest(out io.Writer, f *standalone.File, method string, u *url.URL, h http.Header, from netip.Addr) error {
	table, err := f.RouteTable()
	if err != nil {
		return err
	}
	finder, err := f.IdentityFinder()
	if err != nil {
		return err
	}
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	if err := routes.CheckPath(path); err != nil {
		fmt.Fprintf(t, "path\t%s\trefused with 400: %v\n", path, err)
		return nil
	}
	found := finder.Resolve(&identity.Request{Peer: from, Header: h})
	tenant := found.Tenant
	switch {
	case found.Layer >= 0:
		fmt.Fprintf(t, "tenant\t%s\tby layer %d, %v\n", tenant, found.Layer+1, found.Kind)
	default:
		tenant = identity.SharedTenant
		fmt.Fprintf(t, "tenant\tanonymous\tby its address, %s\n", found.Network)
	}
	fmt.Fprintf(t, "client\t%s\t\n", found.Client)
	key := h.Get("X-Key")
	n := table.Match(&routes.Request{Host: strings.ToLower(u.Hostname()), Method: method, Path: path, Query: u.RawQuery, Header: h, Tenant: tenant, Key: key, ID: "explain"})
	if n < 0 {
		fmt.Fprintf(t, "route\tnone\trefused with 404\n")
		return nil
	}
	r := table.Route(n)
	fmt.Fprintf(t, "route\t%d\tline %d\n", n+1, r.Line)
	if r.Fraction < 1 {
		fmt.Fprintf(t, "share\t%.4g\tthis request is in it\n", r.Fraction)
	}
	for _, c := range f.Settings().Classes {
		if c.Name == r.Class {
			fmt.Fprintf(t, "class\t%s\taim %v, deadline %v, sent again: %s\n", c.Name, c.LatencyObjective, c.Deadline, repeats(c))
		}
	}
	return nil
}
