// Package report writes the result of a rehearsal as text, as JSON, or in comparison with another result. Package
// page writes the result as an HTML page with plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/result"
)

// JSON writes a result as JSON. The same result always gives the same bytes.
func JSON(w io.Writer, r *result.Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Load reads a result from a file written by JSON.
func Load(path string) (*result.Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(result.Result)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Verdict == nil || r.All == nil {
		return nil, fmt.Errorf("%s: not the result of a rehearsal", path)
	}
	return r, nil
}

// Row is the summary of a named set of requests: all requests, or those of a class, tenant or zone.
type Row struct {
	Name string
	*result.Service
}

// Rows returns the summary of all requests and of each class, tenant and zone, in a fixed order.
func Rows(r *result.Result) []Row {
	rows := []Row{{"all", r.All}}
	for _, group := range []struct {
		prefix   string
		services map[string]*result.Service
	}{{"class ", r.Classes}, {"workspace ", r.Tenants}, {"zone ", r.ByZone}} {
		for _, name := range slices.Sorted(maps.Keys(group.services)) {
			rows = append(rows, Row{group.prefix + name, group.services[name]})
		}
	}
	return rows
}

// Violation returns a violation as one line of text.
func Violation(v checker.Violation) string {
	parts := []string{fmt.Sprintf("%.3f s", v.At.Seconds())}
	for _, field := range []struct{ name, value string }{{"request", v.ID}, {"node", v.Node}, {"server", v.Server}} {
		if field.value != "" {
			parts = append(parts, field.name+" "+field.value)
		}
	}
	return strings.Join(parts, ", ") + ": " + v.Description
}
