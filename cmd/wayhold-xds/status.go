package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"cobaltward/discovery/xds"
	"cobaltward/discovery/xds/ads"
)

// resourceTypes lists the resource types in a status with their names in the output.
var resourceTypes = []struct {
	id   ads.Type
	name string
}{{ads.Clusters, "clusters"}, {ads.Endpoints, "endpoints"}, {ads.Secrets, "secrets"}}

// writeStatus writes the status of a source as text.
func writeStatus(out io.Writer, status xds.Status) error {
	var text bytes.Buffer // its Write method never fails
	stream := "closed"
	if status.Connected {
		stream = "open"
	}
	fmt.Fprintf(&text, "control plane %s, stream %s for %v, list complete: %v\n",
		status.Server, stream, time.Since(status.Since).Round(time.Millisecond), status.Complete)
	for _, resource := range resourceTypes {
		typeStatus := status.Types[resource.id]
		if resource.id == ads.Secrets && len(typeStatus.ResourceNames) == 0 {
			continue
		}
		writeTypeStatus(&text, resource.name, typeStatus)
	}
	for _, name := range slices.Sorted(maps.Keys(status.Drops)) {
		fmt.Fprintf(&text, "%s: %.4g%% of the requests in classes bound to it are dropped\n", name, 100*status.Drops[name])
	}
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "cluster\tendpoint\tzone\tpriority\thealth\tused")
	for _, e := range status.EndpointStatuses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Cluster, e.Addr, e.Zone, e.Priority, e.Health, e.Use)
	}
	_ = table.Flush()
	_, err := out.Write(text.Bytes())
	return err
}

// writeTypeStatus writes the status of one resource type.
func writeTypeStatus(text *bytes.Buffer, name string, status ads.Status) {
	fmt.Fprintf(text, "%s: version %q, %d held, age %v, ",
		name, status.Version, len(status.Versions), formatAge(status.UpdatedAt))
	if status.NACKReason == "" {
		fmt.Fprintln(text, "acknowledged")
	} else {
		fmt.Fprintln(text, "refused:", status.NACKReason)
	}
	for _, rejected := range slices.Sorted(maps.Keys(status.Rejected)) {
		fmt.Fprintf(text, "  %s: refused, the previous version stays in use: %s\n", rejected, status.Rejected[rejected])
	}
}

func formatAge(updated time.Time) string {
	if updated.IsZero() {
		return "none"
	}
	return time.Since(updated).Round(time.Millisecond).String()
}
