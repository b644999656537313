// Package nodeconfig reads the operator's own file, deploy/wayhold.toml: what the platform's
// configuration does not say. All of it is optional, and an empty file changes nothing.
package nodeconfig

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is the whole file. Subsystems add their tables here.
type File struct {
	Log      Log
	Drain    Drain
	XDS      XDS
	Msgpack  Msgpack
	AdminAPI AdminAPI
	TLS      any // for package site; here only to tell whether it has changed
}

// AdminAPI is the operators' way in.
type AdminAPI struct {
	Socket    string // path of a Unix socket
	Listen    string // IP:port on loopback
	TokenFile string // whose first line requests over Listen bear
}

// Msgpack says who is spoken to by MessagePack-RPC.
type Msgpack struct {
	Listen      string   // host:port, or the path of a Unix socket; none: no callers
	Connections int      // 0: the front's default
	Calls       int      // open on a connection; 0: the front's default
	Servers     []string // kinds of app servers that speak it
}

// Enabled tells whether anybody is.
func (m Msgpack) Enabled() bool { return m.Listen != "" || len(m.Servers) > 0 }

// Log says how the daemon logs.
type Log struct {
	Level  Level  // debug, info, warn or error; info where it is not set
	Format Format // text or json; text where it is not set
}

// Drain says how the daemon ends after SIGTERM.
type Drain struct {
	AnnounceFor Duration // serving on as before while readiness says no; not set: as node.Config has it
	Deadline    Duration // for the whole drain; not set: as node.Config has it
	StateFile   string   // file that stands while a drain on request does, so that a restart goes on with it
}

// XDS says where the servers come from beside the platform's discovery: a control plane or files, not
// both.
type XDS struct {
	Bootstrap       string            // the standard bootstrap JSON, a file
	CAFile          string            // PEM, for control planes with channel_creds tls; else the system's
	Delta           bool              // the incremental variant
	Dir             string            // where the last list is kept
	Files           []string          // DiscoveryResponse files, in place of a control plane
	WithoutPlatform bool              // without the platform's discovery
	Pools           map[string]string // the cluster that a class is bound to
}

// Enabled tells whether xDS is asked for.
func (x XDS) Enabled() bool { return x.Bootstrap != "" || len(x.Files) > 0 }

// Duration is a time with its unit, as in "1.5s". Set tells it from one that is left out.
type Duration struct {
	time.Duration
	Set bool
}

// UnmarshalText reads a duration of 0 to 24 h.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`want a time with its unit, as in "1.5s", got %q`, text)
	}
	if v < 0 || v > 24*time.Hour {
		return fmt.Errorf("want 0s to 24h, got %q", text)
	}
	d.Duration, d.Set = v, true
	return nil
}

// Level is a log level.
type Level struct{ slog.Level }

// UnmarshalText reads one of four words.
func (l *Level) UnmarshalText(text []byte) error {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	v, ok := levels[string(text)]
	if !ok {
		return fmt.Errorf("want debug, info, warn or error, got %q", text)
	}
	l.Level = v
	return nil
}

// Format is a form of log lines.
type Format string

// UnmarshalText reads one of two words.
func (f *Format) UnmarshalText(text []byte) error {
	if s := string(text); s != "text" && s != "json" {
		return fmt.Errorf("want text or json, got %q", text)
	}
	*f = Format(text)
	return nil
}

