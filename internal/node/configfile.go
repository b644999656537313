package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/jsonconfig"
	"cobaltward/internal/simprotocol"
	"cobaltward/policy"
)

// maxCores is the maximum of limits.cores. A larger number is likely a mistake.
const maxCores = 1024

// LoadConfig reads the file that ROUTER_CONFIG names. If set, ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and
// ROUTER_CONSOLE override fields of the file. Errors name the field.
func LoadConfig(getenv func(string) string) (Config, error) {
	config, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	for variable, field := range map[string]*string{
		"ROUTER_NAME":      &config.Name,
		"ROUTER_LISTEN":    &config.Listen,
		"ROUTER_DISCOVERY": &config.Discovery,
		"ROUTER_CONSOLE":   &config.OperationsAddr,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
	if err := config.checkAddresses(); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return config, nil
}

// ReloadConfig reads the file again. The registry address and the settings, except settings.registryMode, take effect
// while a node runs. Other fields take effect at the next start. ROUTER_DISCOVERY does not override the file here,
// because the variable holds the address from the start of the process.
func ReloadConfig(getenv func(string) string) (Config, error) {
	config, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	if err := jsonconfig.CheckAddress(config.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	return config, nil
}

func (c Config) checkAddresses() error {
	if err := jsonconfig.CheckAddress(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := jsonconfig.CheckAddress(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.OperationsAddr == "" {
		return nil
	}
	if err := jsonconfig.CheckAddress(c.OperationsAddr); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	if c.OperationsAddr == c.Listen {
		return fmt.Errorf("console: %s is also the address of the listener for clients", c.OperationsAddr)
	}
	return nil
}

func readConfig(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	config, err := parseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return config, nil
}

// configFile is the file that ROUTER_CONFIG names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console"`
	Seed      string          `json:"seed"`
	Limits    fileLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type fileLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func parseConfig(raw []byte) (Config, error) {
	var file configFile
	if err := jsonconfig.Unmarshal(raw, &file); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hexadecimal digits, got %q", file.Seed)
	}
	if err := file.Limits.check(); err != nil {
		return Config{}, err
	}
	config := Config{
		Name:           file.Name,
		Listen:         file.Listen,
		Discovery:      file.Discovery,
		OperationsAddr: file.Console,
		Seed:           seed,
		Cores:          file.Limits.Cores,
		MemoryMB:       int64(file.Limits.MemoryMB),
		MaxDescriptors: file.Limits.Sockets,
	}
	for name, field := range map[string]json.RawMessage{"known": file.Known, "settings": file.Settings} {
		if len(field) == 0 {
			return Config{}, fmt.Errorf("%s: missing", name)
		}
	}
	if config.InitialList, err = registry.ParseList(file.Known); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	if config.Settings, err = simprotocol.ParseSettings(file.Settings); err != nil {
		return Config{}, fmt.Errorf("settings.%w", err)
	}
	if _, err := policy.New(config.Settings, 0, 0); err != nil { // policy.New validates the settings
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	err = config.parseNodeSettings(file.Settings)
	return config, err
}

func (l fileLimits) check() error {
	switch {
	case !(l.Cores > 0) || l.Cores > maxCores:
		return fmt.Errorf("limits.cores: want more than 0 and at most 1024, got %v", l.Cores)
	case !(l.MemoryMB >= 1) || l.MemoryMB > math.MaxInt32:
		return fmt.Errorf("limits.memory_mb: want 1 or more, got %v", l.MemoryMB)
	case l.Sockets < minDescriptors:
		return fmt.Errorf("limits.sockets: want %d or more, got %d", minDescriptors, l.Sockets)
	}
	return nil
}

// parseNodeSettings reads the settings of the node itself, which the policy does not use.
func (c *Config) parseNodeSettings(raw []byte) error {
	var settings struct {
		Limits struct {
			MaxOpen        float64 `json:"maxOpen"`
			ConnectTimeout float64 `json:"connectTimeout"` // in milliseconds
		} `json:"limits"`
	}
	if err := jsonconfig.Unmarshal(raw, &settings); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	limits := settings.Limits
	switch {
	case limits.MaxOpen < 0 || limits.MaxOpen > math.MaxInt32:
		return fmt.Errorf("settings.limits.maxOpen: want 0 or more, got %v", limits.MaxOpen)
	case limits.ConnectTimeout < 0 || limits.ConnectTimeout > math.MaxInt32:
		return fmt.Errorf("settings.limits.connectTimeout: want 0 or more, got %v", limits.ConnectTimeout)
	}
	c.MaxInFlight = int(limits.MaxOpen)
	c.ConnectTimeout = time.Duration(limits.ConnectTimeout * float64(time.Millisecond))
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	return nil
}
