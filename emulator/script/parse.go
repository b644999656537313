package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cobaltward/internal/stricttoml"

	"github.com/pelletier/go-toml/v2"
)

// Load reads the script at path. An error about the content is one line of text with the file, the line and the
// allowed values.
func Load(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(filepath.ToSlash(path), text)
}

// Parse reads a script from its text. Errors name path. The path of a base is relative to the directory of path.
func Parse(path string, text []byte) (*Script, error) {
	script := withDefaults(path)
	if err := script.decodeBase(text); err != nil {
		return nil, err
	}
	lines, err := stricttoml.Decode(text, script)
	if err == nil {
		script.lines = lines
		script.fillDefaults()
		err = script.check()
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return script, nil
}

// withDefaults returns a script with the defaults of all tables that occur at most once.
func withDefaults(path string) *Script {
	return &Script{
		Title: strings.TrimSuffix(filepath.Base(path), ".toml"), Seed: 1, path: path,
		Network: Network{
			Zones:         []string{"bystrica", "presov", "nitra"},
			SameZoneDelay: 200 * time.Microsecond, CrossZoneDelay: 8 * time.Millisecond,
			ClientDelay: 600 * time.Microsecond, Jitter: 0.2, ConnectTimeout: 250 * time.Millisecond, HandshakeRTTs: 1,
		},
		Nodes:     Nodes{Count: 3, FailureDetection: 2 * time.Second, MaxConns: 512, MaxOpen: 1 << 14},
		Discovery: Discovery{Delay: time.Second, Spread: 500 * time.Millisecond, SilenceTimeout: 8 * time.Second},
		Clients: Clients{
			AttemptTimeoutFraction: 1, Backoff: "fixed", BackoffDelay: 100 * time.Millisecond,
			HonorFraction: 0.6, MaxRetryAfter: 2 * time.Second,
		},
		Capabilities: Capabilities{Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 5, ConnIdle: time.Minute},
		Rules: Rules{
			DrainGrace: 500 * time.Millisecond, OverloadFactor: 3, OverloadDuration: time.Second,
			AnswerGrace: 50 * time.Millisecond,
		},
	}
}

// decodeBase decodes the base of a script into s, except for the base's title and faults. It does nothing if text
// names no base.
func (s *Script) decodeBase(text []byte) error {
	base := baseOf(text)
	if base == "" {
		return nil
	}
	basePath := filepath.FromSlash(base)
	if !filepath.IsAbs(basePath) {
		basePath = filepath.Join(filepath.Dir(s.path), basePath)
	}
	baseText, err := os.ReadFile(basePath)
	if err != nil {
		return fmt.Errorf("%s:1: base: %w", s.path, err)
	}
	if baseOf(baseText) != "" {
		return fmt.Errorf("%s:1: base: %s has a base itself, want a script without one", s.path, base)
	}
	if _, err := Parse(filepath.ToSlash(basePath), baseText); err != nil {
		return err
	}
	title := s.Title
	if _, err := stricttoml.Decode(baseText, s); err != nil {
		return fmt.Errorf("%s:%w", filepath.ToSlash(basePath), err)
	}
	s.Title, s.Faults = title, nil
	return nil
}

// baseOf returns the path of the base named in a script; empty if the script has no base.
func baseOf(text []byte) string {
	var b struct {
		Base string `toml:"base"`
	}
	_ = toml.Unmarshal(text, &b) // errors are reported when the whole script is decoded
	return b.Base
}

// fillDefaults sets the defaults of list items, and of keys whose default depends on other keys. It also sets the
// lines of the faults.
func (s *Script) fillDefaults() {
	for i := range s.ServerKinds {
		s.ServerKinds[i].fillDefaults()
	}
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Tenants {
		if s.Tenants[i].Usage == 0 {
			s.Tenants[i].Usage = 1
		}
	}
	if s.Traffic.Quota == 0 {
		s.Traffic.Quota = s.Traffic.Rate
	}
	for i := range s.Faults {
		s.Faults[i].line = s.lines.At(fmt.Sprintf("fault[%d]", i))
	}
}

func (k *ServerKind) fillDefaults() {
	k.Cores = max(1, k.Cores)
	setDefault(&k.Speed, 1)
	setDefault(&k.Slots, 8)
	setDefault(&k.Queue, 20)
	if k.Cancel == "" {
		k.Cancel = "all"
	}
}

// setDefault sets an unset range to the single value.
func setDefault(r *stricttoml.Range, value float64) {
	if *r == (stricttoml.Range{}) {
		*r = stricttoml.Range{Lo: value, Hi: value}
	}
}

func (c *Class) fillDefaults() {
	if c.Dist == "" {
		c.Dist = "lognormal"
	}
	if c.CV == 0 {
		c.CV = 1
	}
	if c.DedupScope == "" {
		c.DedupScope = "all"
	}
}
