// Package nodeconfig reads the operator's own file, deploy/wayhold.toml, as far as it has what the platform's
// configuration does not say. All of it is optional, and an empty file changes nothing. The tables of a node that
// stands alone are read by package standalone.
package nodeconfig

import "reflect"

// File is the content of the file.
type File struct {
	Log      Log
	Drain    Drain
	XDS      XDS
	Msgpack  Msgpack
	AdminAPI AdminAPI // table [door]
	TLS      any      // as decoded, to tell whether it has changed; read by package standalone
}

// Log configures logging.
type Log struct {
	Level  Level  // info if not set
	Format Format // text if not set
}

// Drain configures the shutdown after SIGTERM, and drains by the admin API.
type Drain struct {
	AnnounceFor Duration // how long the node serves while it reports that it is not ready; not set: the node's default
	Timeout     Duration // of the whole drain; not set: the node's default
	StateFile   string   // exists during a drain by the admin API, so that a restarted node continues it
}

// XDS configures the discovery of servers by xDS. The source is either a control plane, or files.
type XDS struct {
	Bootstrap       string            // path of the standard bootstrap JSON, for a control plane
	CAFile          string            // PEM, for control planes with channel_creds tls; empty: the system's authorities
	Delta           bool              // use the incremental variant of the protocol
	CacheDir        string            // where the last list is stored; empty: nowhere
	Files           []string          // DiscoveryResponse files, in place of a control plane
	WithoutPlatform bool              // servers come from xDS only, and not from the platform's registry as well
	ClusterByClass  map[string]string // the cluster to which a class is bound
}

// Enabled reports whether servers are discovered by xDS.
func (x XDS) Enabled() bool { return x.Bootstrap != "" || len(x.Files) > 0 }

// Msgpack configures MessagePack-RPC.
type Msgpack struct {
	Listen          string   // IP:port, or the absolute path of a Unix socket; empty: no clients
	MaxConns        int      // open client connections; 0: the node's default
	MaxCallsPerConn int      // open calls on a client connection; 0: the node's default
	ServerKinds     []string // kinds of app servers that are called by MessagePack-RPC
}

// Enabled reports whether clients or servers use MessagePack-RPC.
func (m Msgpack) Enabled() bool { return m.Listen != "" || len(m.ServerKinds) > 0 }

// AdminAPI says where the admin API listens.
type AdminAPI struct {
	Socket    string // absolute path of a Unix socket
	Listen    string // IP:port on loopback; requires TokenFile
	TokenFile string // its first line is the bearer token of requests over Listen
}

// RestartKeys returns the keys that differ between the file of the start and one that was read again, and that take
// effect at a start only.
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
