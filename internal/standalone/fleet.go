package standalone

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Fleet is the table [fleet]. It configures a process of the fleet: a replica of the fleet's log, or an agent beside
// a node. This package only validates the table. wayhold-fleet uses the table.
type Fleet struct {
	Name             string            `toml:"name" need:"1"`
	Zone             string            `toml:"zone"`
	Listen           string            `toml:"listen" need:"1"`     // IP:port for calls between processes of the fleet
	Address          string            `toml:"address"`             // address for other processes; default: Listen
	TokenFile        string            `toml:"token_file" need:"1"` // file with the bearer token in its first line
	Cert             string            `toml:"cert"`                // certificate chain of this process; empty: no TLS
	Key              string            `toml:"key"`
	Trust            string            `toml:"trust"`                      // authorities of the processes' certificates
	TLSName          string            `toml:"tls_name"`                   // name in certificates; default: wayhold-fleet
	Dir              string            `toml:"dir" need:"1"`               // directory of durable data
	Replicas         []string          `toml:"council"`                    // addresses of 1, 3 or 5 replicas
	AddressOverrides map[string]string `toml:"via"`                        // address to dial instead, by address
	Lease            time.Duration     `toml:"lease" min:"500ms" max:"1h"` // duration of a lease; default: 5 s
	Tick             time.Duration     `toml:"tick" min:"10ms" max:"10s"`  // 10 ticks until an election; default: 100 ms
	Capacity         float64           `toml:"capacity" min:"0"`           // capacity of the agent's node; unset or 0: 1
	LeaseKinds       []string          `toml:"owns" one:"round"`           // kinds of leases that this process may hold
	PatchCommand     []string          `toml:"patch"`                      // command line of a patch in a rolling update
	CheckCommand     []string          `toml:"look"`                       // exit status 0: patched; 1: not patched
	RevertCommand    []string          `toml:"revert"`                     // command line that undoes PatchCommand
	Timeout          time.Duration     `toml:"timeout" min:"1s" max:"24h"` // per command and drain; default: 10 min
}

// Defaults of the table [fleet].
const (
	defaultFleetLease    = 5 * time.Second
	defaultFleetTick     = 100 * time.Millisecond
	defaultFleetTimeout  = 10 * time.Minute
	defaultFleetTLSName  = "wayhold-fleet"
	defaultFleetCapacity = 1

	minLeaseTicks   = 20 // an election takes up to 20 ticks, during which no lease can be renewed
	maxFleetNameLen = 64 // maximum length of a name, in bytes
)

// check validates the table and sets the defaults. A nil table is valid.
func (t *Fleet) check(file *File) error {
	if t == nil {
		return nil
	}
	for _, check := range []func(file *File) error{
		t.checkAddresses, t.checkReplicas, t.checkAddressOverrides, t.checkTLS, t.checkCommands, t.checkTimes,
	} {
		if err := check(file); err != nil {
			return err
		}
	}
	t.Capacity = cmp.Or(t.Capacity, defaultFleetCapacity)
	return nil
}

func (t *Fleet) checkAddresses(file *File) error {
	if err := checkFleetName(t.Name); err != nil {
		return file.lines.Errorf("fleet.name", "%s", err)
	}
	if err := checkFleetAddress(file, "listen", t.Listen); err != nil {
		return err
	}
	t.Address = cmp.Or(t.Address, t.Listen)
	return checkFleetAddress(file, "address", t.Address)
}

// checkFleetAddress checks that an address is IP:port and differs from the address of the node's listener. Port 0 is
// allowed only for the key listen.
func checkFleetAddress(file *File, key, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || (address.Port() == 0 && key != "listen") {
		return file.lines.Errorf("fleet."+key, "want IP:port, got %q", value)
	}
	for _, listener := range file.Listen {
		if listener.Address == value && address.Port() != 0 {
			return file.lines.Errorf("fleet."+key, "%s is the address of the node's listener ([[listen]])", value)
		}
	}
	return nil
}

func (t *Fleet) checkReplicas(file *File) error {
	switch count := len(t.Replicas); count {
	case 0, 1, 3, 5:
	default:
		return file.lines.Errorf("fleet.council",
			"want 1, 3 or 5 replicas, got %d: an even number tolerates no more failures than one less", count)
	}
	for i, address := range t.Replicas {
		if err := checkFleetAddress(file, "council", address); err != nil {
			return err
		}
		if slices.Contains(t.Replicas[:i], address) {
			return file.lines.Errorf("fleet.council", "%s is listed twice", address)
		}
	}
	return nil
}

func (t *Fleet) checkAddressOverrides(file *File) error {
	for from, to := range t.AddressOverrides {
		if err := checkFleetAddress(file, "via", from); err != nil {
			return err
		}
		if err := checkFleetAddress(file, "via", to); err != nil {
			return err
		}
	}
	return nil
}

func (t *Fleet) checkTLS(file *File) error {
	hasSome := t.Cert+t.Key+t.Trust != ""
	if hasSome && (t.Cert == "" || t.Key == "" || t.Trust == "") {
		return file.lines.Errorf("fleet.cert", "want cert, key and trust together: both sides authenticate")
	}
	t.TLSName = cmp.Or(t.TLSName, defaultFleetTLSName)
	return nil
}

func (t *Fleet) checkCommands(file *File) error {
	if t.CheckCommand == nil && t.PatchCommand != nil {
		return file.lines.Errorf("fleet.patch",
			"look is missing beside it: after a crash the agent could not tell whether the command has run")
	}
	return nil
}

func (t *Fleet) checkTimes(file *File) error {
	t.Lease = cmp.Or(t.Lease, defaultFleetLease)
	t.Tick = cmp.Or(t.Tick, defaultFleetTick)
	t.Timeout = cmp.Or(t.Timeout, defaultFleetTimeout)
	if minLease := minLeaseTicks * t.Tick; t.Lease < minLease {
		return file.lines.Errorf("fleet.lease",
			"want at least %d ticks, %v: an election takes up to that, and no lease can be renewed meanwhile; got %v",
			minLeaseTicks, minLease, t.Lease)
	}
	return nil
}

// checkFleetName checks that a name is safe in paths and logs.
func checkFleetName(name string) error {
	if name == "" || len(name) > maxFleetNameLen || strings.ContainsFunc(name, notAllowedInFleetName) {
		return fmt.Errorf("want 1 to %d letters, digits, dots, dashes and underscores, got %q", maxFleetNameLen, name)
	}
	return nil
}

func notAllowedInFleetName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '-' && r != '_' && r != '.'
}