// Load reads the file at path; an empty path is an empty file. Errors are one line that names the
// file, the line and the key.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	f, err := Parse(raw)
	if err != nil {
		return File{}, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

// RestartKeys names the keys in which a file that is read again differs from the one of the start, and
// which have their effect at a start alone.
func RestartKeys(running, now File) (keys []string) {
	for _, k := range []struct {
		key  string
		a, b any
	}{
		{"log.format", running.Log.Format, now.Log.Format},
		{"drain.leave", running.Drain.AnnounceFor, now.Drain.AnnounceFor},
		{"xds.bootstrap", running.XDS.Bootstrap, now.XDS.Bootstrap},
		{"xds.ca_file", running.XDS.CAFile, now.XDS.CAFile},
		{"xds.delta", running.XDS.Delta, now.XDS.Delta},
		{"xds.dir", running.XDS.Dir, now.XDS.Dir},
		{"msgpack", running.Msgpack, now.Msgpack},
		{"door", running.AdminAPI, now.AdminAPI},
		{"tls", running.TLS, now.TLS},
		{"drain.remember", running.Drain.StateFile, now.Drain.StateFile},
		{"xds.files", running.XDS.Files, now.XDS.Files},
		{"xds.alone", running.XDS.WithoutPlatform, now.XDS.WithoutPlatform},
	} {
		if !reflect.DeepEqual(k.a, k.b) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// raw is the file as TOML has it. Its values are any, and read by the types that they are for: the
// decoder gives no line for an error of theirs.
type raw struct {
	// What package site reads, for a node that stands alone.
	Node     any `toml:"node"`
	Listen   any `toml:"listen"`
	Limits   any `toml:"limits"`
	Class    any `toml:"class"`
	Tenant   any `toml:"tenant"`
	Buckets  any `toml:"buckets"`
	Server   any `toml:"server"`
	Servers  any `toml:"servers"`
	Route    any `toml:"route"`
	Identity any `toml:"identity"`
	Service  any `toml:"service"`
	Level    any `toml:"level"`
	State    any `toml:"state"`
	TLS      any `toml:"tls"`
	Fleet    any `toml:"fleet"`

	Log struct {
		Level  any `toml:"level"`
		Format any `toml:"format"`
	} `toml:"log"`
	Drain struct {
		Leave    any `toml:"leave"`
		Deadline any `toml:"deadline"`
		Remember any `toml:"remember"`
	} `toml:"drain"`
	Door struct {
		Socket    any `toml:"socket"`
		Listen    any `toml:"listen"`
		TokenFile any `toml:"token_file"`
	} `toml:"door"`
	XDS struct {
		Bootstrap any            `toml:"bootstrap"`
		CAFile    any            `toml:"ca_file"`
		Delta     any            `toml:"delta"`
		Dir       any            `toml:"dir"`
		Files     any            `toml:"files"`
		Alone     any            `toml:"alone"`
		Pools     map[string]any `toml:"pools"`
	} `toml:"xds"`
	Msgpack struct {
		Listen      any `toml:"listen"`
		Connections any `toml:"connections"`
		Calls       any `toml:"calls"`
		Servers     any `toml:"servers"`
	} `toml:"msgpack"`
}

// Parse reads the text of a file. Errors begin with the line.
func Parse(text []byte) (File, error) {
	var r raw
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&r)
	if strict := (*toml.StrictMissingError)(nil); errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return File{}, fmt.Errorf("%d: %s: unknown key", row, strings.Join(strict.Errors[0].Key(), "."))
	}
	if bad := (*toml.DecodeError)(nil); errors.As(err, &bad) {
		row, _ := bad.Position()
		what := strings.TrimPrefix(bad.Error(), "toml: ")
		if key := strings.Join(bad.Key(), "."); key != "" {
			what = key + ": " + what
		}
		return File{}, fmt.Errorf("%d: %s", row, firstLine(what))
	}
	if err != nil {
		return File{}, fmt.Errorf("1: %s", firstLine(strings.TrimPrefix(err.Error(), "toml: ")))
	}
	f := File{TLS: r.TLS}
	for _, field := range []struct {
		table, key string
		from       any
		to         encoding.TextUnmarshaler
	}{
		{"log", "level", r.Log.Level, &f.Log.Level},
		{"log", "format", r.Log.Format, &f.Log.Format},
		{"drain", "leave", r.Drain.Leave, &f.Drain.AnnounceFor},
		{"drain", "deadline", r.Drain.Deadline, &f.Drain.Deadline},
		{"xds", "bootstrap", r.XDS.Bootstrap, (*path)(&f.XDS.Bootstrap)},
		{"xds", "ca_file", r.XDS.CAFile, (*path)(&f.XDS.CAFile)},
		{"xds", "dir", r.XDS.Dir, (*path)(&f.XDS.Dir)},
		{"msgpack", "listen", r.Msgpack.Listen, (*listener)(&f.Msgpack.Listen)},
		{"drain", "remember", r.Drain.Remember, (*path)(&f.Drain.StateFile)},
		{"door", "socket", r.Door.Socket, (*rooted)(&f.AdminAPI.Socket)},
		{"door", "listen", r.Door.Listen, (*loopback)(&f.AdminAPI.Listen)},
		{"door", "token_file", r.Door.TokenFile, (*path)(&f.AdminAPI.TokenFile)},
	} {
		if field.from == nil {
			continue
		}
		value, ok := field.from.(string)
		if !ok {
			value = fmt.Sprint(field.from)
			err = fmt.Errorf("want a text in quotes, got %s", value)
		} else {
			err = field.to.UnmarshalText([]byte(value))
		}
		if err != nil {
			return File{}, fmt.Errorf("%d: %s.%s: %w", lineOf(text, field.table, field.key), field.table, field.key, err)
		}
	}
	if err := errors.Join(f.XDS.rest(text, r), f.Msgpack.rest(text, r)); err != nil {
		return File{}, errors.New(firstLine(err.Error()))
	}
	switch d := f.AdminAPI; {
	case d.Listen != "" && d.TokenFile == "":
		return File{}, fmt.Errorf("%d: door.listen: want token_file beside it", lineOf(text, "door", "listen"))
	case d.Listen == "" && d.TokenFile != "":
		return File{}, fmt.Errorf("%d: door.token_file: without listen it does nothing", lineOf(text, "door", "token_file"))
	case f.Drain.StateFile != "" && d == (AdminAPI{}):
		return File{}, fmt.Errorf("%d: drain.remember: without [door] there are no drains on request", lineOf(text, "drain", "remember"))
	}
	if f.Drain.AnnounceFor.Set && f.Drain.Deadline.Set && f.Drain.AnnounceFor.Duration > f.Drain.Deadline.Duration {
		return File{}, fmt.Errorf("%d: drain.leave: want at most drain.deadline, %v, got %v",
			lineOf(text, "drain", "leave"), f.Drain.Deadline.Duration, f.Drain.AnnounceFor.Duration)
	}
	return f, nil
}

// rooted is the path of a socket, from the root.
type rooted string

// UnmarshalText takes a path that begins at the root.
func (p *rooted) UnmarshalText(text []byte) error {
	if !strings.HasPrefix(string(text), "/") {
		return fmt.Errorf("want a path from /, got %q", text)
	}
	*p = rooted(text)
	return nil
}

// loopback is an address of this machine alone.
type loopback string

// UnmarshalText takes IP:port on loopback.
func (l *loopback) UnmarshalText(text []byte) error {
	at, err := netip.ParseAddrPort(string(text))
	if err != nil || !at.Addr().IsLoopback() {
		return fmt.Errorf("want IP:port on loopback, got %q", text)
	}
	*l = loopback(text)
	return nil
}

// path is the name of a file or directory.
type path string

// UnmarshalText takes any text but an empty one.
func (p *path) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return errors.New("want a path, got none")
	}
	*p = path(text)
	return nil
}

