package standalone

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Fleet is this process among those that agree: a member of the council, or a follower beside a node. It is read by
// wayhold-fleet alone; here it is only checked.
type Fleet struct {
	Name             string            `toml:"name" need:"1"`
	Zone             string            `toml:"zone"`
	Listen           string            `toml:"listen" need:"1"`     // IP:port for calls of the fleet, never a node's front
	Address          string            `toml:"address"`             // under which others reach it; none: listen
	TokenFile        string            `toml:"token_file" need:"1"` // whose first line all processes of the fleet bear
	Cert             string            `toml:"cert"`                // by TLS: this process's, with its chain; none: links are plain
	Key              string            `toml:"key"`
	Trust            string            `toml:"trust"`        // authorities of the fleet's processes
	TLSName          string            `toml:"tls_name"`     // that all their certificates are for; none: wayhold-fleet
	Dir              string            `toml:"dir" need:"1"` // what must outlive the process
	Replicas         []string          `toml:"council"`      // its members' addresses: 1, 3 or 5
	AddressOverrides map[string]string `toml:"via"`          // addresses under which this process reaches others
	Lease            time.Duration     `toml:"lease" min:"500ms" max:"1h"`
	Tick             time.Duration     `toml:"tick" min:"10ms" max:"10s"`  // of the council: ten without a leader begin a vote
	Capacity         float64           `toml:"capacity" min:"0"`           // of the node beside; 0: 1
	LeaseKinds       []string          `toml:"owns" one:"round"`           // kinds of work that this process may own
	PatchCommand     []string          `toml:"patch"`                      // command that a round hands the node to
	CheckCommand     []string          `toml:"look"`                       // command that tells whether the patch is in: 0 yes, 1 no
	RevertCommand    []string          `toml:"revert"`                     // command that takes a patch back
	Timeout          time.Duration     `toml:"timeout" min:"1s" max:"24h"` // of such a command, and of a drain
}

// The defaults of a table [fleet].
const (
	fleetLease   = 5 * time.Second
	fleetTick    = 100 * time.Millisecond
	fleetTimeout = 10 * time.Minute
)

// check fills in what is left out. front are the addresses that clients and operators come to.
func (t *Fleet) check(f *File) error {
	if t == nil {
		return nil
	}
	fail := func(key, format string, args ...any) error { return f.lines.Errorf("fleet."+key, format, args...) }
	if err := fleetName(t.Name); err != nil {
		return fail("name", "%s", err)
	}
	addr := func(key, v string) error {
		at, err := netip.ParseAddrPort(v)
		if err != nil || (at.Port() == 0 && key != "listen") {
			return fail(key, "want IP:port, got %q", v)
		}
		for _, l := range f.Listen {
			if l.Address == v && at.Port() != 0 {
				return fail(key, "%s is the address of a node's front ([[listen]])", v)
			}
		}
		return nil
	}
	if err := addr("listen", t.Listen); err != nil {
		return err
	}
	if t.Address == "" {
		t.Address = t.Listen
	}
	if err := addr("address", t.Address); err != nil {
		return err
	}
	switch n := len(t.Replicas); {
	case n == 0:
	case n != 1 && n != 3 && n != 5:
		return fail("council", "want 1, 3 or 5 members, got %d: of an even number no more may fail than of one less", n)
	}
	for i, v := range t.Replicas {
		if err := addr("council", v); err != nil {
			return err
		}
		if slices.Contains(t.Replicas[:i], v) {
			return fail("council", "%s is listed twice", v)
		}
	}
	for from, to := range t.AddressOverrides {
		if err := addr("via", from); err != nil {
			return err
		}
		if err := addr("via", to); err != nil {
			return err
		}
	}
	if some := t.Cert + t.Key + t.Trust; some != "" && (t.Cert == "" || t.Key == "" || t.Trust == "") {
		return fail("cert", "want cert, key and trust together: each side proves who it is")
	}
	if t.TLSName == "" {
		t.TLSName = "wayhold-fleet"
	}
	if t.CheckCommand == nil && t.PatchCommand != nil {
		return fail("patch", "look is missing beside it: after a crash nobody could tell whether the command has run")
	}
	for key, d := range map[*time.Duration]time.Duration{&t.Lease: fleetLease, &t.Tick: fleetTick, &t.Timeout: fleetTimeout} {
		if *key == 0 {
			*key = d
		}
	}
	if t.Lease < 20*t.Tick {
		return fail("lease", "want at least 20 ticks, %v: a vote takes up to that, and no owner could renew in it; got %v", 20*t.Tick, t.Lease)
	}
	if t.Capacity == 0 {
		t.Capacity = 1
	}
	return nil
}

// fleetName says whether a name can stand in paths and logs.
func fleetName(s string) error {
	if len(s) > 64 || strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}) || s == "" {
		return fmt.Errorf("want 1 to 64 letters, digits, dots, dashes and underscores, got %q", s)
	}
	return nil
}
