package standalone

import (
	"fmt"
	"slices"
	"strings"

	"cobaltward/policy"
)

// check validates combinations of keys and references between tables. Errors name the line.
func (f *File) check() error {
	if err := f.Fleet.check(f); err != nil {
		return err
	}
	if !f.Standalone() {
		return f.checkPlatform()
	}
	for _, check := range []func() error{
		f.checkListeners, f.checkClasses, f.checkServers, f.checkClassReferences, f.checkRoutes, f.checkIdentity,
		f.checkEndpoints, f.checkSettings, f.checkLevels,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkPlatform rejects tables for standalone nodes in the file of a node with a platform.
func (f *File) checkPlatform() error {
	for _, table := range []struct {
		key   string
		isSet bool
	}{
		{"class", len(f.Classes) > 0},
		{"tenant", len(f.Tenants) > 0},
		{"server", len(f.Servers) > 0},
		{"route", len(f.Routes) > 0},
		{"identity", len(f.Identity.Layers) > 0},
		{"servers", f.ServerSource != (ServerSource{})},
		{"node", f.Node != (Node{})},
		{"limits", f.Limits != (Limits{})},
	} {
		if table.isSet {
			return f.lines.Errorf(table.key,
				"is for a node that stands alone: name a listener by [[listen]], or leave this to the platform")
		}
	}
	return nil
}

func (f *File) checkListeners() error {
	if len(f.Listen) > 1 {
		return f.lines.Errorf("listen[1]", "only one listener is supported")
	}
	return nil
}

func (f *File) checkClasses() error {
	if len(f.Classes) == 0 {
		return f.lines.Errorf("class", "missing: a standalone node needs one [[class]] or more")
	}
	for i, class := range f.Classes {
		key := fmt.Sprintf("class[%d]", i)
		sameName := func(other Class) bool { return other.Name == class.Name }
		if slices.ContainsFunc(f.Classes[:i], sameName) {
			return f.lines.Errorf(key+".name", "duplicate class %q", class.Name)
		}
		if idempotencies[class.Idempotency] == policy.IdempotencyKeyed && class.DedupWindow == 0 {
			return f.lines.Errorf(key, "window: missing: for how long do servers drop duplicates of an idempotency key?")
		}
		if class.LatencyObjective > class.Deadline {
			return f.lines.Errorf(key+".aim", "want at most the deadline, %v, got %v", class.Deadline, class.LatencyObjective)
		}
	}
	return nil
}

func (f *File) checkServers() error {
	if len(f.Servers) == 0 && f.ServerSource.File == "" && f.XDS == nil {
		return f.lines.Errorf("server", "missing: define servers by [[server]], servers.file or [xds]")
	}
	return nil
}

// checkClassReferences checks that all classes in routes and buckets exist.
func (f *File) checkClassReferences() error {
	names := make([]string, 0, len(f.Classes))
	for _, class := range f.Classes {
		names = append(names, class.Name)
	}
	known := strings.Join(names, ", ")
	for i, route := range f.Routes {
		if !slices.Contains(names, route.Class) {
			return f.lines.Errorf(fmt.Sprintf("route[%d].class", i), "unknown class %q; known are %s", route.Class, known)
		}
	}
	for class := range f.Buckets.Classes {
		if !slices.Contains(names, class) {
			return f.lines.Errorf("buckets.classes."+class, "unknown class; known are %s", known)
		}
	}
	return nil
}

func (f *File) checkRoutes() error {
	_, err := f.RouteTable()
	return err
}

func (f *File) checkIdentity() error {
	verifiesClients := f.TLS != nil && f.TLS.Clients != nil && f.TLS.Clients.Trust+f.TLS.Clients.TrustSDS != ""
	for i, layer := range f.Identity.Layers {
		if layer.By == byCertificate && !verifiesClients {
			return f.lines.Errorf(fmt.Sprintf("identity.layer[%d]", i),
				"client certificates are not verified: tls.clients.trust names no authorities")
		}
	}
	if _, err := f.IdentityResolver(); err != nil {
		return f.lines.Errorf("identity", "%s", err)
	}
	return nil
}

func (f *File) checkEndpoints() error {
	_, err := f.Endpoints()
	return err
}

func (f *File) checkSettings() error {
	if _, err := policy.New(f.Settings(), 0, 0); err != nil {
		return f.lines.Errorf("class", "%s", err)
	}
	return nil
}

func (f *File) checkLevels() error {
	_, err := f.LevelsConfig(f.Settings().Classes)
	return err
}