// rest reads what of the table [xds] is no text, and checks it as a whole.
func (x *XDS) rest(text []byte, r raw) error {
	fail := func(key, format string, args ...any) error {
		return fmt.Errorf("%d: xds.%s: %s", lineOf(text, "xds", key), key, fmt.Sprintf(format, args...))
	}
	for _, flag := range []struct {
		key  string
		from any
		to   *bool
	}{{"delta", r.XDS.Delta, &x.Delta}, {"alone", r.XDS.Alone, &x.WithoutPlatform}} {
		if v, ok := flag.from.(bool); ok {
			*flag.to = v
		} else if flag.from != nil {
			return fail(flag.key, "want true or false, got %v", flag.from)
		}
	}
	var err error
	if x.Files, err = texts(r.XDS.Files); err != nil {
		return fail("files", "%v", err)
	}
	for class, v := range r.XDS.Pools {
		cluster, ok := v.(string)
		if !ok || cluster == "" {
			return fmt.Errorf("%d: xds.pools.%s: want the name of a cluster in quotes, got %v", lineOf(text, "xds.pools", class), class, v)
		}
		if x.Pools == nil {
			x.Pools = make(map[string]string)
		}
		x.Pools[class] = cluster
	}
	switch {
	case x.Bootstrap != "" && len(x.Files) > 0:
		return fail("files", "want either files or bootstrap, got both")
	case !x.Enabled() && (x.CAFile != "" || x.Delta || x.Dir != "" || x.WithoutPlatform || len(x.Pools) > 0):
		return fmt.Errorf("%d: xds: neither bootstrap nor files is named, so the rest of the table does nothing", lineOf(text, "xds", ""))
	case len(x.Files) > 0 && (x.CAFile != "" || x.Delta || x.Dir != ""):
		return fail("files", "ca_file, delta and dir are for a control plane")
	}
	return nil
}

