// Package nodeconfig reads the settings in the operator's own file, deploy/wayhold.toml, that the platform's
// configuration does not contain. All settings are optional, and an empty file changes nothing. Package standalone
// reads the tables of a standalone node, which has no platform.
package nodeconfig

import "reflect"

// File contains the settings that this package reads from the operator's own file.
type File struct {
	Log      Log
	Drain    Drain
	XDS      XDS
	Msgpack  Msgpack
	AdminAPI AdminAPI // the table [door]
	TLS      any      // decoded table, for the detection of changes; package standalone interprets it
}

// Log is the table [log]. It sets the minimum level and the format of log lines.
type Log struct {
	Level  Level  // default: info
	Format Format // default: text
}

// Drain configures the drain after SIGTERM and drains requested over the admin API.
type Drain struct {
	AnnounceFor Duration // time for which a draining node still serves as before; default: the node's default
	Timeout     Duration // timeout for the whole drain; default: the node's default
	StateFile   string   // path of the file with which a restarted node continues a drain requested over the admin API
}

// XDS configures the discovery of servers by xDS, from a control plane or from files.
type XDS struct {
	Bootstrap       string            // path of the xDS bootstrap file (JSON) of a control plane
	CAFile          string            // PEM file for channel_creds tls; empty: the system's authorities
	Delta           bool              // whether to use incremental (delta) xDS
	CacheDir        string            // directory of the last endpoint list; empty: the list is not stored
	Files           []string          // DiscoveryResponse files, instead of a control plane
	WithoutPlatform bool              // whether servers come only from xDS, not also from the platform's registry
	ClusterByClass  map[string]string // name of the cluster that serves a class, by class
}

// Enabled reports whether servers are discovered by xDS.
func (x XDS) Enabled() bool { return x.Bootstrap != "" || len(x.Files) > 0 }

// Msgpack is the table [msgpack]. It configures MessagePack-RPC with clients and with app servers.
type Msgpack struct {
	Listen          string   // IP:port, or absolute path of a Unix socket; empty: no listener for clients
	MaxConns        int      // maximum open client connections; 0: the node's default
	MaxCallsPerConn int      // maximum concurrent calls on one client connection; 0: the node's default
	ServerKinds     []string // kinds of app servers that are called over MessagePack-RPC
}

// Enabled reports whether clients or servers use MessagePack-RPC.
func (m Msgpack) Enabled() bool { return m.Listen != "" || len(m.ServerKinds) > 0 }

// AdminAPI configures the listeners of the admin API.
type AdminAPI struct {
	Socket    string // absolute path of a Unix socket
	Listen    string // IP:port on loopback; requires TokenFile
	TokenFile string // file whose first line is the bearer token for requests over Listen
}

// RestartKeys returns the keys that take effect only at a restart and whose values differ between running and
// reloaded.
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
