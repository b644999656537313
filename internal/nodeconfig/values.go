package nodeconfig

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"
)

const maxDuration = 24 * time.Hour // maximum of each duration in the file

// Duration is a duration with a unit in the file, as in "1.5s".
type Duration struct {
	time.Duration
	Set bool // whether the file contains the key; the value may be 0
}

// UnmarshalText parses a duration of 0 to 24 h.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`want a time with its unit, as in "1.5s", got %q`, text)
	}
	if value < 0 || value > maxDuration {
		return fmt.Errorf("want 0s to 24h, got %q", text)
	}
	d.Duration, d.Set = value, true
	return nil
}

// Level is the minimum level of logged messages.
type Level struct{ slog.Level }

// UnmarshalText accepts debug, info, warn or error.
func (l *Level) UnmarshalText(text []byte) error {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	level, ok := levels[string(text)]
	if !ok {
		return fmt.Errorf("want debug, info, warn or error, got %q", text)
	}
	l.Level = level
	return nil
}

// Format is the format of log lines: text or json.
type Format string

// UnmarshalText accepts text or json.
func (f *Format) UnmarshalText(text []byte) error {
	if s := string(text); s != "text" && s != "json" {
		return fmt.Errorf("want text or json, got %q", text)
	}
	*f = Format(text)
	return nil
}

// filePath is the path of a file or directory.
type filePath string

// UnmarshalText accepts any path that is not empty.
func (p *filePath) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return errors.New("want a path, got none")
	}
	*p = filePath(text)
	return nil
}

// absolutePath is a path that begins at the root.
type absolutePath string

// UnmarshalText accepts a path that begins with a slash.
func (p *absolutePath) UnmarshalText(text []byte) error {
	if !strings.HasPrefix(string(text), "/") {
		return fmt.Errorf("want an absolute path, got %q", text)
	}
	*p = absolutePath(text)
	return nil
}

// loopbackAddress is IP:port on a loopback interface. Only this machine can reach it.
type loopbackAddress string

// UnmarshalText accepts IP:port with a loopback IP.
func (a *loopbackAddress) UnmarshalText(text []byte) error {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil || !address.Addr().IsLoopback() {
		return fmt.Errorf("want IP:port on loopback, got %q", text)
	}
	*a = loopbackAddress(text)
	return nil
}

// listenAddress is the address of a listener: IP:port, or the absolute path of a Unix socket.
type listenAddress string

// UnmarshalText accepts IP:port or an absolute path.
func (a *listenAddress) UnmarshalText(text []byte) error {
	s := string(text)
	if !strings.HasPrefix(s, "/") {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("want IP:port or an absolute path, got %q", s)
		}
	}
	*a = listenAddress(s)
	return nil
}