// rest reads what of the table [msgpack] is no text.
func (m *Msgpack) rest(text []byte, r raw) error {
	fail := func(key, format string, args ...any) error {
		return fmt.Errorf("%d: msgpack.%s: %s", lineOf(text, "msgpack", key), key, fmt.Sprintf(format, args...))
	}
	for _, number := range []struct {
		key  string
		from any
		to   *int
	}{{"connections", r.Msgpack.Connections, &m.Connections}, {"calls", r.Msgpack.Calls, &m.Calls}} {
		if number.from == nil {
			continue
		}
		n, ok := number.from.(int64)
		if !ok || n < 1 || n > maxNumber {
			return fail(number.key, "want 1 to %d, got %v", maxNumber, number.from)
		}
		*number.to = int(n)
	}
	var err error
	if m.Servers, err = texts(r.Msgpack.Servers); err != nil {
		return fail("servers", "%v", err)
	}
	if m.Listen == "" && m.Connections+m.Calls > 0 {
		return fail("listen", "missing: connections and calls are a listener's")
	}
	return nil
}

const maxNumber = 10_000 // of connections, and of calls on one

// texts reads a list of texts; nil where the key is not there.
func texts(from any) (all []string, err error) {
	if from == nil {
		return nil, nil
	}
	list, ok := from.([]any)
	if !ok || len(list) == 0 {
		return nil, fmt.Errorf("want a list in brackets, got %v", from)
	}
	for _, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			return nil, fmt.Errorf("want texts in quotes, got %v", v)
		}
		all = append(all, s)
	}
	return all, nil
}

// listener is where to listen: host:port, or the path of a Unix socket.
type listener string

// UnmarshalText takes an address whose port is a number, or a path that begins at the root.
func (l *listener) UnmarshalText(text []byte) error {
	s := string(text)
	if !strings.HasPrefix(s, "/") {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("want IP:port, or a path from /, got %q", s)
		}
	}
	*l = listener(s)
	return nil
}

// lineOf is the line on which a key of a table is set; 1 where it is written in a way of its own.
func lineOf(text []byte, table, key string) int {
	in := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in, _, _ = strings.Cut(strings.TrimPrefix(line, "["), "]")
			if in = strings.TrimSpace(in); in == table && key == "" {
				return i + 1
			}
		}
		if name, _, ok := strings.Cut(line, "="); ok && in == table && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 1
}

func firstLine(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	return s
}
