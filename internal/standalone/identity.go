package standalone

import (
	"cmp"

	"cobaltward/internal/identity"
)

const defaultAnonymousNames = 10_000

// Identity configures how the tenants of requests are identified.
type Identity struct {
	Trusted   []string `toml:"trusted"` // networks of proxies with trusted tenant and forwarding headers
	Forwarded string   `toml:"forwarded" one:"X-Forwarded-For|Forwarded"`
	Layers    []Layer  `toml:"layer"`
	Anonymous int      `toml:"anonymous" min:"16" max:"1000000"` // maximum names of anonymous clients; default: 10000
}

// Layer is one way to identify a tenant.
type Layer struct {
	By      string            `toml:"by" need:"1" one:"header|cookie|bearer|api_key|address|certificate"`
	Name    string            `toml:"name"`
	Secrets map[string]string `toml:"secrets"` // tenant by SHA-256 of the secret, in hexadecimal
	Nets    map[string]string `toml:"nets"`    // tenant by network prefix or address
	Names   map[string]string `toml:"names"`   // tenant by name in the client's certificate
}

const byCertificate = "certificate"

// layerKinds maps the values of the key by to kinds of layers.
var layerKinds = map[string]identity.Kind{
	"header":      identity.Header,
	"cookie":      identity.Cookie,
	"bearer":      identity.Bearer,
	"api_key":     identity.APIKey,
	"address":     identity.Address,
	byCertificate: identity.Certificate,
}

// IdentityResolver returns a resolver of tenants, compiled from the layers.
func (f *File) IdentityResolver() (*identity.Resolver, error) {
	config := identity.Config{Trusted: f.Identity.Trusted, Forwarded: f.Identity.Forwarded}
	for _, tenant := range f.Tenants {
		config.Tenants = append(config.Tenants, tenant.Name)
	}
	for _, layer := range f.Identity.Layers {
		config.Layers = append(config.Layers, identity.Layer{
			Name:     layer.Name,
			Secrets:  layer.Secrets,
			Networks: layer.Nets,
			Names:    layer.Names,
			Kind:     layerKinds[layer.By],
		})
	}
	return identity.New(config)
}

// AnonymousNames returns the maximum number of tenant names for clients that no layer identifies.
func (f *File) AnonymousNames() int { return cmp.Or(f.Identity.Anonymous, defaultAnonymousNames) }
