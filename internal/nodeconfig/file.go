// Package nodeconfig reads the settings in the operator's own file, deploy/wayhold.toml, that the platform's
// configuration does not have. All of them are optional, and an empty file changes nothing. Package standalone reads
// the tables of a standalone node, which has no platform.
package nodeconfig

import "reflect"

// File holds the settings that this package reads from the operator's own file.
type File struct {
	Log      Log
	Drain    Drain
	XDS      XDS
	Msgpack  Msgpack
	AdminAPI AdminAPI // the table [door]
	TLS      any      // the decoded table, to detect changes; package standalone interprets it
}

// Log configures logging.
type Log struct {
	Level  Level  // info if not set
	Format Format // text if not set
}

// Drain configures the drain after SIGTERM and drains requested over the admin API.
type Drain struct {
	AnnounceFor Duration // how long a draining node still serves as before; not set: the node's default
	Timeout     Duration // limit for the whole drain; not set: the node's default
	StateFile   string   // exists during a drain requested over the admin API, so that a restarted node continues it
}

// XDS configures the discovery of servers by xDS, either from a control plane or from files.
type XDS struct {
	Bootstrap       string            // path of the xDS bootstrap file (JSON) of a control plane
	CAFile          string            // PEM, for channel_creds tls; empty: the system's authorities
	Delta           bool              // use incremental (delta) xDS
	CacheDir        string            // directory where the last endpoint list is stored; empty: it is not stored
	Files           []string          // DiscoveryResponse files, instead of a control plane
	WithoutPlatform bool              // servers come from xDS only, not from the platform's registry as well
	ClusterByClass  map[string]string // name of the cluster that serves a class, by class
}

// Enabled reports whether servers are discovered by xDS.
func (x XDS) Enabled() bool { return x.Bootstrap != "" || len(x.Files) > 0 }

// Msgpack configures MessagePack-RPC.
type Msgpack struct {
	Listen          string   // IP:port, or the absolute path of a Unix socket; empty: no listener for clients
	MaxConns        int      // open client connections; 0: the node's default
	MaxCallsPerConn int      // concurrent calls on one client connection; 0: the node's default
	ServerKinds     []string // kinds of app servers that are called over MessagePack-RPC
}

// Enabled reports whether clients or servers use MessagePack-RPC.
func (m Msgpack) Enabled() bool { return m.Listen != "" || len(m.ServerKinds) > 0 }

// AdminAPI configures where the admin API listens.
type AdminAPI struct {
	Socket    string // absolute path of a Unix socket
	Listen    string // IP:port on loopback; requires TokenFile
	TokenFile string // its first line is the bearer token that requests over Listen need
}

// RestartKeys returns the keys that take effect only at a restart and whose values differ between the running
// configuration and a reloaded file.
func RestartKeys(running, reloaded File) (keys []string) {
	for _, setting := range []struct {
		key          string
		old, current any
	}{
		{"log.format", running.Log.Format, reloaded.Log.Format},
		{"drain.leave", running.Drain.AnnounceFor, reloaded.Drain.AnnounceFor},
		{"xds.bootstrap", running.XDS.Bootstrap, reloaded.XDS.Bootstrap},
		{"xds.ca_file", running.XDS.CAFile, reloaded.XDS.CAFile},
		{"xds.delta", running.XDS.Delta, reloaded.XDS.Delta},
		{"xds.dir", running.XDS.CacheDir, reloaded.XDS.CacheDir},
		{"msgpack", running.Msgpack, reloaded.Msgpack},
		{"door", running.AdminAPI, reloaded.AdminAPI},
		{"tls", running.TLS, reloaded.TLS},
		{"drain.remember", running.Drain.StateFile, reloaded.Drain.StateFile},
		{"xds.files", running.XDS.Files, reloaded.XDS.Files},
		{"xds.alone", running.XDS.WithoutPlatform, reloaded.XDS.WithoutPlatform},
	} {
		if !reflect.DeepEqual(setting.old, setting.current) {
			keys = append(keys, setting.key)
		}
	}
	return keys
}
