package standalone

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/routes"
	"cobaltward/internal/stricttoml"
	"cobaltward/router"
)

// Route is a table [[route]]. It assigns a class to the requests that it matches.
type Route struct {
	Listener string            `toml:"listener"`
	Host     string            `toml:"host"`
	Methods  []string          `toml:"methods" one:"GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"` // default: the class's method
	Path     string            `toml:"path"`
	Prefix   string            `toml:"prefix"`
	Segments string            `toml:"segments"`
	Regexp   string            `toml:"regexp"`
	Headers  map[string]string `toml:"headers"` // "*": present with any value; "!": absent
	Query    map[string]string `toml:"query"`   // values as in Headers
	Fraction float64           `toml:"share" min:"0" max:"1"`
	HashBy   string            `toml:"by" one:"tenant|key|id"` // default: tenant
	HashSalt string            `toml:"salt"`
	Class    string            `toml:"class" need:"1"`
	Timeout  time.Duration     `toml:"budget" min:"0s" max:"1h"` // unset or 0: the deadline of the class
}

// Special values of headers and query parameters in routes.
const (
	valuePresent = "*"
	valueMissing = "!"
)

// RouteTable returns the compiled table of routes. If the file contains no routes, the only route assigns the first
// class to all requests.
func (f *File) RouteTable() (*routes.Table, error) {
	all := make([]routes.Route, 0, len(f.Routes))
	for i := range f.Routes {
		compiled, err := f.compileRoute(i)
		if err != nil {
			return nil, err
		}
		all = append(all, compiled)
	}
	if len(all) == 0 {
		all = []routes.Route{{Class: f.Classes[0].Name}}
	}
	table, err := routes.New(all)
	if err == nil {
		return table, nil
	}
	var invalid *routes.Error
	if !errors.As(err, &invalid) {
		return nil, err
	}
	message := invalid.Problem
	if invalid.OtherIndex >= 0 {
		message += fmt.Sprintf(" line %d", invalid.OtherLine)
	}
	key := fmt.Sprintf("route[%d]", invalid.RouteIndex)
	return nil, &stricttoml.Error{Line: invalid.Line, Key: key, Message: message}
}

// compileRoute returns the route with the given index as the type of package routes. It checks that the class allows
// the route's methods.
func (f *File) compileRoute(index int) (routes.Route, error) {
	route, key := f.Routes[index], fmt.Sprintf("route[%d]", index)
	allowed, methods := f.classMethod(route.Class), route.Methods
	if len(methods) == 0 {
		methods = []string{allowed}
	}
	for _, method := range methods {
		if method != allowed {
			return routes.Route{}, f.lines.Errorf(key+".methods", "class %s allows %s only, because its repeat is %q; got %s",
				route.Class, allowed, f.class(route.Class).Idempotency, method)
		}
	}
	return routes.Route{
		Line:     f.lines.At(key),
		Listener: route.Listener,
		Host:     route.Host,
		Methods:  methods,
		Path:     route.Path,
		Prefix:   route.Prefix,
		Segments: route.Segments,
		Regexp:   route.Regexp,
		Headers:  toRouteConditions(route.Headers),
		Query:    toRouteConditions(route.Query),
		Fraction: route.Fraction,
		HashSalt: route.HashSalt,
		HashBy:   map[string]routes.HashInput{"key": routes.HashByKey, "id": routes.HashByID}[route.HashBy],
		Class:    route.Class,
		Timeout:  route.Timeout,
	}, nil
}

// toRouteConditions returns the conditions on headers or query parameters, sorted by name.
func toRouteConditions(values map[string]string) (fields []routes.Condition) {
	for name, value := range values {
		field := routes.Condition{Name: name, Value: value}
		switch value {
		case valuePresent:
			field = routes.Condition{Name: name, Present: true}
		case valueMissing:
			field = routes.Condition{Name: name, Missing: true}
		}
		fields = append(fields, field)
	}
	slices.SortFunc(fields, func(a, b routes.Condition) int { return strings.Compare(a.Name, b.Name) })
	return fields
}

// class returns the class with the given name, or the zero value if there is no such class.
func (f *File) class(name string) Class {
	for _, class := range f.Classes {
		if class.Name == name {
			return class
		}
	}
	return Class{}
}

// classMethod returns the HTTP method of the requests of a class.
func (f *File) classMethod(name string) string {
	class := f.class(name)
	return router.Method(class.settings())
}
