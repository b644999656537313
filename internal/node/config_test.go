package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testSettings = `{"position":0,"groupSize":1,"zone":"a",
	"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"}],
	"limits":{"connectTimeout":2000,"maxAttempts":3,"maxOpen":100}}`

const testInitialList = `{"revision":7,"complete":true,"members":[{"id":"s0","host_port":"127.0.0.1:9","phase":"up"}]}`

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":KNOWN,"settings":SETTINGS}`

// writeConfigFile writes a configuration file with KNOWN and SETTINGS replaced in text. It returns the lookup
// function of an environment whose ROUTER_CONFIG names the file.
func writeConfigFile(t *testing.T, text string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text = strings.NewReplacer("KNOWN", testInitialList, "SETTINGS", testSettings).Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:1"}[name]
	}
}

func TestLoadConfig(t *testing.T) {
	config, err := LoadConfig(writeConfigFile(t, validConfig))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []struct {
		name      string
		got, want any
	}{
		{"Name", config.Name, "n3"},
		{"Listen", config.Listen, "127.0.0.1:1"},
		{"Discovery", config.Discovery, "127.0.0.1:8500"},
		{"Seed", config.Seed, uint64(0x8c1f30d27a5be964)},
		{"MemoryMB", config.MemoryMB, int64(192)},
		{"MaxDescriptors", config.MaxDescriptors, 1024},
		{"MaxInFlight", config.MaxInFlight, 100},
		{"ConnectTimeout", config.ConnectTimeout, 2 * time.Second},
		{"InitialList.Endpoints", len(config.InitialList.Endpoints), 1},
		{"InitialList.Revision", config.InitialList.Revision, int64(7)},
		{"Settings.Zone", config.Settings.Zone, "a"},
	} {
		if field.got != field.want {
			t.Errorf("%s: got %v, want %v", field.name, field.got, field.want)
		}
	}
}

func TestLoadConfig_ErrorNamesField(t *testing.T) {
	_, err := LoadConfig(func(string) string { return "" })
	if err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without a file: got error %v", err)
	}
	for _, test := range []struct{ old, new, want string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"seed"`, `"other"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":"x"`, "limits.sockets"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"nowhere"`, "discovery"},
		{`"known":KNOWN`, `"known":{"members":[]}`, "known: revision"},
		{`"known":KNOWN,`, ``, "known: missing"},
		{`,"settings":SETTINGS`, ``, "settings: missing"},
		{`SETTINGS`, `[]`, "settings"},
		{`SETTINGS`, `{"groupSize":1}`, "classes"},
		{`SETTINGS`, strings.Replace(testSettings, `"deadline":9000`, `"deadline":"x"`, 1), "services[0].deadline"},
		{`SETTINGS`, strings.Replace(testSettings, `"maxOpen":100`, `"maxOpen":-1`, 1), "maxOpen"},
		{`SETTINGS`, strings.Replace(testSettings, `"connectTimeout":2000`, `"connectTimeout":-1`, 1), "connectTimeout"},
		{`{`, ``, ""},
	} {
		_, err := LoadConfig(writeConfigFile(t, strings.Replace(validConfig, test.old, test.new, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: got error %v, want one line that names %q", test.new, test.old, err, test.want)
		}
	}
}
